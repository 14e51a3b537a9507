package lane_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/lane"
)

// TestEnginesAreDividedWhileStreamsPause replays streams of which a share pauses for too long. Fleets whose streams are in time must not be
// divided, and the effect of a division must not end it at once.
func TestEnginesAreDividedWhileStreamsPause(t *testing.T) {
	cases := []struct {
		name string
		// late is how many of twenty streams are late in each minute.
		late []int
		want []bool
	}{
		{"in time", []int{1, 1, 1}, []bool{false, false, false}},
		{"late", []int{4, 4, 4}, []bool{true, true, true}},
		{"late until divided", []int{4, 0, 0}, []bool{true, true, false}},
	}
	for _, c := range cases {
		m, now := lane.NewModel(), time.Unix(1000, 0)
		var got []bool
		for _, late := range c.late {
			for i := range 600 {
				now = now.Add(100 * time.Millisecond)
				m.ObserveStream(now, "llm", i%20 < late)
			}
			got = append(got, m.Divides(now, "llm"))
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: divided after each minute (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestEntriesAgreeOnMostEngines lets two entries measure different prefill work: an engine that one of them uses for long prompts must not be among
// those for the others at the next one, but for the difference.
func TestEntriesAgreeOnMostEngines(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	var hashes []uint64
	for range 60 {
		hashes = append(hashes, rng.Uint64())
	}
	entry := func(long, short time.Duration) (m *lane.Model, count int) {
		m = lane.NewModel()
		m.Sent(now, "llm", true, long)
		m.Sent(now, "llm", false, short)
		m.Plan(now, "llm", append([]uint64(nil), hashes...))
		for _, h := range hashes {
			if m.Prefers("llm", h, true) {
				count++
			}
		}
		return m, count
	}
	a, most := entry(3*time.Second, time.Second)
	b, fewer := entry(2*time.Second, time.Second)
	_, extreme := entry(time.Second, 0)
	disagree := 0
	for _, h := range hashes {
		if a.Prefers("llm", h, true) != b.Prefers("llm", h, true) {
			disagree++
		}
	}
	if diff := cmp.Diff([]int{45, 40, 48, 5}, []int{most, fewer, extreme, disagree}); diff != "" {
		t.Errorf("engines for long prompts at three entries, and those in dispute (-want +got):\n%s", diff)
	}
}

// TestFewEnginesAreNotDivided guards small services, where a part may be too few engines to serve anything.
func TestFewEnginesAreNotDivided(t *testing.T) {
	m, now := lane.NewModel(), time.Unix(1000, 0)
	m.Sent(now, "llm", true, time.Second)
	m.Plan(now, "llm", []uint64{5, 1, 3})
	got := []bool{m.Prefers("llm", 1, true), m.Prefers("llm", 5, true), m.Prefers("llm", 1, false), m.Prefers("llm", 5, false)}
	if diff := cmp.Diff([]bool{true, true, true, true}, got); diff != "" {
		t.Errorf("engines of either part (-want +got):\n%s", diff)
	}
}
