package place_test

import (
	"testing"
	"time"

	"cicadavalve/core/place"
)

// TestRequestWithoutPartsIsRecalled leaves a request that names a model, but no parts of its prompt, waiting at an engine with
// outdated weights.
func TestRequestWithoutPartsIsRecalled(t *testing.T) {
	const grace, tick = 10 * time.Second, 25 * time.Millisecond
	b := newBench(1, 1_000_000)
	b.place.Update(start, place.TargetMsg{Model: model, Version: 2, Since: start})
	sentAt := start.Add(grace / 2)
	request := need(1, sentAt, 100, "doc", 5*time.Second)
	request.Stream, request.Chain, request.Deadline = true, nil, sentAt.Add(time.Minute)
	if n := len(sends(b.place.Update(sentAt, place.ArriveMsg{Need: request}))); n != 1 {
		t.Fatalf("sent %d times", n)
	}
	for now := sentAt; now.Before(start.Add(grace)); now = now.Add(tick) {
		for _, cmd := range b.place.Update(now, place.TickMsg{}) {
			if _, ok := cmd.(place.RecallCmd); ok {
				return
			}
		}
	}
	t.Error("not recalled")
}
