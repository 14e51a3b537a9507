package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/place"
)

// TestRequestDoesNotBeginOnOldWeightsAfterTheGrace leaves requests waiting at an engine whose weights are outdated, until the
// grace ends. Each is recalled in time and once, unless it has begun, can't be told to have, or will begin on new weights.
func TestRequestDoesNotBeginOnOldWeightsAfterTheGrace(t *testing.T) {
	const grace, tick = 10 * time.Second, 25 * time.Millisecond
	cases := map[string]struct {
		stream bool
		before func(b *bench, now time.Time)
		since  time.Duration
		want   int
	}{
		"waits":         {true, func(*bench, time.Time) {}, 0, 1},
		"has begun":     {true, func(b *bench, now time.Time) { b.place.Update(now, place.FirstByteMsg{Ticket: 1}) }, 0, 0},
		"has ended":     {true, func(b *bench, now time.Time) { b.place.Update(now, place.EndMsg{Ticket: 1}) }, 0, 0},
		"no stream":     {false, func(*bench, time.Time) {}, 0, 0},
		"newly named":   {true, func(*bench, time.Time) {}, 5 * time.Second, 0},
		"newer weights": {true, func(b *bench, now time.Time) { b.load(now, 2) }, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(1, 1_000_000)
			b.place.Update(start, place.TargetMsg{Model: model, Version: 2, Since: start.Add(c.since)})
			sentAt := start.Add(grace / 2)
			request := need(1, sentAt, 100, "doc", 5*time.Second)
			request.Stream, request.Deadline = c.stream, sentAt.Add(time.Minute)
			if n := len(sends(b.place.Update(sentAt, place.ArriveMsg{Need: request}))); n != 1 {
				t.Fatalf("sent %d times", n)
			}
			c.before(b, sentAt.Add(time.Second))
			recalled := 0
			for now := sentAt; now.Before(start.Add(grace + time.Second)); now = now.Add(tick) {
				for _, cmd := range b.place.Update(now, place.TickMsg{}) {
					if _, ok := cmd.(place.RecallCmd); !ok {
						continue
					}
					recalled++
					if left := start.Add(grace).Sub(now); left < 0 || left > time.Second {
						t.Errorf("recalled %v before the end of the grace", left)
					}
				}
			}
			if diff := cmp.Diff(c.want, recalled); diff != "" {
				t.Errorf("recalls (-want +got):\n%s", diff)
			}
		})
	}
}

// load has every engine report a version of the weights.
func (b *bench) load(now time.Time, version int64) {
	b.fleet.Scan(func(u *conf.Upstream) {
		b.fleet.Update(now, fleet.WeightsMsg{ID: u.ID, Model: model, Version: version})
	})
}

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
