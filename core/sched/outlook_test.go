package sched_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/rules"
	"cicadavalve/core/sched"
)

const outlookRules = `route model m class interactive  # asked by: test
serve model m version v1  # asked by: test
route service booking runs once  # asked by: test
`

// outlooksOf returns the outlooks of the file next on a model with load reports, on which inForce is applied unless
// it is empty.
func outlooksOf(t *testing.T, inForce, next string, running int) []sched.Outlook {
	t.Helper()
	m := sched.NewModel()
	now := time.Unix(1000, 0)
	m.Update(now, sched.UpstreamsMsg{Upstreams: []sched.Upstream{
		{ID: "engine-0", Role: sched.RoleEngine, Address: "a", Zone: "east"},
		{ID: "engine-1", Role: sched.RoleEngine, Address: "b", Zone: "west"},
		{ID: "app-0", Role: sched.RoleApp, Address: "c", Zone: "west", Services: []ident.ServiceName{"booking"}},
	}})
	for _, id := range []ident.UpstreamID{"engine-0", "engine-1", "app-0"} {
		load := sched.Load{BootID: "boot", Running: running}
		if id != "app-0" {
			load.Loaded = []sched.Loaded{{Model: "m", Version: "v1"}}
		}
		m.Update(now, sched.LoadMsg{Upstream: id, Load: load})
	}
	if inForce != "" {
		m.Update(now, sched.RulesMsg{Version: 1, Text: outlookRules + inForce})
	}
	set, faults := rules.Parse(next)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return sched.Outlooks(set, m.Upstreams(now))
}

func TestOutlooksUnderDrain(t *testing.T) {
	const none, west, east = "\n", "drain az west  # asked by: test\n", "drain az east  # asked by: test\n"
	model := sched.Outlook{Model: "m", Version: "v1"}
	service := sched.Outlook{Service: "booking"}
	expect := func(o sched.Outlook, before, after, requests int, short bool) sched.Outlook {
		o.Before, o.After, o.Requests, o.Short = before, after, requests, short
		return o
	}
	for name, c := range map[string]struct {
		inForce, next string
		running       int
		want          []sched.Outlook
	}{
		"no change":             {none, none, 3, []sched.Outlook{expect(model, 2, 2, 6, false), expect(service, 1, 1, 3, false)}},
		"the only app engine":   {none, west, 3, []sched.Outlook{expect(model, 2, 1, 6, false), expect(service, 1, 0, 3, true)}},
		"too many for the rest": {none, east, 20, []sched.Outlook{expect(model, 2, 1, 40, true), expect(service, 1, 1, 20, false)}},
		"the first file":        {"", none, 3, []sched.Outlook{expect(model, 0, 2, 0, false), expect(service, 0, 1, 0, false)}},
		"brought back":          {west, none, 3, []sched.Outlook{expect(model, 1, 2, 3, false), expect(service, 0, 1, 0, false)}},
		"another zone":          {west, east, 3, []sched.Outlook{expect(model, 1, 1, 3, false), expect(service, 0, 1, 0, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			got := outlooksOf(t, c.inForce, outlookRules+c.next, c.running)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outlooks (-want +got):\n%s", diff)
			}
		})
	}
}
