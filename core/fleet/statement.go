package fleet

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/times"
)

// Answers say more of their upstream than their outcome: a limit of requests ([LimitMsg]), a time to back off, that it leaves, how many
// rejections it tolerates. Each holds for the incarnation that says so.

const (
	// rejectionPause is how long an upstream that rejected a request gets no new ones: a few steps of an engine.
	rejectionPause = 100 * time.Millisecond
	// leavingTells is how often an entry tells the others that an upstream leaves, leavingTellInterval how long after each other.
	leavingTells        = 5
	leavingTellInterval = 200 * time.Millisecond
)

// RejectedMsg reports that an upstream has rejected a request.
type RejectedMsg struct {
	ID ident.UpstreamID
	// Born is the incarnation that was asked.
	Born int64
	// Backoff is how long this entry is asked to send no further requests, 0 if it is not.
	Backoff time.Duration
}

// LeavingMsg reports that an upstream says in its answers that it leaves, which it does not take back.
type LeavingMsg struct {
	ID ident.UpstreamID
	// Born is the incarnation that says so.
	Born int64
	// Heard is set if another entry got the answer.
	Heard bool
}

// LeavingCmd reports that an upstream that is not listed as draining leaves.
type LeavingCmd struct {
	ID    ident.UpstreamID
	Heard bool
}

// RejectionLimitMsg reports how many rejections a second an upstream tolerates, as an answer says, or that the answer does not say so.
type RejectionLimitMsg struct {
	ID ident.UpstreamID
	// Born is the incarnation that answered.
	Born       int64
	Rejections conf.NamedLimit
	// At is when the answer arrived at an entry. Older answers than the last one are ignored.
	At time.Time
}

// RejectionLimitCmd reports that an upstream says how many rejections it tolerates, or no longer does.
type RejectionLimitCmd struct {
	ID         ident.UpstreamID
	Rejections conf.NamedLimit
}

// applyLeaving makes an upstream drain that says that it leaves.
func (m *Model) applyLeaving(msg LeavingMsg) (cmds []ident.Cmd) {
	s := m.byID[msg.ID]
	if s == nil || s.Born != msg.Born || s.Draining {
		return nil
	}
	s.Draining = true
	if !msg.Heard {
		s.leavingTells, m.telling = leavingTells, true
	}
	return []ident.Cmd{LeavingCmd{ID: msg.ID, Heard: msg.Heard}}
}

// rejectionLimit is how many rejections a second an upstream tolerates, by an answer that arrived at a time, zero if there
// was none.
type rejectionLimit struct {
	limit conf.NamedLimit
	at    time.Time
}

// rejectionLimit returns how many rejections a second an upstream tolerates. An incarnation without an answer is assumed to
// tolerate as many as those of its service that answered last: those that crash by rejections return before the time is over.
func (m *Model) rejectionLimit(s *state) (limit conf.NamedLimit, assumed bool) {
	if s.rejection.at.IsZero() {
		return m.rejectionLimits[s.Service].limit, true
	}
	return s.rejection.limit, false
}

func (m *Model) applyRejectionLimit(msg RejectionLimitMsg) (cmds []ident.Cmd) {
	s := m.byID[msg.ID]
	if s == nil || s.Born != msg.Born || !msg.At.After(s.rejection.at) {
		return nil
	}
	changed := s.rejection.limit.Named != msg.Rejections.Named
	s.rejection = rejectionLimit{msg.Rejections, msg.At}
	if msg.At.After(m.rejectionLimits[s.Service].at) {
		m.rejectionLimits[s.Service] = s.rejection
	}
	if !changed {
		return nil
	}
	return []ident.Cmd{RejectionLimitCmd{ID: msg.ID, Rejections: msg.Rejections}}
}

// applyRejection begins a pause, and a back-off if the upstream asks for one. Nothing ends a back-off but its time.
func (m *Model) applyRejection(now time.Time, msg RejectedMsg) {
	s := m.byID[msg.ID]
	if s == nil || s.Born != msg.Born {
		return
	}
	s.rejectingUntil = times.Later(s.rejectingUntil, now.Add(rejectionPause))
	s.backoffUntil = times.Later(s.backoffUntil, now.Add(msg.Backoff))
	m.backoffsUntil = times.Later(m.backoffsUntil, s.backoffUntil)
}

// TakeLeaving returns what to tell the other entries now of upstreams that leave, at most count of them.
func (m *Model) TakeLeaving(now time.Time, count int) (msgs []LeavingMsg) {
	if !m.telling {
		return nil
	}
	m.telling = false
	for _, s := range m.byID {
		if s.leavingTells == 0 {
			continue
		}
		m.telling = true
		if len(msgs) < count && now.Sub(s.leavingToldAt) >= leavingTellInterval {
			s.leavingTells--
			s.leavingToldAt = now
			msgs = append(msgs, LeavingMsg{ID: s.ID, Born: s.Born, Heard: true})
		}
	}
	slices.SortFunc(msgs, func(a, b LeavingMsg) int { return cmp.Compare(a.ID, b.ID) })
	return msgs
}

// BackingOff reports whether an upstream asks this entry to send it no requests.
func (m *Model) BackingOff(now time.Time, id ident.UpstreamID) bool {
	s, ok := m.byID[id]
	return ok && now.Before(s.backoffUntil)
}

// AnyBackoff reports whether any upstream may ask that.
func (m *Model) AnyBackoff(now time.Time) bool { return now.Before(m.backoffsUntil) }

// RejectionLimit returns how many rejections a second an upstream tolerates, if it says so or is assumed to.
func (m *Model) RejectionLimit(id ident.UpstreamID) (rejections conf.NamedLimit) {
	if s, ok := m.byID[id]; ok {
		rejections, _ = m.rejectionLimit(s)
	}
	return rejections
}
