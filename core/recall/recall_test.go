package recall_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/recall"
)

// TestSelect compares what is recalled, by id and in order. Requests that are moved too early, for too little, or while all upstreams are
// full load the upstreams twice.
func TestSelect(t *testing.T) {
	const ms = time.Millisecond
	frozen := recall.Request{Elapsed: 400 * ms, Expected: 80 * ms, Own: 70 * ms, Due: -100 * ms, Left: 4 * time.Second}
	with := func(change func(r *recall.Request)) []recall.Request {
		r := frozen
		r.ID = 1
		change(&r)
		return []recall.Request{r}
	}
	for name, c := range map[string]struct {
		waiting []recall.Request
		target  time.Duration
		none    bool
		want    []uint64
	}{
		"frozen upstream":               {with(func(*recall.Request) {}), 80 * ms, false, []uint64{1}},
		"no other upstream":             {with(func(*recall.Request) {}), 80 * ms, true, nil},
		"hardly sooner":                 {with(func(*recall.Request) {}), 250 * ms, false, nil},
		"in time at the expected pace":  {with(func(r *recall.Request) { r.Elapsed, r.Due = 200*ms, 100*ms }), 10 * ms, false, nil},
		"late at the expected pace":     {with(func(r *recall.Request) { r.Elapsed, r.Due = 240*ms, 60*ms }), 80 * ms, false, []uint64{1}},
		"just sent":                     {with(func(r *recall.Request) { r.Elapsed, r.Expected = 50*ms, time.Second }), 10 * ms, false, nil},
		"long queue":                    {with(func(r *recall.Request) { r.Elapsed, r.Expected, r.Due = 100*ms, time.Second, 200*ms }), 80 * ms, false, []uint64{1}},
		"long queues everywhere":        {with(func(r *recall.Request) { r.Elapsed, r.Expected, r.Due = 100*ms, time.Second, 200*ms }), 800 * ms, false, nil},
		"target takes half of the time": {with(func(r *recall.Request) { r.Left = 150 * ms }), 80 * ms, false, nil},
		"deadline passed":               {with(func(r *recall.Request) { r.Left = -1 }), 0, false, nil},
		"slow pace of its own work":     {with(func(r *recall.Request) { r.Elapsed, r.Own, r.Due = 100*ms, 400*ms, 300*ms }), 100 * ms, false, []uint64{1}},
	} {
		var got []uint64
		for _, r := range recall.Select(c.waiting, func(recall.Request) (time.Duration, bool) { return c.target, !c.none }) {
			got = append(got, r.Request.ID)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestFewAreRecalledAtOnce lets a hundred requests wait at a frozen upstream. All of them at once would be sent to the same target, since none
// sees the load of the others.
func TestFewAreRecalledAtOnce(t *testing.T) {
	var waiting []recall.Request
	for i := range 100 {
		waiting = append(waiting, recall.Request{ID: uint64(i), Elapsed: time.Second, Due: -time.Second, Left: time.Duration(200-i) * time.Second})
	}
	compared := 0
	var got []uint64
	for _, r := range recall.Select(waiting, func(r recall.Request) (time.Duration, bool) { compared++; return 0, r.ID != 99 }) {
		got = append(got, r.Request.ID)
	}
	if diff := cmp.Diff([]uint64{98, 97}, got); diff != "" || compared > 8 {
		t.Errorf("%d compared, recalled (-want +got):\n%s", compared, diff)
	}
}
