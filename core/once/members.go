package once

import (
	"time"

	"cicadavalve/core/ident"
)

// announceInterval is the minimum time between two rounds that ask whether the members have folded the join.
const announceInterval = 200 * time.Millisecond

// members tracks which entries may start calls. A round over the members of the roster finds
// every call that was started, since
//   - a new member starts no call before each other member has folded its join, and
//   - after a departure no call counts as not run until this entry has read every record that
//     the departed member can have folded.
type members struct {
	// rosterRequired is true if only members of the roster may start calls.
	rosterRequired bool
	// self is this entry's newest incarnation in the roster; empty before its first join.
	self ident.BootID
	// joinEpoch is the epoch in which self joined.
	joinEpoch int64
	// announced is true once each other member has folded the join.
	announced bool
	// announceAskedAt is when the members were last asked whether they have.
	announceAskedAt time.Time
	// leaseEnd is when the lease under which calls may be started expires.
	leaseEnd time.Time
	// leavingSince is when a planned stop began; zero if there is none.
	leavingSince time.Time
	// leaveGrace is how long a leaving entry may still start calls.
	leaveGrace time.Duration
	// others holds the incarnations of the other members.
	others map[ident.BootID]bool
	// departureDelay is how long after its departure was folded here an entry may still start calls.
	departureDelay time.Duration
	// departedStopAt is the time from which no departed entry starts calls; it never decreases.
	departedStopAt time.Time
	// fullReadBegan is when the newest read that reached the end of the stream without a gap began.
	fullReadBegan time.Time
}

// mayStart reports whether this entry may start calls.
func (s *members) mayStart(now time.Time) bool {
	if !s.rosterRequired {
		return true
	}
	leaving := !s.leavingSince.IsZero() && now.Sub(s.leavingSince) < s.leaveGrace
	return s.announced && (now.Before(s.leaseEnd) || leaving)
}

// complete reports whether every start that this entry has not read comes from a current member of the roster.
func (s *members) complete() bool { return !s.fullReadBegan.Before(s.departedStopAt) }

func (s *members) announceDue(now time.Time) bool {
	return s.unannounced() && now.Sub(s.announceAskedAt) >= announceInterval
}

// unannounced reports whether some member may not have folded this entry's join yet.
func (s *members) unannounced() bool { return s.rosterRequired && s.self != "" && !s.announced }

func (s *members) update(now time.Time, msg MembersMsg) {
	others := map[ident.BootID]bool{}
	for _, boot := range msg.Others {
		others[boot] = true
	}
	departed := msg.HistoryUnknown
	for boot := range s.others {
		departed = departed || !others[boot]
	}
	if departed {
		s.departedStopAt = now.Add(s.departureDelay)
	}
	s.others = others
	if msg.Self != "" && msg.Self != s.self {
		s.self, s.joinEpoch, s.announced, s.announceAskedAt = msg.Self, msg.Epoch, false, time.Time{}
	}
}

// noteAnnounced records that all other members have folded the join, if a round's answers show it.
func (s *members) noteAnnounced(msg PositionsMsg) {
	if s.self != "" && msg.Answered && msg.Epoch >= s.joinEpoch {
		s.announced = true
	}
}

// setMembers applies a change of the roster.
func (m *Model) setMembers(now time.Time, msg MembersMsg) []ident.Cmd {
	m.members.update(now, msg)
	return m.beginRound(now)
}
