package node_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/node"
	"cicadavalve/core/sched"
)

// TestIdleEntryIsNotLate has probes of an upstream fail between ticks. An idle entry, which is ticked rarely, must
// not take the time since its last tick for a delay of its own and excuse the upstream; one with an overdue tick must.
func TestIdleEntryIsNotLate(t *testing.T) {
	got := map[string]string{}
	for name, overdue := range map[string]time.Duration{"idle": 0, "late": 2 * time.Second} {
		n := node.NewNode(settings())
		now := epoch
		n.Update(now, sched.RulesMsg{Version: 1, Text: tickRules})
		n.Update(now, sched.UpstreamsMsg{Upstreams: []sched.Upstream{
			{ID: "engine-0", Role: sched.RoleEngine, Address: "a", Zone: "z"},
		}})
		n.Update(now, sched.LoadMsg{Upstream: "engine-0", Load: sched.Load{BootID: "boot"}})
		for now.Before(epoch.Add(5 * time.Second)) {
			now = n.NextTick()
			n.Update(now, sched.TickMsg{})
		}
		now = n.NextTick().Add(overdue - 100*time.Millisecond)
		for range 2 {
			n.Update(now, sched.UnreachableMsg{Upstream: "engine-0", Waited: 50 * time.Millisecond})
		}
		got[name] = n.Sched().Upstreams(now)[0].Reason
	}
	want := map[string]string{"idle": "did not answer the last probes", "late": ""}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("why the upstream gets no new work (-want +got):\n%s", diff)
	}
}
