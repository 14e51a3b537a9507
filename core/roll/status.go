package roll

import (
	"slices"
	"time"
)

// Status is the state of a move as shown to operators.
type Status struct {
	Move   Move    `json:"move"`
	Phase  Phase   `json:"phase"`
	Number int     `json:"number"`
	Share  float64 `json:"share"`
	// Stopped is true once this entry sends no new requests to the new version; Reason is nil until then.
	Stopped bool    `json:"stopped"`
	Reason  *Reason `json:"reason,omitempty"`
	// Holding counts the engines that hold the new version.
	Holding int `json:"holding"`
	// Expected is when the move can be complete; zero if it has ended or was not estimated yet.
	// Late is true if that is after the deadline.
	Expected time.Time `json:"expected"`
	Late     bool      `json:"late"`
}

// Moves returns the status of each move in the rules in force, sorted by model.
func (m *Model) Moves() (list []Status) {
	for _, model := range m.models {
		mv := m.moves[model]
		s := Status{
			Move: mv, Phase: m.phase(mv.ID), Number: m.stepNumber(mv.ID), Share: m.share(mv),
			Holding: m.holders(mv.Model, mv.To),
		}
		if b, stopped := m.stopped[mv.ID]; stopped {
			s.Stopped, s.Reason = true, &b.Reason
		}
		if e, known := m.local[mv.ID]; known && !isFinal(s.Phase) {
			s.Expected, s.Late = e.expected, e.expected.After(mv.By)
		}
		list = append(list, s)
	}
	return list
}

// NeedsLoadReports reports whether a move is in progress, a weight token is held or was released within reclaimDelay,
// so that the engines' load reports are needed.
func (m *Model) NeedsLoadReports(now time.Time) bool {
	if m.hasOpenWork() {
		return true
	}
	for _, endedAt := range m.taskEnds {
		if now.Sub(endedAt) < reclaimDelay {
			return true
		}
	}
	return false
}

// NextTick returns when the model needs its next tick if no message comes before; set is false if it needs none.
// The zero time means at once: a move is in progress or a weight token is held. Unloading after a complete move
// can wait for the longest tick interval.
func (m *Model) NextTick() (at time.Time, set bool) { return at, m.hasOpenWork() }

// hasOpenWork reports whether a move is in progress or a weight token is held.
func (m *Model) hasOpenWork() bool {
	for _, mv := range m.moves {
		if !isFinal(m.phase(mv.ID)) {
			return true
		}
	}
	return slices.ContainsFunc(m.tokens[:], func(t token) bool { return t.held })
}
