package sched_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// TestWakeRequiresReportOfColdUpstream sends a request to an entry that wakes from idle, without a slot on the
// upstream: it waits for a report, and is sent only if the upstream has not restarted since.
func TestWakeRequiresReportOfColdUpstream(t *testing.T) {
	sent := map[ident.BootID][]ident.RequestID{}
	for _, boot := range []ident.BootID{"boot-1", "boot-2"} {
		m := newModel(1)
		m.Update(start, sched.RulesMsg{Version: 2, Text: testRules + "bears upstream engine-* cold 1  # asked by: test\n"})
		warm := warmUp(m)
		m.Update(warm, sched.WakeMsg{})
		if diff := cmp.Diff([]ident.Cmd(nil), m.Update(warm, arrival("early", "one"))); diff != "" {
			t.Fatalf("commands before a report (-want +got):\n%s", diff)
		}
		sent[boot] = sends(m.Update(warm, loadOf(engineID(0), boot)))
	}
	want := map[ident.BootID][]ident.RequestID{"boot-1": {"early"}, "boot-2": nil}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Errorf("sent after the report of each boot (-want +got):\n%s", diff)
	}
}

// warmUp advances time until the engine is warm, and returns that time.
func warmUp(m *sched.Model) (now time.Time) {
	for now = start; !m.Slots().Warm(engineID(0)); now = now.Add(time.Second) {
		m.Update(now, loadOf(engineID(0), "boot-1"))
		m.Slots().Free(now, engineID(0), 1)
	}
	return now
}
