package place_test

import (
	"testing"
	"time"

	"cicadavalve/core/place"
)

// TestOldWeightsGetNoWorkThatBeginsAfterTheGrace sends a long prompt to an engine with outdated weights just before it is closed.
// The prompt takes longer to prefill than the rest of the grace, and its run begins with the first token.
func TestOldWeightsGetNoWorkThatBeginsAfterTheGrace(t *testing.T) {
	const grace = 10 * time.Second
	b := newBench(1, 1_000_000)
	b.place.Update(start, place.TargetMsg{Model: model, Version: 2, Since: start})
	now := start.Add(grace - 1600*time.Millisecond)
	for _, s := range sends(b.place.Update(now, place.ArriveMsg{Need: need(1, now, 200_000, "doc", 5*time.Second)})) {
		if late := now.Add(s.Expected).Sub(start.Add(grace)); late > 0 {
			t.Errorf("the run is expected to begin %v after the grace", late)
		}
	}
}
