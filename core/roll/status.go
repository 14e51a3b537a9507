package roll

import (
	"slices"
	"time"
)

// Status is a move as operators see it.
type Status struct {
	Move   Move    `json:"move"`
	Phase  Phase   `json:"phase"`
	Number int     `json:"number"`
	Share  float64 `json:"share"`
	// Stopped is true where this entry sends nothing to the new version any more, and Reason tells why.
	Stopped bool    `json:"stopped"`
	Reason  *Reason `json:"reason,omitempty"`
	// Holding counts the engines that hold the new version.
	Holding int `json:"holding"`
	// Expected is when the move can be complete, and Late whether that is after its time.
	Expected time.Time `json:"expected"`
	Late     bool      `json:"late"`
}

// Moves lists the moves that the rules in force order, by model.
func (m *Model) Moves() (list []Status) {
	for _, model := range m.models {
		mv := m.moves[model]
		s := Status{
			Move: mv, Phase: m.phase(mv.ID), Number: m.number(mv.ID), Share: m.share(mv),
			Holding: m.holders(mv.Model, mv.To),
		}
		if b, stopped := m.stopped[mv.ID]; stopped {
			s.Stopped, s.Reason = true, &b.Reason
		}
		if e, known := m.efforts[mv.ID]; known && !ended(s.Phase) {
			s.Expected, s.Late = e.expected, e.expected.After(mv.By)
		}
		list = append(list, s)
	}
	return list
}

// Moving reports whether a move goes on or an order to an engine is under way, so that the
// engines' reports matter.
func (m *Model) Moving(now time.Time) bool {
	if m.open() {
		return true
	}
	for _, at := range m.lately {
		if now.Sub(at) < settleTime {
			return true
		}
	}
	return false
}

// NextTick is when the model next has something to do without another message, and whether it has:
// at once as long as a move goes on or a weight token is held. What follows a complete move bears
// the longest tick interval.
func (m *Model) NextTick() (at time.Time, set bool) { return at, m.open() }

// open reports whether a move goes on or a weight token is held.
func (m *Model) open() bool {
	for _, mv := range m.moves {
		if !ended(m.phase(mv.ID)) {
			return true
		}
	}
	return slices.ContainsFunc(m.tokens[:], func(t token) bool { return t.held })
}
