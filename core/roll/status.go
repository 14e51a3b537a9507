package roll

import "time"

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
	for _, mv := range m.moves {
		if !ended(m.phase(mv.ID)) {
			return true
		}
	}
	for i := range m.tokens {
		if m.tokens[i].held {
			return true
		}
	}
	for _, at := range m.lately {
		if now.Sub(at) < settleTime {
			return true
		}
	}
	return false
}
