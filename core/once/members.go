package once

import (
	"time"

	"cicadavalve/core/ident"
)

// announceEvery is the least time between two questions whether the members know of this one.
const announceEvery = 200 * time.Millisecond

// members is what this entry knows of who may start calls. A question to the members of
// the roster finds every call that was started, since
//   - a new member starts none before each other one has folded its join, and
//   - after a departure no call counts as not run until this entry has read all that the
//     departed one can have folded.
type members struct {
	// bound is false where no roster bounds who may start calls.
	bound bool
	// self is this entry's newest incarnation in the roster; empty before the first.
	self ident.BootID
	// joined is the epoch of its join.
	joined int64
	// announced is true once each other member has folded the join.
	announced bool
	// announcing is when the members were last asked for it.
	announcing time.Time
	// until ends the lease under which calls may be started.
	until time.Time
	// leaving is when a planned stop began, or zero.
	leaving time.Time
	// stay is how long a leaving entry goes on starting calls.
	stay time.Duration
	// others holds the incarnations of the other members.
	others map[ident.BootID]bool
	// quiet is how long after the fold of its departure an entry may still start calls.
	quiet time.Duration
	// quietAt is when the last departed entry has stopped to start calls; it never decreases.
	quietAt time.Time
	// readAt is when the last read began that reached the end of the stream without a gap.
	readAt time.Time
}

// mayStart reports whether this entry may start calls.
func (s *members) mayStart(now time.Time) bool {
	if !s.bound {
		return true
	}
	stays := !s.leaving.IsZero() && now.Sub(s.leaving) < s.stay
	return s.announced && (now.Before(s.until) || stays)
}

// complete reports whether the members of the roster are all that can have started a call that this entry has not read.
func (s *members) complete() bool { return !s.readAt.Before(s.quietAt) }

func (s *members) mustAnnounce(now time.Time) bool {
	return s.unannounced() && now.Sub(s.announcing) >= announceEvery
}

// unannounced reports whether some member may not know of this one yet.
func (s *members) unannounced() bool { return s.bound && s.self != "" && !s.announced }

func (s *members) change(now time.Time, msg MembersMsg) {
	others := map[ident.BootID]bool{}
	for _, boot := range msg.Others {
		others[boot] = true
	}
	departed := msg.Cut
	for boot := range s.others {
		departed = departed || !others[boot]
	}
	if departed {
		s.quietAt = now.Add(s.quiet)
	}
	s.others = others
	if msg.Self != "" && msg.Self != s.self {
		s.self, s.joined, s.announced, s.announcing = msg.Self, msg.Epoch, false, time.Time{}
	}
}

// told notes a round of answers that reached every other member.
func (s *members) told(msg PositionsMsg) {
	if s.self != "" && msg.Answered && msg.Epoch >= s.joined {
		s.announced = true
	}
}

// roster takes a change of the members.
func (m *Model) roster(now time.Time, msg MembersMsg) []ident.Cmd {
	m.members.change(now, msg)
	return m.beginRound(now)
}
