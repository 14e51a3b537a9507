package ramp_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/ramp"
)

const (
	service = ident.ServiceName("chat")
	within  = 15 * time.Second
	tick    = 100 * time.Millisecond
	// normalLoad is the number of requests in each tick.
	normalLoad = 12
	// rollbackBound and badAnswers bound how long a release may get requests after its bad answers.
	rollbackBound = 5 * time.Second
	badAnswers    = 50
	// upstreams is the number of upstreams of each release.
	upstreams = 8
	// lossKnownAfter is how long after the loss of its links an entry knows of it.
	lossKnownAfter = 1500 * time.Millisecond
)

var (
	limits = ramp.Limits{Share: 0.1, Slack: 50}
	start  = time.Unix(1_000, 0)
	routes = []string{"a", "b", "c", "d"}
)

// check checks what the new release has got and the newest state in the store.
func (f *fleet) check(t *testing.T, want ramp.State) {
	t.Helper()
	got := ramp.Recorded{}
	if newest := f.newest(); newest != nil {
		got = newest[0]
	}
	if diff := cmp.Diff(ramp.Recorded{Service: service, Target: "v2", State: want}, got); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
	if want != ramp.StateRolledBack {
		return
	}
	if allowed := int(limits.Share*float64(f.total) + limits.Slack); f.exposed > allowed {
		t.Errorf("a bad release got %d of %d requests, %d are allowed", f.exposed, f.total, allowed)
	}
	if len(f.bad) >= badAnswers && f.lastNew.Sub(f.bad[badAnswers-1]) > rollbackBound {
		t.Errorf("a bad release got a request %v after its bad answer number %d", f.lastNew.Sub(f.bad[badAnswers-1]), badAnswers)
	}
}

func good(*rand.Rand, time.Duration, string, int) answer { return answer{factor: 1} }

// sometimes returns an answer with a probability, a good one else.
func sometimes(p float64, bad answer) release {
	return func(rng *rand.Rand, _ time.Duration, _ string, _ int) answer {
		if rng.Float64() < p {
			return bad
		}
		return answer{factor: 1}
	}
}

// when returns the answers of a bad release as long as a condition holds.
func when(holds func(age time.Duration, route string, inFlight int) bool, bad release) release {
	return func(rng *rand.Rand, age time.Duration, route string, inFlight int) answer {
		if holds(age, route, inFlight) {
			return bad(rng, age, route, inFlight)
		}
		return answer{factor: 1}
	}
}

var bad = map[string]release{
	"fails":       sometimes(0.5, answer{1, true}),
	"fails_fifth": sometimes(0.2, answer{1, true}),
	"slow":        sometimes(1, answer{factor: 3}),
	"slow_half":   sometimes(0.5, answer{factor: 5}),
	"slow_third":  sometimes(0.3, answer{factor: 5}),
	"late": when(func(age time.Duration, _ string, _ int) bool { return age > 6*time.Second },
		sometimes(0.5, answer{1, true})),
	"late_slow": when(func(age time.Duration, _ string, _ int) bool { return age > 7*time.Second },
		sometimes(0.6, answer{factor: 4})),
	"silent": sometimes(0.5, answer{factor: 500}),
	"one_route": when(func(_ time.Duration, route string, _ int) bool { return route == "b" },
		sometimes(0.6, answer{1, true})),
	"one_route_slow": when(func(_ time.Duration, route string, _ int) bool { return route == "c" },
		sometimes(0.8, answer{factor: 4})),
	"under_load": when(func(_ time.Duration, _ string, inFlight int) bool { return inFlight > 20 },
		sometimes(0.7, answer{1, true})),
}

const seeds = 4

// TestBadReleaseIsRolledBackWithinItsBound rolls out bad releases of several kinds on several entries.
func TestBadReleaseIsRolledBackWithinItsBound(t *testing.T) {
	for name, answer := range bad {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				f := newFleet(seed, 7, answer)
				f.run(within+2*time.Second, nil)
				f.check(t, ramp.StateRolledBack)
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

// TestGoodReleaseIsDoneInTime rolls out a good release on one entry and on several.
func TestGoodReleaseIsDoneInTime(t *testing.T) {
	for _, entries := range []int{1, 3, 12} {
		for seed := range uint64(seeds) {
			f := newFleet(seed, entries, good)
			f.run(within, nil)
			f.check(t, ramp.StateDone)
			if t.Failed() {
				t.Fatalf("%d entries, seed %d", entries, seed)
			}
		}
	}
}

// TestLostLinksSayNothingOfARelease lets two entries of three lose their links while a good release is on test. Until that is known, their
// requests get no answer or break off.
func TestLostLinksSayNothingOfARelease(t *testing.T) {
	for name, breaks := range map[string]bool{"silent": false, "breaks": true} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				lostAt := time.Duration(2+3*seed) * time.Second
				f := newFleet(seed, 3, good)
				f.perTick, f.holder, f.breaks = 3*normalLoad, 1, breaks
				f.run(within, func(age time.Duration) {
					if age == lostAt {
						f.linkLostAt[0], f.linkLostAt[2] = f.now, f.now
					}
				})
				f.check(t, ramp.StateDone)
				if t.Failed() {
					t.Fatalf("seed %d, links lost after %v", seed, lostAt)
				}
			}
		})
	}
}

// TestCrashingReleaseIsRolledBack rolls out a release whose upstreams crash.
func TestCrashingReleaseIsRolledBack(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(seed, 7, bad["fails"])
		f.crashes = true
		f.run(within+2*time.Second, nil)
		f.check(t, ramp.StateRolledBack)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestManyEntriesWithFewRequests rolls out releases on so many entries that each of them sends a few requests alone.
func TestManyEntriesWithFewRequests(t *testing.T) {
	for kind, want := range map[string]ramp.State{"good": ramp.StateDone, "slow": ramp.StateRolledBack, "fails": ramp.StateRolledBack} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			answer := bad[kind]
			if kind == "good" {
				answer = good
			}
			f := newFleet(1, 60, answer)
			f.perTick = 3
			f.run(within, nil)
			f.check(t, want)
		})
	}
}

// TestDisturbedRollouts restarts entries, takes the store away, cuts entries off and loses reports.
func TestDisturbedRollouts(t *testing.T) {
	restart := func(f *fleet, entries ...int) {
		for _, i := range entries {
			f.due = slices.DeleteFunc(f.due, func(r reply) bool {
				if r.entry == i {
					f.inFlight[r.isNew]--
				}
				return r.entry == i
			})
			f.entries[i] = f.newEntry()
			f.order(i)
		}
	}
	all := []int{0, 1, 2, 3, 4}
	for name, disturb := range map[string]func(f *fleet, age time.Duration){
		"decider_restarts": func(f *fleet, age time.Duration) {
			if age == 8*time.Second {
				restart(f, 0)
			}
		},
		"decider_changes": func(f *fleet, age time.Duration) {
			if age == 11*time.Second {
				f.holder = 3
			}
		},
		"decider_is_cut_off": func(f *fleet, age time.Duration) {
			f.cut[0] = age > 3*time.Second && age < 9*time.Second
			if age == 5*time.Second {
				f.holder = 1
			}
		},
		"store_is_away":    func(f *fleet, age time.Duration) { f.away = age > 2*time.Second && age < 10*time.Second },
		"reports_are_lost": func(f *fleet, _ time.Duration) { f.loss = 0.5 },
		"all_restart_early": func(f *fleet, age time.Duration) {
			if age == time.Second {
				restart(f, all...)
			}
		},
		"all_restart_on_test": func(f *fleet, age time.Duration) {
			if age == 7*time.Second {
				restart(f, all...)
			}
		},
	} {
		for kind, answer := range map[string]release{"good": good, "slow": bad["slow_half"], "late": bad["late"]} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(seeds) {
					f := newFleet(seed, 5, answer)
					f.run(within+time.Second, func(age time.Duration) { disturb(f, age) })
					want := ramp.StateRolledBack
					if kind == "good" {
						want = ramp.StateDone
					}
					f.check(t, want)
					if t.Failed() {
						t.Fatalf("seed %d", seed)
					}
				}
			})
		}
	}
}

// TestIsolatedDeciderDoesNotComplete cuts the deciding entry off from all others, not from the store. The others still send
// most requests to the old upstreams, which "done" would stop.
func TestIsolatedDeciderDoesNotComplete(t *testing.T) {
	f := newFleet(1, 5, good)
	f.run(within+2*time.Second, func(age time.Duration) { f.cut[0] = age > time.Second })
	f.check(t, ramp.StateRunning)
}

// TestRestartAfterTheVerdictKeepsIt restarts all entries after a release was rolled back.
func TestRestartAfterTheVerdictKeepsIt(t *testing.T) {
	f := newFleet(1, 3, bad["slow"])
	f.run(within, func(age time.Duration) {
		if age == 8*time.Second {
			for i := range f.entries {
				f.entries[i] = f.newEntry()
				f.order(i)
			}
			f.bad, f.exposed, f.lastNew = nil, 0, time.Time{}
		}
	})
	f.check(t, ramp.StateRolledBack)
	if f.exposed > 0 {
		t.Errorf("a release that was rolled back got %d requests after the restart", f.exposed)
	}
}

// TestNothingIsSampledBeforeTheStatesAreRead orders a release at a process that has not read the states in the store.
func TestNothingIsSampledBeforeTheStatesAreRead(t *testing.T) {
	m := ramp.NewModel(limits, rand.New(rand.NewPCG(1, 1)))
	m.Update(start, ramp.OrderMsg{Service: service, Target: "v2", Within: within, Since: start})
	for i := range 1000 {
		if m.Pick(start.Add(time.Duration(i)*tick), service, "a") {
			t.Fatal("a request was sampled")
		}
	}
	if m.Allows(start, service, "v2", false) {
		t.Error("the release may get requests that aren't samples")
	}
}

// TestReplacedOrderBarsItsRelease replaces an order while its release is on test.
func TestReplacedOrderBarsItsRelease(t *testing.T) {
	m := ramp.NewModel(limits, rand.New(rand.NewPCG(1, 1)))
	m.Update(start, ramp.StatesMsg{})
	for _, r := range []ramp.Release{"v1", "v2", "v3"} {
		m.See(start, service, r, start)
	}
	for _, target := range []ramp.Release{"v2", "v3"} {
		m.Update(start, ramp.OrderMsg{Service: service, Target: target, Within: within, Since: start})
	}
	got := map[ramp.Release][2]bool{}
	for _, r := range []ramp.Release{"v1", "v2", "v3"} {
		got[r] = [2]bool{m.Allows(start, service, r, false), m.Allows(start, service, r, true)}
	}
	want := map[ramp.Release][2]bool{"v1": {true, false}, "v2": {false, false}, "v3": {false, true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("allowed for ordinary requests and samples (-want +got):\n%s", diff)
	}
}

// TestUnorderedReleaseWaits lists a release shortly before its order can be read.
func TestUnorderedReleaseWaits(t *testing.T) {
	m := ramp.NewModel(limits, rand.New(rand.NewPCG(1, 1)))
	m.See(start, service, "v1", start)
	m.See(start, service, "v2", start)
	var got []bool
	for _, at := range []time.Time{start, start.Add(time.Second), start.Add(3 * time.Second)} {
		got = append(got, m.Allows(at, service, "v1", false), m.Allows(at, service, "v2", false))
	}
	if diff := cmp.Diff([]bool{true, false, true, false, true, true}, got); diff != "" {
		t.Errorf("allowed (-want +got):\n%s", diff)
	}
}

// TestUnknownVerdictDecidesNothing hears a verdict that only a later build knows.
func TestUnknownVerdictDecidesNothing(t *testing.T) {
	m := ramp.NewModel(limits, rand.New(rand.NewPCG(1, 1)))
	m.Update(start, ramp.StatesMsg{})
	for _, r := range []ramp.Release{"v1", "v2"} {
		m.See(start, service, r, start)
	}
	m.Update(start, ramp.OrderMsg{Service: service, Target: "v2", Within: within, Since: start})
	m.Update(start, ramp.ReportMsg{Entry: "later", Report: ramp.Report{Service: service, Target: "v2", Verdict: ramp.Done + 1}})
	got := map[ramp.Release]bool{"v1": m.Allows(start, service, "v1", false), "v2": m.Allows(start, service, "v2", false)}
	if diff := cmp.Diff(map[ramp.Release]bool{"v1": true, "v2": false}, got); diff != "" || !m.Active() {
		t.Errorf("goes on: %v; allowed (-want +got):\n%s", m.Active(), diff)
	}
}
