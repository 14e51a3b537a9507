package swap_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/swap"
)

const model = ident.ModelName("m0")

// engine is what an engine of the simulation is at.
type engine struct {
	version, seq int64
	loadingUntil time.Time
	next         int64
}

func (e *engine) settle(now time.Time) {
	if e.next != 0 && !now.Before(e.loadingUntil) {
		e.version, e.next = e.next, 0
	}
}

// TestEveryEngineGetsTheNewestVersion names versions in quick succession while orders are lost or carried out late,
// and checks that all engines end at the newest one and that most are always at work.
func TestEveryEngineGetsTheNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 20).Draw(t, "engines")
		loss := rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss")
		now := time.Unix(1000, 0)
		upstreams := fleet.NewModel()
		engines := map[ident.UpstreamID]*engine{}
		for i := range n {
			id := ident.UpstreamID(fmt.Sprintf("e%02d", i))
			engines[id] = &engine{version: 1}
			upstreams.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: id, Slots: 8, Weights: map[ident.ModelName]int64{model: 1}}})
		}
		m := swap.NewModel(upstreams)
		m.Want(now, model, 2)
		end := now.Add(60 * time.Second)
		second := now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
		for named := false; now.Before(end) && (m.Behind() || !named); now = now.Add(100 * time.Millisecond) {
			if !now.Before(second) {
				named = true
				m.Want(now, model, 3)
			}
			for _, cmd := range m.Update(now, swap.TickMsg{Holds: true, Busy: func(ident.UpstreamID) int { return rng.IntN(3) }}) {
				perform(now, upstreams, m, engines, cmd, rng.Float64() < loss)
			}
			if out := len(m.Underway()); n >= 5 && out > n/2 {
				t.Fatalf("%d of %d engines without work", out, n)
			}
		}
		for id, e := range engines {
			if e.version != 3 {
				t.Fatalf("%s ended at version %d", id, e.version)
			}
		}
	})
}

// perform does what an engine does with a command; a lost one is not carried out.
func perform(now time.Time, upstreams *fleet.Model, m *swap.Model, engines map[ident.UpstreamID]*engine, cmd ident.Cmd, lost bool) {
	switch cmd := cmd.(type) {
	case swap.AskCmd:
		e := engines[cmd.Upstream.ID]
		e.settle(now)
		weights := map[ident.ModelName]int64{model: e.version}
		upstreams.Update(now, fleet.WeightsMsg{ID: cmd.Upstream.ID, Model: model, Version: e.version})
		m.Update(now, swap.StateMsg{Upstream: cmd.Upstream.ID, Loading: e.next != 0, Seq: e.seq, Weights: weights})
	case swap.OrderCmd:
		e := engines[cmd.Upstream.ID]
		if e.settle(now); lost {
			return
		}
		if e.seq != cmd.Seq || e.next != 0 {
			m.Update(now, swap.RefusedMsg{Upstream: cmd.Upstream.ID})
			return
		}
		e.seq, e.next, e.loadingUntil = e.seq+1, cmd.Version, now.Add(700*time.Millisecond)
	}
}

func TestNothingIsOrderedWithoutTheDuty(t *testing.T) {
	now := time.Unix(1000, 0)
	upstreams := fleet.NewModel()
	upstreams.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: "a", Weights: map[ident.ModelName]int64{model: 1}}})
	m := swap.NewModel(upstreams)
	m.Want(now, model, 2)
	cmds := m.Update(now, swap.TickMsg{Busy: func(ident.UpstreamID) int { return 0 }})
	if diff := cmp.Diff(0, len(cmds)); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
