package roll

import (
	_ "embed"
	"slices"

	"cicadavalve/core/chart"
)

// Phase is a state of a move's chart.
type Phase = chart.State

// The phases of a move.
const (
	Ordered   Phase = "ordered"
	Moving    Phase = "moving"
	Watching  Phase = "watching"
	Complete  Phase = "complete"
	TakenBack Phase = "taken_back"
)

// Event is what moves a move's chart from one phase to the next.
type Event = chart.Event

// The events of a move.
const (
	EventStep     Event = "step"
	EventFull     Event = "full"
	EventComplete Event = "complete"
	EventTakeBack Event = "take_back"
)

//go:embed chart.yaml
var chartSource []byte

// moveChart is the state chart of a move.
var moveChart = chart.Must(chartSource)

// nextPhase is the phase after an event, and whether the chart has such a transition.
func nextPhase(from Phase, event Event) (to Phase, ok bool) {
	t, ok := moveChart.Next(from, event, func(chart.Guard) bool { return false })
	return t.To, ok
}

// ended reports whether no event leads out of a phase.
func ended(p Phase) bool {
	return !slices.ContainsFunc(moveChart.Transitions(), func(t chart.Transition) bool { return t.From == p })
}
