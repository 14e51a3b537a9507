package purge_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/purge"
)

// TestPartsAreFreedOnlyAfterTheLastTransfer updates one of two engines late. Nothing may be freed before a
// transfer that this engine began with its old weights must have ended.
func TestPartsAreFreedOnlyAfterTheLastTransfer(t *testing.T) {
	start := time.Unix(1000, 0)
	upstreams := fleet.NewModel()
	for _, id := range []ident.UpstreamID{"a", "b"} {
		upstreams.Update(start, fleet.ListedMsg{Upstream: conf.Upstream{ID: id, Weights: map[ident.ModelName]int64{"m": 1}}})
	}
	m := purge.NewModel(upstreams)
	m.SetTargetVersion("m", 2)
	tick := purge.TickMsg{Holds: true, Stores: []parts.Holder{"s"}}
	upstreams.Update(start, fleet.WeightsMsg{ID: "a", Model: "m", Version: 2})
	moved := start.Add(4 * time.Second)
	var first time.Time
	var freed []ident.Cmd
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if now.Equal(moved) {
			upstreams.Update(now, fleet.WeightsMsg{ID: "b", Model: "m", Version: 2})
		}
		for _, cmd := range m.Update(now, tick) {
			if first.IsZero() {
				first = now
			}
			freed = append(freed, cmd)
			m.Update(now, purge.DoneMsg{Cmd: cmd.(purge.FreeCmd)})
		}
	}
	if first.Before(moved.Add(purge.FetchTimeout)) {
		t.Errorf("freed %v after the last engine was updated", first.Sub(moved))
	}
	if diff := cmp.Diff([]ident.Cmd{purge.FreeCmd{Store: "s", Model: "m", Below: 2}}, freed); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}

// TestPartsAreNotFreedRightAfterAFreeze freezes the entry for 5 s while all engines that it knows have newer weights. It can't
// know that this was so meanwhile, so it must not free anything before it has seen it for as long as a transfer may take.
func TestPartsAreNotFreedRightAfterAFreeze(t *testing.T) {
	start := time.Unix(1000, 0)
	upstreams := fleet.NewModel()
	upstreams.Update(start, fleet.ListedMsg{Upstream: conf.Upstream{ID: "a", Weights: map[ident.ModelName]int64{"m": 2}}})
	m := purge.NewModel(upstreams)
	m.SetTargetVersion("m", 2)
	tick := purge.TickMsg{Holds: true, Stores: []parts.Holder{"s"}}
	m.Update(start, tick)
	if diff := cmp.Diff([]ident.Cmd(nil), m.Update(start.Add(5*time.Second), tick)); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
