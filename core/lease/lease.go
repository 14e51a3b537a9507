// Package lease decides which entry holds a duty, by claims in a log.
//
// A claim is appended on the condition that the log ends where the claimant read it, so that one of two
// claimants wins. Its offset is the fencing token. A holder acts only while it has read the log lately and
// found no newer claim; the next holder waits until the one before must have stopped.
package lease

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

const (
	// checkTime is how long one look at the log proves that there is no newer claim.
	checkTime = 900 * time.Millisecond
	// checkInterval is how often a holder looks at the log.
	checkInterval = 450 * time.Millisecond
	// vacantTime is how long no entry may be known to hold the duty before the first in line claims it.
	vacantTime = 700 * time.Millisecond
	// signTime is the time between two signs of life of a holder.
	signTime = 300 * time.Millisecond
	// lineStep is how much longer each next in line waits.
	lineStep = 500 * time.Millisecond
)

// Claim is a record of the log.
type Claim struct {
	Holder string
	Boot   int64
}

// ReadMsg is what a look at the log found.
type ReadMsg struct {
	// Asked is when the look was sent.
	Asked time.Time
	// End is the offset after the last claim, Last the last claim if there is one.
	End  int64
	Last *Claim
}

// ClaimedMsg is the outcome of an append.
type ClaimedMsg struct {
	Asked time.Time
	Won   bool
	// Offset is the offset of the won claim.
	Offset int64
}

// HeardMsg tells that another entry says that it holds the duty.
type HeardMsg struct{ Holder string }

// RefusedMsg tells that a higher fencing token than the holder's was seen.
type RefusedMsg struct{}

// TickMsg lets time pass.
type TickMsg struct{}

// ReadCmd asks for a look at the log.
type ReadCmd struct{}

// ClaimCmd asks for an append on the condition that the log ends at End.
type ClaimCmd struct {
	End   int64
	Claim Claim
}

// Model decides for one entry and one duty. Its methods aren't safe for concurrent use.
type Model struct {
	self    string
	boot    int64
	lease   time.Duration
	members []string
	// token is the offset of the own newest claim plus one, zero while another's is newer.
	token int64
	// checked is when the last look that proved the claim was sent.
	checked time.Time
	// actFrom is when the holder before must have stopped.
	actFrom time.Time
	// heard is when another entry last said that it holds the duty, and holder which one.
	heard  time.Time
	holder string
	// seen is where the log ended at the last look that found another's claim, -1 before the first look.
	seen int64
	// fenced tells that whoever gets orders refuses outdated tokens.
	fenced bool
	// vacantSince is since when no other entry is known to hold the duty.
	vacantSince time.Time
	asked       time.Time
	claiming    bool
	// end is where the log ended at the last look, -1 if it is not known.
	end int64
	// last is the newest claim seen.
	last *Claim
}

// NewModel holds nothing.
//
//	m := lease.NewModel("10.0.0.1:7700", boot, 3*time.Second, true)
func NewModel(self string, boot int64, term time.Duration, fenced bool) *Model {
	return &Model{self: self, boot: boot, lease: term, fenced: fenced, end: -1, seen: -1}
}

// SetMembers tells which entries are alive and ready.
func (m *Model) SetMembers(ids []string) { m.members = ids }

// Update takes in one message.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ReadMsg:
		m.asked = time.Time{}
		m.read(now, msg)
	case ClaimedMsg:
		m.claiming = false
		m.claimed(now, msg)
	case HeardMsg:
		if msg.Holder != m.self {
			m.vacantSince, m.heard, m.holder = time.Time{}, now, msg.Holder
		}
	case RefusedMsg:
		m.token, m.end = 0, -1
	case TickMsg:
		return m.tick(now)
	}
	return nil
}

func (m *Model) read(now time.Time, msg ReadMsg) {
	m.end, m.last = msg.End, msg.Last
	if m.token != 0 && msg.End == m.token && msg.Last != nil && msg.Last.Holder == m.self && msg.Last.Boot == m.boot {
		m.checked = msg.Asked
		return
	}
	if m.token != 0 && msg.End > m.token {
		m.token = 0
		m.vacantSince = time.Time{}
	}
	// A claimant that can't be heard gets the time to wait for the holder before it and to act; else entries
	// that reach the log but not each other would take the duty from one another without end.
	// A claim found at the first look may be of any age and gets none.
	if m.seen >= 0 && msg.End > m.seen && msg.Last != nil && msg.Last.Holder != m.self && msg.Last.Holder != m.holder {
		m.end = -1
		m.vacantSince = now.Add(2 * m.lease)
	}
	m.seen = max(m.seen, msg.End)
}

func (m *Model) claimed(now time.Time, msg ClaimedMsg) {
	m.end = -1
	if !msg.Won {
		m.vacantSince = time.Time{}
		return
	}
	m.token, m.checked, m.end = msg.Offset+1, msg.Asked, msg.Offset+1
	m.actFrom = m.free(now)
	m.last = &Claim{m.self, m.boot}
}

// free is when the holder before must have stopped: after its last sign of life if its outdated orders are
// refused, else after the time that it may believe in its claim.
func (m *Model) free(now time.Time) time.Time {
	switch {
	case m.last == nil || m.last.Holder == m.self:
		return now
	case m.fenced && !m.heard.IsZero():
		return m.heard.Add(m.lease + signTime)
	}
	return now.Add(m.lease + checkTime)
}

func (m *Model) tick(now time.Time) []ident.Cmd {
	if m.token != 0 {
		if now.Sub(m.asked) >= checkInterval {
			m.asked = now
			return []ident.Cmd{ReadCmd{}}
		}
		return nil
	}
	if m.vacantSince.IsZero() {
		m.vacantSince = now
		m.end = -1
		return nil
	}
	if m.claiming || now.Sub(m.vacantSince) < vacantTime+time.Duration(route.Rank(dutyKey, m.self, m.members))*lineStep {
		return nil
	}
	if m.end < 0 {
		if now.Sub(m.asked) >= checkInterval {
			m.asked = now
			return []ident.Cmd{ReadCmd{}}
		}
		return nil
	}
	m.claiming = true
	return []ident.Cmd{ClaimCmd{End: m.end, Claim: Claim{m.self, m.boot}}}
}

// dutyKey orders the entries that stand in line.
const dutyKey = "orders"

// Holds tells whether the entry may act now.
func (m *Model) Holds(now time.Time) bool {
	return m.Claims(now) && !now.Before(m.actFrom)
}

// Claims tells whether the entry has the newest claim, though it may have to wait before it acts.
func (m *Model) Claims(now time.Time) bool {
	return m.token != 0 && now.Sub(m.checked) < checkTime
}

// Token is the fencing token, zero if there is none.
func (m *Model) Token() int64 { return m.token }

// Restart forgets what was known, after the process stood still.
func (m *Model) Restart() { m.checked, m.asked, m.claiming = time.Time{}, time.Time{}, false }
