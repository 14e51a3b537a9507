package sched_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/sched"
)

func TestOrgsCountsInFlightAndWaiting(t *testing.T) {
	now := time.Unix(0, 0)
	m := sched.NewModel(sched.WithMaxPerUpstream(1))
	m.Update(now, sched.RulesMsg{Version: 1, Text: "route model m class interactive # test\n" +
		"serve model m version v1 # test\nlimit organisation depot share 30% # test\n"})
	m.Update(now, sched.UpstreamsMsg{Upstreams: []sched.Upstream{{ID: "engine", Role: sched.RoleEngine, Address: "engine:1"}}})
	m.Update(now, sched.LoadMsg{Upstream: "engine", Load: sched.Load{Loaded: []sched.Loaded{{Model: "m", Version: "v1"}}}})
	for _, r := range []sched.Request{{ID: "a", Org: "depot"}, {ID: "b", Org: "depot"}, {ID: "c", Org: "survey"}} {
		r.Model, r.Repeatable = "m", true
		m.Update(now, sched.ArriveMsg{Request: r})
	}
	want := []sched.OrgView{
		{Org: "council", Share: 0.1},
		{Org: "depot", InFlight: 1, Waiting: 1, Share: 0.3, ByRule: true},
		{Org: "survey", Waiting: 1, Share: 0.1},
	}
	if diff := cmp.Diff(want, m.Orgs("council")); diff != "" {
		t.Errorf("organisations (-want +got):\n%s", diff)
	}
}
