// Package lease elects the entry that holds a duty through claims in a shared log.
//
// A claim is appended on the condition that the log still ends where the claimant last read it, so only one of
// two concurrent claimants wins. The fencing token is the claim's offset plus one, after the era. A holder acts only while a
// recent read of the log has shown no newer claim; its successor waits until the holder must have stopped. If the log
// comes back from a copy and has lost its end, all claims count as lost, and the era goes before the offset in tokens.
package lease

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
	"cicadavalve/core/times"
)

const (
	// checkTTL is how long after a read of the log was sent it proves that there is no newer claim.
	checkTTL = 900 * time.Millisecond
	// readTimeout is how long a read may stay unanswered before another one is sent.
	readTimeout = 450 * time.Millisecond
	// vacantDelay is how long the duty must have been without a known holder before the first-ranked entry claims it.
	vacantDelay = 700 * time.Millisecond
	// heartbeatInterval is the longest time between two heartbeats of an entry.
	heartbeatInterval = 500 * time.Millisecond
	// rankDelay is the additional delay for each further rank.
	rankDelay = 500 * time.Millisecond
)

// Claim is one record of the log.
type Claim struct {
	Holder string
	Boot   int64
}

// ReadMsg is the result of a read of the log.
type ReadMsg struct {
	// Era is the era of the log: a log that comes back from a copy gives out offsets again, and increases its era.
	Era int64
	// SentAt is when the read was sent.
	SentAt time.Time
	// End is the offset after the last claim, Last the last claim, nil if there is none.
	End  int64
	Last *Claim
}

// ClaimedMsg is the outcome of an append.
type ClaimedMsg struct {
	// SentAt is when the append was sent.
	SentAt time.Time
	Won    bool
	// Era is the era of the log if Won is set.
	Era int64
	// Offset is the offset of the appended claim if Won is set.
	Offset int64
}

// RestoredMsg reports that the log has come back from a copy, in a newer era.
type RestoredMsg struct{ Era int64 }

// HolderMsg reports that another entry announces itself as the holder.
type HolderMsg struct{ Holder string }

// TokenOutdatedMsg reports that an order was rejected because its receiver has seen a higher fencing token.
type TokenOutdatedMsg struct{}

// TickMsg triggers the periodic decisions.
type TickMsg struct {
	// NeighbourSeen is when an entry in the availability zone of [Model.LastHolder], other than that one, last sent a heartbeat that arrived;
	// zero if there is none.
	NeighbourSeen time.Time
}

// ReadCmd requests a read of the log.
type ReadCmd struct{}

// ClaimCmd requests that Claim be appended on the condition that the log ends at End.
type ClaimCmd struct {
	End   int64
	Claim Claim
}

// Model holds one entry's view of the lease on one duty. Its methods aren't safe for concurrent use.
type Model struct {
	self    string
	boot    int64
	term    time.Duration
	members []string
	// era is the newest known era of the log, -1 before the first answer. All offsets below are of this era.
	era int64
	// restoredAt is when a newer era was noticed, or the first one if it isn't 0; zero before.
	restoredAt time.Time
	// token is the offset of this entry's claim plus one, zero if it has none or a newer one exists.
	token int64
	// verifiedAt is when the last read or append that confirmed the claim as the newest was sent.
	verifiedAt time.Time
	// wonAt is when the own claim was known to be won, actFrom when the previous holder must have stopped for a lease.
	wonAt, actFrom time.Time
	// holderSeen is when another entry last announced itself as the holder, and holder is its ID.
	holderSeen time.Time
	holder     string
	// neighbourSeen is that of the last tick, tickedAt when that was.
	neighbourSeen, tickedAt time.Time
	// pathLostAt is when an announcement could last have been missed: no heartbeat arrived from the zone of the last holder, or this entry
	// itself stood still.
	pathLostAt time.Time
	// seenEnd is the highest end of the log among the reads that did not confirm an own claim, -1 before the first.
	seenEnd int64
	// readAt is when the last read was answered.
	readAt time.Time
	// fenced means that the receivers of orders reject outdated fencing tokens.
	fenced bool
	// vacantSince is since when the duty has had no known holder, zero until the next tick establishes it. It lies in the
	// future while another entry's claim is given time to take effect.
	vacantSince time.Time
	// readSent is when the unanswered read was sent, zero if there is none.
	readSent time.Time
	// claiming is set while an append is outstanding.
	claiming bool
	// end is where the log ended at the last read, -1 if that is unknown or outdated.
	end int64
	// last is the newest claim seen.
	last *Claim
	// announced is set if the holder of last, which is another entry, has announced itself since it made that claim.
	announced bool
}

// NewModel returns a model without a claim. Boot is the incarnation of the entry, term the length of the lease.
//
//	m := lease.NewModel("10.0.0.1:7700", boot, 3*time.Second, true)
func NewModel(self string, boot int64, term time.Duration, fenced bool) *Model {
	return &Model{self: self, boot: boot, term: term, fenced: fenced, end: -1, seenEnd: -1, era: -1}
}

// SetMembers sets the IDs of the entries that are alive and ready.
func (m *Model) SetMembers(ids []string) { m.members = ids }

// Update applies one message and returns the commands that follow.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ReadMsg:
		m.readSent = time.Time{}
		if m.enter(now, msg.Era) {
			m.applyRead(now, msg)
		}
	case ClaimedMsg:
		m.claiming = false
		msg.Won = msg.Won && m.enter(now, msg.Era)
		m.applyClaim(now, msg)
	case RestoredMsg:
		m.enter(now, msg.Era)
	case HolderMsg:
		m.applyHolder(now, msg)
	case TokenOutdatedMsg:
		m.token, m.end = 0, -1
	case TickMsg:
		m.observePath(now, msg.NeighbourSeen)
		return m.tick(now)
	}
	return nil
}

// enter discards what is known of the log if an era is newer than the known one. It returns false for an earlier era, of
// which nothing counts any more.
func (m *Model) enter(now time.Time, era int64) (current bool) {
	if era <= m.era {
		return era == m.era
	}
	if m.era >= 0 || era > 0 {
		// A new process can't tell when the log came back.
		m.restoredAt = now
		m.token, m.end, m.seenEnd, m.last, m.announced = 0, -1, -1, nil, false
		m.vacantSince, m.readSent, m.readAt = time.Time{}, time.Time{}, time.Time{}
	}
	m.era = era
	return true
}

func (m *Model) applyRead(now time.Time, msg ReadMsg) {
	before, first := m.readAt, m.readAt.IsZero()
	m.readAt, m.end, m.last = now, msg.End, msg.Last
	if m.token != 0 && msg.End == m.token && msg.Last != nil && msg.Last.Holder == m.self && msg.Last.Boot == m.boot {
		m.verifiedAt = msg.SentAt
		return
	}
	if m.token != 0 && msg.End > m.token {
		m.token = 0
		m.vacantSince = time.Time{}
	}
	if first {
		// The first read is too early for a claim, and the claim that it finds may be of any age.
		m.end, m.seenEnd = -1, msg.End
		return
	}
	if msg.End <= m.seenEnd {
		return
	}
	m.seenEnd, m.announced = msg.End, m.hasAnnounced(before)
	// A claimant whose announcements do not arrive gets the time to wait for its predecessor and to act. Without
	// it, entries that reach the log but not each other would take the duty from one another endlessly.
	if msg.Last != nil && msg.Last.Holder != m.self && !m.announced {
		m.end = -1
		m.vacantSince = now.Add(2 * m.term)
	}
}

// hasAnnounced reports whether the holder of the newest claim has announced itself since it made that claim, which the read before, at
// the time given, did not show. An older announcement may belong to an earlier claim, on which a holder relies for checkTTL.
func (m *Model) hasAnnounced(before time.Time) bool {
	return m.last != nil && m.last.Holder == m.holder && m.holderSeen.Sub(before) > checkTTL
}

// applyHolder records the announcement of another holder. If this entry waits to act, its predecessor is alive, and may act until
// it reads the claim.
func (m *Model) applyHolder(now time.Time, msg HolderMsg) {
	if msg.Holder == m.self {
		return
	}
	m.vacantSince, m.holderSeen, m.holder = time.Time{}, now, msg.Holder
	m.announced = m.announced || m.last != nil && m.last.Holder == msg.Holder
	if m.token != 0 && now.Before(m.actFrom) {
		m.actFrom = times.Later(m.actFrom, m.wonAt.Add(m.term+checkTTL))
	}
}

func (m *Model) applyClaim(now time.Time, msg ClaimedMsg) {
	m.end = -1
	if !msg.Won {
		m.vacantSince = time.Time{}
		return
	}
	m.actFrom = m.handoverAt(now, msg.Offset)
	m.token, m.verifiedAt, m.end, m.wonAt = msg.Offset+1, msg.SentAt, msg.Offset+1, now
	m.last = &Claim{m.self, m.boot}
}

// handoverAt returns from when this entry may act after winning the claim at an offset. A holder whose claim was lost with the end of
// the log may rely on its last check for checkTTL, and one lease has to pass after that.
func (m *Model) handoverAt(now time.Time, offset int64) time.Time {
	at := m.successionAt(now, offset)
	if m.restoredAt.IsZero() {
		return at
	}
	return times.Later(at, m.restoredAt.Add(m.term+checkTTL))
}

// successionAt returns from when this entry may act after winning the claim at an offset: at once in an empty log, and as before if it
// claims again. Else the previous holder may rely on its last check of the log for checkTTL after the claim, and one
// lease has to pass after that. If outdated orders are rejected and the previous holder has failed, both count from its last announcement.
func (m *Model) successionAt(now time.Time, offset int64) time.Time {
	stopped := now.Add(m.term + checkTTL)
	switch {
	case offset == 0:
		return now
	case m.last != nil && *m.last == Claim{m.self, m.boot}:
		return times.Later(now, m.actFrom)
	case m.fenced && m.announced && m.last != nil && m.last.Holder == m.holder && m.holderFailed():
		return times.Earlier(stopped, m.holderSeen.Add(m.term+checkTTL))
	}
	return stopped
}

// observePath records whether an announcement of the last holder could have been missed since the last tick.
func (m *Model) observePath(now, neighbourSeen time.Time) {
	if now.Sub(m.tickedAt) > heartbeatInterval || now.Sub(neighbourSeen) > heartbeatInterval {
		m.pathLostAt = now
	}
	m.tickedAt, m.neighbourSeen = now, neighbourSeen
}

// holderFailed reports whether the entry that announced itself last has fallen silent, while heartbeats of another one of its availability
// zone arrived all the time: the holder has failed or has lost its links.
func (m *Model) holderFailed() bool {
	return m.holderSeen.After(m.pathLostAt) && m.neighbourSeen.Sub(m.holderSeen) >= heartbeatInterval
}

func (m *Model) tick(now time.Time) []ident.Cmd {
	if m.token != 0 {
		return m.read(now)
	}
	if m.vacantSince.IsZero() {
		m.vacantSince = now
		m.end = -1
	}
	if m.readAt.IsZero() {
		return m.read(now)
	}
	if m.claiming || now.Sub(m.vacantSince) < vacantDelay+time.Duration(route.Rank(rankKey, m.self, m.members))*rankDelay {
		return nil
	}
	if m.end < 0 {
		return m.read(now)
	}
	m.claiming = true
	return []ident.Cmd{ClaimCmd{End: m.end, Claim: Claim{m.self, m.boot}}}
}

// read requests a read of the log, unless one is under way.
func (m *Model) read(now time.Time) []ident.Cmd {
	if now.Sub(m.readSent) < readTimeout {
		return nil
	}
	m.readSent = now
	return []ident.Cmd{ReadCmd{}}
}

// rankKey is the hash key that ranks the candidates.
const rankKey = "orders"

// LastHolder returns the entry that announced itself last as the holder, empty if none did.
func (m *Model) LastHolder() string { return m.holder }

// Holds reports whether the entry may act now.
func (m *Model) Holds(now time.Time) bool {
	return m.HasNewestClaim(now) && !now.Before(m.actFrom)
}

// HasNewestClaim reports whether the entry has the newest claim. It may still have to wait before it acts.
func (m *Model) HasNewestClaim(now time.Time) bool {
	return m.token != 0 && now.Sub(m.verifiedAt) < checkTTL
}

// eraShift is the number of bits of a fencing token that hold the offset; the bits above hold the era, so that tokens
// still increase after offsets have gone back. Receivers that keep tokens as floating-point numbers bear 2^21 eras.
const eraShift = 32

// HoldsUntil returns until when the entry may act on its last check of the log, if [Model.Holds] is true.
func (m *Model) HoldsUntil() time.Time { return m.verifiedAt.Add(checkTTL) }

// Token returns the fencing token, zero if the entry has no claim.
func (m *Model) Token() int64 {
	if m.token == 0 {
		return 0
	}
	return max(m.era, 0)<<eraShift + m.token
}

// Restart discards the last confirmation and the outstanding calls, after the process was suspended.
func (m *Model) Restart() { m.verifiedAt, m.readSent, m.claiming = time.Time{}, time.Time{}, false }
