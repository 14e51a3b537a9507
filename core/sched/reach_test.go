package sched_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// loseLinks breaks off a request on several upstreams and then lets the entry's probes of all upstreams fail. Questions to the
// other members are answered by reached.
func loseLinks(t *testing.T, reached bool) (c *crashSim) {
	c = newCrashSim(1)
	c.submit(t, 0, "r")
	var pending []ident.Cmd
	for range 3 {
		for i := range 8 {
			pending = append(pending, c.models[0].Update(c.now, sched.UnreachableMsg{Upstream: engineID(i)})...)
		}
	}
	for len(pending) > 0 {
		cmd := pending[0]
		pending = pending[1:]
		if check, ok := cmd.(sched.CheckReachCmd); ok && !reached {
			pending = append(pending, c.models[0].Update(c.now, sched.UnreachedMsg(check))...)
			continue
		}
		pending = append(pending, c.perform(c.models[0], cmd)...)
	}
	return c
}

// TestEntryWithoutLinksConvictsNoRequest lets the attempts of a request and all probes of an entry fail. The request stays in
// quarantine only if nobody else reaches the upstreams.
func TestEntryWithoutLinksConvictsNoRequest(t *testing.T) {
	for name, reached := range map[string]bool{"reached by others": true, "reached by nobody": false} {
		t.Run(name, func(t *testing.T) {
			c := loseLinks(t, reached)
			want := "quarantined"
			if reached {
				want = ""
			}
			// By then losses that nobody has confirmed don't count any more.
			c.now = c.now.Add(time.Minute)
			got := ""
			c.models[0].Update(c.now, sched.TickMsg{})
			for _, v := range c.models[0].Suspects(c.now) {
				got = v.Standing
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("standing (-want +got):\n%s", diff)
			}
		})
	}
}
