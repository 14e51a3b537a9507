package roll

import (
	_ "embed"
	"slices"

	"cicadavalve/core/chart"
)

// Phase is a state in the state chart of a version move.
type Phase = chart.State

// The phases of a version move.
const (
	Ordered   Phase = "ordered"
	Moving    Phase = "moving"
	Watching  Phase = "watching"
	Complete  Phase = "complete"
	TakenBack Phase = "taken_back"
)

// Event triggers a transition between two phases of a version move.
type Event = chart.Event

// The events of a version move.
const (
	EventStep     Event = "step"
	EventFull     Event = "full"
	EventComplete Event = "complete"
	EventTakeBack Event = "take_back"
)

//go:embed chart.yaml
var chartSource []byte

// moveChart is the state chart of a version move.
var moveChart = chart.Must(chartSource)

// nextPhase returns the phase after an event. ok is false if the chart has no such transition.
func nextPhase(from Phase, event Event) (to Phase, ok bool) {
	t, ok := moveChart.Next(from, event, func(chart.Guard) bool { return false })
	return t.To, ok
}

// isFinal reports whether a phase has no outgoing transition.
func isFinal(p Phase) bool {
	return !slices.ContainsFunc(moveChart.Transitions(), func(t chart.Transition) bool { return t.From == p })
}
