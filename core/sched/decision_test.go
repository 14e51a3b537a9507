package sched

import (
	"fmt"
	"testing"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// BenchmarkDecision measures one choice among upstreams that all hold the model.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{12, 300, 2700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkDecision(b, n) })
	}
}

func benchmarkDecision(b *testing.B, n int) {
	now := time.Unix(1000, 0)
	m := NewModel(WithZone("zone-0"))
	m.Update(now, RulesMsg{Version: 1, Text: "route model m class interactive # test\nserve model m version v1 # test\n"})
	var list []Upstream
	for i := range n {
		id := ident.UpstreamID(fmt.Sprintf("engine-%d", i))
		list = append(list, Upstream{ID: id, Role: RoleEngine, Address: "10.0.0.1:1", Zone: ident.Zone(fmt.Sprintf("zone-%d", i%3))})
	}
	m.Update(now, UpstreamsMsg{Upstreams: list})
	for _, u := range list {
		m.Update(now, LoadMsg{Upstream: u.ID, Load: Load{BootID: "b", Running: 3, Loaded: []Loaded{{"m", "v1"}}}})
	}
	r := &request{Request: Request{ID: "r", Org: "one", Model: "m", PromptRoot: 7, PromptTokens: 4096}, version: "v1"}
	r.key = route.Key(r.Org, r.version, r.PromptRoot)
	b.ReportAllocs()
	for b.Loop() {
		if !m.findCandidates(now, r) {
			b.Fatal("no candidate")
		}
		m.pickCandidate(now, r)
	}
}

// BenchmarkTickUnderOverload measures a tick while every upstream is full and requests of two classes wait.
func BenchmarkTickUnderOverload(b *testing.B) {
	for _, n := range []int{12, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkOverload(b, n) })
	}
}

func benchmarkOverload(b *testing.B, n int) {
	now := time.Unix(1000, 0)
	m := NewModel(WithZone("zone-0"))
	m.Update(now, RulesMsg{Version: 1, Text: "route model m class interactive # test\nserve model m version v1 # test\n"})
	var list []Upstream
	for i := range n {
		id := ident.UpstreamID(fmt.Sprintf("engine-%d", i))
		list = append(list, Upstream{ID: id, Role: RoleEngine, Address: "10.0.0.1:1", Zone: ident.Zone(fmt.Sprintf("zone-%d", i%3))})
	}
	m.Update(now, UpstreamsMsg{Upstreams: list})
	for _, u := range list {
		full := Load{BootID: "b", Running: m.maxPerUpstream, Loaded: []Loaded{{"m", "v1"}}}
		m.Update(now, LoadMsg{Upstream: u.ID, Load: full})
	}
	classes := []ident.Class{ident.Interactive, ident.Deferred}
	for i := range maxWaiting {
		r := Request{
			ID: ident.RequestID(fmt.Sprint("r", i)), Org: ident.OrgID(fmt.Sprint("org-", i%4)), Model: "m",
			Class: classes[i%2], PromptRoot: uint64(i), PromptTokens: 4096, Repeatable: true,
		}
		m.Update(now, ArriveMsg{Request: r})
	}
	if m.Waiting() != maxWaiting {
		b.Fatalf("%d requests wait", m.Waiting())
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Update(now, TickMsg{})
	}
}
