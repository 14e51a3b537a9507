package reload_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/reload"
)

const model = ident.ModelName("m0")

// engine is the state of a simulated engine.
type engine struct {
	version, seq int64
	loadingUntil time.Time
	pending      int64
}

// newEngines returns a number of engines with version 1, from "e000" on.
func newEngines(now time.Time, n int) (upstreams *fleet.Model, engines map[ident.UpstreamID]*engine) {
	upstreams, engines = fleet.NewModel(), map[ident.UpstreamID]*engine{}
	for i := range n {
		id := ident.UpstreamID(fmt.Sprintf("e%03d", i))
		engines[id] = &engine{version: 1}
		upstreams.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: id, Slots: 8, Weights: map[ident.ModelName]int64{model: 1}}})
	}
	return upstreams, engines
}

func (e *engine) finishLoad(now time.Time) {
	if e.pending != 0 && !now.Before(e.loadingUntil) {
		e.version, e.pending = e.pending, 0
	}
}

// TestEveryEngineGetsTheNewestVersion sets two target versions in quick succession while orders are lost and loads take
// time. All engines must end at the newest version. With five engines or more, at most half of them may be without new
// work at any time.
func TestEveryEngineGetsTheNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 20).Draw(t, "engines")
		loss := rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss")
		now := time.Unix(1000, 0)
		upstreams, engines := newEngines(now, n)
		m := reload.NewModel(upstreams)
		m.SetTargetVersion(now, model, 2)
		end := now.Add(60 * time.Second)
		second := now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
		for updated := false; now.Before(end) && (m.Behind() || !updated); now = now.Add(100 * time.Millisecond) {
			if !now.Before(second) {
				updated = true
				m.SetTargetVersion(now, model, 3)
			}
			for _, cmd := range m.Update(now, reload.TickMsg{Holds: true, InFlight: func(ident.UpstreamID) int { return rng.IntN(3) }}) {
				perform(now, upstreams, m, engines, cmd, rng.Float64() < loss)
			}
			if out := len(m.Updating()); n >= 5 && out > n/2 {
				t.Fatalf("%d of %d engines without new work", out, n)
			}
		}
		for id, e := range engines {
			if e.version != 3 {
				t.Fatalf("%s ended at version %d", id, e.version)
			}
		}
	})
}

// TestEnginesWorkUntilTheirTurnComes has engines whose requests end 400 ms after the last new one load a version in turn. On average an engine
// may be without new work for the time to drain, to load and to be asked for its state.
func TestEnginesWorkUntilTheirTurnComes(t *testing.T) {
	const tick, drain, load, query = 50 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, 250 * time.Millisecond
	for _, n := range []int{10, 12, 40, 90, 160} {
		now := time.Unix(1000, 0)
		upstreams, engines := newEngines(now, n)
		m := reload.NewModel(upstreams)
		m.SetTargetVersion(now, model, 2)
		outSince, out := map[ident.UpstreamID]time.Time{}, time.Duration(0)
		inFlight := func(id ident.UpstreamID) int {
			if since, isOut := outSince[id]; isOut && now.Sub(since) >= drain {
				return 0
			}
			return 3
		}
		for ; m.Behind(); now = now.Add(tick) {
			for _, cmd := range m.Update(now, reload.TickMsg{Holds: true, InFlight: inFlight}) {
				perform(now, upstreams, m, engines, cmd, false)
			}
			for _, id := range m.Updating() {
				if _, known := outSince[id]; !known {
					outSince[id] = now
				}
				out += tick
			}
		}
		if mean, most := out/time.Duration(n), drain+load+query; mean > most {
			t.Errorf("%d engines were without new work for %v on average, at most %v wanted", n, mean, most)
		}
	}
}

// perform executes a command as an engine does; a lost order has no effect.
func perform(now time.Time, upstreams *fleet.Model, m *reload.Model, engines map[ident.UpstreamID]*engine, cmd ident.Cmd, lost bool) {
	switch cmd := cmd.(type) {
	case reload.QueryCmd:
		e := engines[cmd.Upstream.ID]
		e.finishLoad(now)
		weights := map[ident.ModelName]int64{model: e.version}
		upstreams.Update(now, fleet.WeightsMsg{ID: cmd.Upstream.ID, Model: model, Version: e.version})
		m.Update(now, reload.StateMsg{Upstream: cmd.Upstream.ID, AskedAt: now, Loading: e.pending != 0, Seq: e.seq, Weights: weights})
	case reload.OrderCmd:
		e := engines[cmd.Upstream.ID]
		if e.finishLoad(now); lost {
			return
		}
		if e.seq != cmd.Seq || e.pending != 0 {
			m.Update(now, reload.RefusedMsg{Upstream: cmd.Upstream.ID})
			return
		}
		e.seq, e.pending, e.loadingUntil = e.seq+1, cmd.Version, now.Add(700*time.Millisecond)
	}
}

// TestModelsOfAnEngineAreUpdatedInOrder has an engine behind in eight models: it is never taken for behind in another one
// while it is updated.
func TestModelsOfAnEngineAreUpdatedInOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	upstreams := fleet.NewModel()
	m := reload.NewModel(upstreams)
	weights := map[ident.ModelName]int64{}
	for i := range 8 {
		name := ident.ModelName(fmt.Sprint("m", i))
		weights[name] = 1
		m.SetTargetVersion(now, name, 2)
	}
	upstreams.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: "e", Service: "llm", Address: "a", Slots: 1, Weights: weights}})
	var ordered []ident.ModelName
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, cmd := range m.Update(now, reload.TickMsg{Holds: true, InFlight: func(ident.UpstreamID) int { return 0 }}) {
			switch cmd := cmd.(type) {
			case reload.QueryCmd:
				m.Update(now, reload.StateMsg{Upstream: "e", Seq: 1, Weights: weights})
			case reload.OrderCmd:
				ordered = append(ordered, cmd.Model)
			}
		}
	}
	if diff := cmp.Diff([]ident.ModelName{"m0"}, slices.Compact(ordered)); diff != "" {
		t.Errorf("models ordered while the first is not loaded (-want +got):\n%s", diff)
	}
}

func TestNoOrdersWithoutTheDuty(t *testing.T) {
	now := time.Unix(1000, 0)
	upstreams := fleet.NewModel()
	upstreams.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: "a", Weights: map[ident.ModelName]int64{model: 1}}})
	m := reload.NewModel(upstreams)
	m.SetTargetVersion(now, model, 2)
	cmds := m.Update(now, reload.TickMsg{InFlight: func(ident.UpstreamID) int { return 0 }})
	if diff := cmp.Diff(0, len(cmds)); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}

// TestReportFromBeforeAnOrderDoesNotRepeatIt has an engine's report arrive 3 s late, after the engine was ordered to load.
func TestReportFromBeforeAnOrderDoesNotRepeatIt(t *testing.T) {
	now := time.Unix(1000, 0)
	upstreams := fleet.NewModel()
	upstreams.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: "e", Slots: 8, Weights: map[ident.ModelName]int64{model: 1}}})
	m := reload.NewModel(upstreams)
	m.SetTargetVersion(now, model, 2)
	orders := 0
	tick := func() {
		for _, cmd := range m.Update(now, reload.TickMsg{Holds: true, InFlight: func(ident.UpstreamID) int { return 0 }}) {
			if _, ok := cmd.(reload.OrderCmd); ok {
				orders++
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	report := func(askedAt time.Time) {
		m.Update(now, reload.StateMsg{Upstream: "e", AskedAt: askedAt, Seq: 0, Weights: map[ident.ModelName]int64{model: 1}})
	}
	tick()
	asked := now
	report(asked)
	tick()
	now = now.Add(3 * time.Second)
	report(asked)
	tick()
	late := orders
	report(now)
	tick()
	if diff := cmp.Diff([]int{1, 2}, []int{late, orders}); diff != "" {
		t.Errorf("orders after a report from before the first one, after a newer report (-want +got):\n%s", diff)
	}
}

// TestUnansweredOrdersDontHoldUpTheOthers updates nine engines of which three leave every order unanswered. They must be
// ordered again soon, and the others be updated meanwhile.
func TestUnansweredOrdersDontHoldUpTheOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	upstreams, engines := newEngines(now, 9)
	m := reload.NewModel(upstreams)
	m.SetTargetVersion(now, model, 2)
	orders := map[ident.UpstreamID]int{}
	for range 80 {
		for _, cmd := range m.Update(now, reload.TickMsg{Holds: true, InFlight: func(ident.UpstreamID) int { return 0 }}) {
			order, isOrder := cmd.(reload.OrderCmd)
			lost := isOrder && order.Upstream.ID < "e003"
			perform(now, upstreams, m, engines, cmd, lost)
			if isOrder {
				orders[order.Upstream.ID]++
			}
			if isOrder && !lost {
				m.Update(now, reload.AcceptedMsg{Upstream: order.Upstream.ID})
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	behind := 0
	for id, e := range engines {
		if e.version != 2 && id >= "e003" {
			behind++
		}
	}
	if behind > 0 {
		t.Errorf("%d of 6 engines that answer are behind after 8 s", behind)
	}
	if orders["e000"] < 8 || orders["e008"] != 1 {
		t.Errorf("%d orders to an engine without answers, %d to another one", orders["e000"], orders["e008"])
	}
}

// TestRepeatedOrderThatIsRefusedWasAccepted lets the answer to an order get lost and the engine begin to load unseen.
func TestRepeatedOrderThatIsRefusedWasAccepted(t *testing.T) {
	now := time.Unix(1000, 0)
	upstreams := fleet.NewModel()
	upstreams.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: "e", Slots: 8, Weights: map[ident.ModelName]int64{model: 1}}})
	m := reload.NewModel(upstreams)
	m.SetTargetVersion(now, model, 2)
	orders := 0
	for range 12 {
		for _, cmd := range m.Update(now, reload.TickMsg{Holds: true, InFlight: func(ident.UpstreamID) int { return 0 }}) {
			switch cmd.(type) {
			case reload.QueryCmd:
				m.Update(now, reload.StateMsg{Upstream: "e", AskedAt: now, Weights: map[ident.ModelName]int64{model: 1}})
			case reload.OrderCmd:
				if orders++; orders > 1 {
					m.Update(now, reload.RefusedMsg{Upstream: "e"})
				}
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	if diff := cmp.Diff([]ident.UpstreamID{"e"}, m.Updating()); diff != "" || orders != 2 {
		t.Errorf("%d orders, want 2; engines without new work (-want +got):\n%s", orders, diff)
	}
}
