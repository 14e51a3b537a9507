package purge_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/purge"
)

// TestUnusedScopesAreFreedOnceAllEntriesLeftThem changes the cache scope while another entry uses the former one for 4 s. Managed stores drop
// nothing themselves, so that parts which nobody may use any more filled them; freed earlier, they could be in transfer.
func TestUnusedScopesAreFreedOnceAllEntriesLeftThem(t *testing.T) {
	start := time.Unix(1000, 0)
	m := purge.NewModel(fleet.NewModel())
	changed, left := start.Add(10*time.Second), start.Add(14*time.Second)
	var first time.Time
	var freed []ident.Cmd
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
		scope := ""
		if !now.Before(changed) {
			scope = "*1"
		}
		m.SetScope(scope)
		behind := !now.Before(changed) && now.Before(left)
		for _, cmd := range m.Update(now, purge.TickMsg{Holds: true, Stores: []parts.Holder{"s"}, Behind: func() bool { return behind }}) {
			if first.IsZero() {
				first = now
			}
			freed = append(freed, cmd)
			m.Update(now, purge.DoneMsg{Cmd: cmd})
		}
	}
	if wait := first.Sub(left); wait < purge.FetchTimeout || wait > 2*purge.FetchTimeout {
		t.Errorf("freed %v after the last entry left the scope", wait)
	}
	if diff := cmp.Diff([]ident.Cmd{purge.FreeScopesCmd{Store: "s", Scope: "*1"}}, freed); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
