package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/roll"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
	"cicadavalve/io/peer"
)

const (
	moveWorkers = 24
	moveTokens  = 6
	movePrompts = 1000
	moveEngines = 4
)

// moveLoad sends completions to random entries from several workers until it is stopped.
type moveLoad struct {
	t   *testing.T
	ctx context.Context
	c   *bench.Cluster
	// classes are drawn from at random for each request; if empty, requests have the class of their route.
	classes []ident.Class
	stopped atomic.Bool
	pending sync.WaitGroup
	// complete counts the complete answers of one version, wrong all other answers, and refused the requests without one.
	complete, wrong, refused atomic.Int64
}

func startLoad(ctx context.Context, t *testing.T, c *bench.Cluster, classes ...ident.Class) *moveLoad {
	l := &moveLoad{t: t, ctx: ctx, c: c, classes: classes}
	for i := range moveWorkers {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		l.pending.Go(func() { l.run(rng) })
	}
	return l
}

func (l *moveLoad) run(rng *rand.Rand) {
	for !l.stopped.Load() && l.ctx.Err() == nil {
		e := l.c.Entries()[rng.IntN(len(l.c.Entries()))]
		prompt := fmt.Sprintf("prompt %d", rng.IntN(movePrompts))
		a, err := bench.CallWithClass(l.ctx, e, bench.Token, l.class(rng), completionBody(prompt, moveTokens))
		if err != nil || a.Status != http.StatusOK {
			l.refused.Add(1)
			l.t.Logf("refused: status %d, %s, %v", a.Status, a.Body, err)
			continue
		}
		switch answerText(l.t, a) {
		case fullAnswer(prompt, "v1", moveTokens), fullAnswer(prompt, "v2", moveTokens):
			l.complete.Add(1)
		default:
			l.wrong.Add(1)
		}
	}
}

func (l *moveLoad) class(rng *rand.Rand) ident.Class {
	if len(l.classes) == 0 {
		return ""
	}
	return l.classes[rng.IntN(len(l.classes))]
}

func (l *moveLoad) stop() {
	l.stopped.Store(true)
	l.pending.Wait()
}

// startMove starts three entries, and engines that load v2 when ordered to, with a move to v2 in force whose
// deadline is timeLeft from now.
func startMove(t *testing.T, timeLeft time.Duration, adjust ...func(*fakes.EngineSettings)) (*bench.Cluster, context.Context, string) {
	t.Helper()
	rules := testRules + "move model m from v1 to v2 by " + time.Now().Add(timeLeft).UTC().Format(time.RFC3339) +
		" share 5%  # asked by: test\n"
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	t.Cleanup(cancel)
	c, err := bench.Start(bench.WithRules(rules), bench.WithSettings(func(s *config.Settings) {
		s.MoveDwell, s.WeightLease = config.Duration(500*time.Millisecond), config.Duration(4*time.Second)
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	weights, err := c.AddWeights(200 * time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	for range moveEngines {
		s := engineSettings()
		s.WeightsURL = weights
		for _, a := range adjust {
			a(&s)
		}
		if _, err := c.AddEngine("dunedin", s); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.AddApp("dunedin", "booking"); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		e, err := c.AddEntry("dunedin")
		if err != nil {
			t.Fatal(err)
		}
		waitServing(ctx, t, e)
	}
	return c, ctx, weights
}

// moveStatus returns the status of an entry's move, or the zero value if the entry does not report exactly one.
func moveStatus(ctx context.Context, e *bench.Entry) (s roll.Status) {
	var list []roll.Status
	err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "moves", "", &list)
	if err != nil || len(list) != 1 {
		return s
	}
	return list[0]
}

func onEveryEntry(ctx context.Context, c *bench.Cluster, cond func(roll.Status) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(c.Entries(), func(e *bench.Entry) bool { return !cond(moveStatus(ctx, e)) })
	}
}

func startedOn(c *bench.Cluster, v ident.Version) (n int) {
	for _, e := range c.Engines() {
		n += e.Stats().Started[v]
	}
	return n
}

func setEngineFaults(ctx context.Context, t *testing.T, c *bench.Cluster, f fakes.EngineFaults) {
	t.Helper()
	for _, e := range c.Engines() {
		if err := bench.SetFaults(ctx, e.Address, f); err != nil {
			t.Fatal(err)
		}
	}
}

func TestMoveToGoodVersionCompletes(t *testing.T) {
	c, ctx, weights := startMove(t, time.Minute)
	l := startLoad(ctx, t, c)
	ended := onEveryEntry(ctx, c, func(s roll.Status) bool { return s.Phase == roll.Complete || s.Phase == roll.TakenBack })
	bench.Wait(ctx, ended)
	if s := moveStatus(ctx, c.Entries()[0]); s.Phase != roll.Complete {
		t.Fatalf("the move is not complete: %+v, reason %+v", s, s.Reason)
	}
	l.stop()
	old, before := startedOn(c, "v1"), time.Now()
	l = startLoad(ctx, t, c)
	bench.Wait(ctx, func() bool { return l.complete.Load() > 300 })
	l.stop()
	t.Logf("complete %v before the deadline", moveStatus(ctx, c.Entries()[0]).Move.By.Sub(before))
	type result struct {
		Wrong, Refused     int64
		OldRequests        int
		MaxConcurrentLoads int
	}
	want := result{MaxConcurrentLoads: 2}
	if diff := cmp.Diff(want, result{
		l.wrong.Load(), l.refused.Load(), startedOn(c, "v1") - old, maxConcurrentLoads(t, weights),
	}); diff != "" {
		t.Errorf("after the move (-want +got):\n%s", diff)
	}
}

// maxConcurrentLoads returns the maximum number of engines that loaded weights at the same time.
func maxConcurrentLoads(t *testing.T, weights string) int {
	t.Helper()
	resp, err := http.Get(weights + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s fakes.WeightsStats
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	return s.MaxConcurrent
}

func TestBadVersionIsTakenBackOnEveryEntry(t *testing.T) {
	cases := map[string]struct {
		fault fakes.EngineFaults
		// outage makes the log unavailable before the version starts to fail.
		outage bool
	}{
		"fails":               {fault: fakes.EngineFaults{BadFail: 0.5}},
		"slow":                {fault: fakes.EngineFaults{BadSlowBy: 5}},
		"fails under load":    {fault: fakes.EngineFaults{BadFail: 0.8, BadAbove: 3}},
		"fails on one route":  {fault: fakes.EngineFaults{BadFail: 0.8, BadPriority: ident.Interactive.Rank()}},
		"fails without a log": {fault: fakes.EngineFaults{BadFail: 0.5}, outage: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { checkTakeBack(t, tc.fault, tc.outage) })
	}
}

// slowCaseStep is the duration of a step where a version is slow. A busy machine delays each step by several ms, beside
// which a step of 1 ms and one of 5 ms take the same time.
const slowCaseStep = 10 * time.Millisecond

func checkTakeBack(t *testing.T, fault fakes.EngineFaults, outage bool) {
	c, ctx, _ := startMove(t, 2*time.Minute, func(s *fakes.EngineSettings) {
		if fault.BadSlowBy > 0 {
			s.StepDuration = slowCaseStep
		}
	})
	l := startLoad(ctx, t, c)
	if !bench.Wait(ctx, func() bool { return startedOn(c, "v2") > 5 }) {
		t.Fatal("the new version got no requests")
	}
	if outage {
		if err := bench.SetFaults(ctx, c.LogURL(), fakes.LogFaults{Outage: true}); err != nil {
			t.Fatal(err)
		}
	}
	fault.BadVersion = "v2"
	setEngineFaults(ctx, t, c, fault)
	began, old, bad := time.Now(), startedOn(c, "v1"), startedOn(c, "v2")
	if !bench.Wait(ctx, onEveryEntry(ctx, c, func(s roll.Status) bool { return s.Stopped })) {
		t.Fatalf("an entry did not stop the move: %+v", moveStatus(ctx, c.Entries()[0]))
	}
	took, newRequests := time.Since(began), startedOn(c, "v2")-bad
	l.stop()
	t.Logf("taken back on every entry after %v; it got %d of %d requests; callers: %d complete, %d refused",
		took, newRequests, newRequests+startedOn(c, "v1")-old, l.complete.Load(), l.refused.Load())
	bad = startedOn(c, "v2")
	after := startLoad(ctx, t, c)
	bench.Wait(ctx, func() bool { return after.complete.Load() > 300 })
	after.stop()
	type result struct {
		New            int
		Wrong, Refused int64
	}
	if diff := cmp.Diff(result{}, result{
		startedOn(c, "v2") - bad, l.wrong.Load() + after.wrong.Load(), after.refused.Load(),
	}); diff != "" {
		t.Errorf("after the take-back (-want +got):\n%s", diff)
	}
}
