package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestWindowsAreReportedDespiteFailures plays a minute with one failure each. Each window must be reported once, in time and within 5 % of
// the truth, except for as many as the failure costs at most.
func TestWindowsAreReportedDespiteFailures(t *testing.T) {
	once := func(w *world, f func(e *entry) (bool, time.Duration, bool)) {
		w.onReport = func(e *entry, _ ReportCmd) (bool, time.Duration, bool) {
			w.onReport = nil
			return f(e)
		}
	}
	for name, c := range map[string]struct {
		prepare func(w *world)
		// fail is called after 21 s, mend 5 s later.
		fail, mend func(w *world)
		most       int
	}{
		"none": {},
		"holder dies between append and report": {fail: func(w *world) {
			once(w, func(e *entry) (bool, time.Duration, bool) { w.kill(e); return false, 0, false })
		}},
		"holder dies between report and answer": {fail: func(w *world) {
			once(w, func(e *entry) (bool, time.Duration, bool) { w.kill(e); return true, step, false })
		}},
		"call of the old holder is carried out late": {fail: func(w *world) {
			once(w, func(e *entry) (bool, time.Duration, bool) {
				w.kill(e)
				return true, 7 * time.Second, false
			})
		}},
		"answers are lost": {prepare: func(w *world) {
			w.onReport = func(*entry, ReportCmd) (bool, time.Duration, bool) { return true, step, w.rng.IntN(4) == 0 }
		}},
		"store is down":                   {fail: func(w *world) { w.storeDown = true }, mend: func(w *world) { w.storeDown = false }},
		"appends have unknown outcomes":   {prepare: func(w *world) { w.appendLost = 0.4 }},
		"datagrams are lost and repeated": {prepare: func(w *world) { w.loss, w.repeats = 0.2, 0.2 }},
		"entry restarts within a window":  {fail: func(w *world) { w.kill(w.entries[3]); w.start(w.entries[3]) }},
		"entry ends":                      {fail: func(w *world) { w.kill(w.entries[3]) }},
		"clock steps forward":             {fail: func(w *world) { w.entries[0].wall += 3 * time.Second }},
		"clock steps back":                {fail: func(w *world) { w.entries[2].wall -= 3 * time.Second }, mend: func(w *world) { w.entries[2].wall += 3 * time.Second }},
		"clock is wrong from the start":   {prepare: func(w *world) { w.entries[1].wall = 3 * time.Second }},
		// In an era above 0 an entry that has just started can't tell when the store came back, so that the first window is not recorded.
		"clock is a year ahead at the start": {prepare: func(w *world) { w.entries[0].wall, w.era = 365*24*time.Hour, 1 }, most: 1},
		// What began after the last checkpoint is lost, and so is the part of the window before the return that no entry has seen.
		"all lose power": {fail: func(w *world) {
			for _, e := range w.entries {
				w.kill(e)
				w.start(e)
			}
		}, most: 1},
		"store comes back without its last records": {fail: func(w *world) {
			w.log, w.era = w.log[:len(w.log)-6], w.era+1
		}},
		"holder ends and the store has lost its record": {fail: func(w *world) {
			once(w, func(e *entry) (bool, time.Duration, bool) {
				w.kill(e)
				w.log, w.era = w.log[:len(w.log)-1], w.era+1
				return true, step, false
			})
		}, most: 3},
		"records are removed": {fail: func(w *world) {
			w.first += int64(len(w.log))
			w.log = nil
		}, mend: func(w *world) { w.kill(w.entries[0]) }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 6)
			if c.prepare != nil {
				c.prepare(w)
			}
			from := w.now
			w.run(21 * time.Second)
			if c.fail != nil {
				c.fail(w)
			}
			w.run(5 * time.Second)
			if c.mend != nil {
				c.mend(w)
			}
			w.run(40 * time.Second)
			if wrong := w.wrong(from, w.now); len(wrong) > c.most {
				t.Errorf("windows %v are missed or wrong, at most %d may be", wrong, c.most)
			}
		})
	}
}

// TestHoldersInTurn changes the holder every 7 s while the previous one goes on for a while.
func TestHoldersInTurn(t *testing.T) {
	w := newWorld(t, 2, 6)
	from := w.now
	for i := range 12 {
		before := w.holder
		w.grant(w.entries[i%3])
		w.run(time.Second)
		if before != nil && before != w.holder {
			before.holds = false
		}
		w.run(6 * time.Second)
	}
	w.run(15 * time.Second)
	if wrong := w.wrong(from, w.now); len(wrong) > 0 {
		t.Errorf("windows %v are missed or wrong", wrong)
	}
}

// TestNoWindowIsReportedWithTwoCounts plays random events, with several holders at once: every report of a window must have the same
// counts.
func TestNoWindowIsReportedWithTwoCounts(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { playRandom(newWorld(t, seed, 4), 120) })
	}
}

// FuzzOrderOfEvents looks for an order of events in which two counts of one window are reported.
func FuzzOrderOfEvents(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { playRandom(newWorld(t, seed, 4), 60) })
}

// playRandom plays a number of random events. The store may lose records only while no other holder knows them.
func playRandom(w *world, events int) {
	w.loss, w.repeats, w.appendLost, w.rate = 0.1, 0.1, 0.2, 0.2
	w.onReport = func(*entry, ReportCmd) (bool, time.Duration, bool) {
		return w.rng.IntN(5) > 0, time.Duration(w.rng.IntN(400)) * step, w.rng.IntN(2) == 0
	}
	for range events {
		e := w.entries[w.rng.IntN(len(w.entries))]
		switch w.rng.IntN(8) {
		case 0:
			if e.model != nil {
				w.kill(e)
			}
		case 1, 2:
			if e.model == nil {
				w.start(e)
			}
		case 3:
			// The previous holder does not notice.
			if e.model != nil {
				w.grant(e)
			}
		case 4:
			for _, other := range w.entries {
				other.holds = other == w.holder
			}
		case 5:
			w.storeDown = !w.storeDown
		case 6:
			e.wall = time.Duration(w.rng.IntN(6000)-3000) * time.Millisecond
		case 7:
			w.era++
			w.log = w.log[:len(w.log)-min(len(w.log), w.rng.IntN(4))]
		}
		w.run(time.Duration(w.rng.IntN(3000)) * time.Millisecond / step * step)
	}
}

// TestMergeOrder merges groups in random orders, with repetitions: the sums must be the same.
func TestMergeOrder(t *testing.T) {
	groups := []Group{
		{"a", 1, 7, 3, Counts{"x": 1, "y": 2}}, {"a", 1, 7, 5, Counts{"x": 3}}, {"a", 2, 7, 1, Counts{"x": 1}},
		{"b", 1, 7, 4, Counts{"y": 4}}, {"b", 1, 8, 9, Counts{"y": 9}},
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		tab := table{}
		for _, i := range append(rng.Perm(len(groups)), rng.Perm(len(groups))...) {
			tab.merge(groups[i])
		}
		if diff := cmp.Diff(Counts{"x": 4, "y": 6}, tab.sum(7)); diff != "" {
			t.Fatalf("sum (-want +got):\n%s", diff)
		}
	}
}

// TestMissedWindowsAreStated takes the store away for longer than the delay. Each window that was not accepted must be stated as missed,
// once, by the holder that follows.
func TestMissedWindowsAreStated(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.run(21 * time.Second)
	w.storeDown = true
	w.run(40 * time.Second)
	w.storeDown = false
	w.run(30 * time.Second)
	missed := 0
	for k := int64(1000 * time.Second / testWindow); time.Duration(k+1)*testWindow+testDelay < w.now; k++ {
		if _, ok := w.accepted[k]; !ok {
			missed++
		}
	}
	if diff := cmp.Diff(missed, w.missed); diff != "" || missed < 4 {
		t.Errorf("windows missed and stated (-want +got):\n%s", diff)
	}
}
