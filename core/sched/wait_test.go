package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// sends lists the requests of the send commands, in order.
func sends(cmds []ident.Cmd) (ids []ident.RequestID) {
	for _, cmd := range cmds {
		if cmd, ok := cmd.(sched.SendCmd); ok {
			ids = append(ids, cmd.Request)
		}
	}
	return ids
}

func arrivalOfClass(id string, org ident.OrgID, class ident.Class) sched.ArriveMsg {
	msg := arrival(id, org)
	msg.Request.Class = class
	return msg
}

// TestWaitingIsOrderedByClassAndShare fills the only upstream and queues requests of two classes and organisations.
func TestWaitingIsOrderedByClassAndShare(t *testing.T) {
	m := newModel(1, sched.WithMaxPerUpstream(2))
	m.Update(start, arrival("running-1", "large"))
	m.Update(start, arrival("running-2", "large"))
	for _, msg := range []sched.ArriveMsg{
		arrivalOfClass("deferred", "small", ident.Deferred), arrival("large", "large"), arrival("small", "small"),
	} {
		if diff := cmp.Diff([]ident.Cmd(nil), m.Update(start, msg)); diff != "" {
			t.Fatalf("commands for a full upstream (-want +got):\n%s", diff)
		}
	}
	var order []ident.RequestID
	for _, done := range []ident.RequestID{"running-1", "running-2", "small"} {
		order = append(order, sends(m.Update(start, sched.EndMsg{Request: done, Attempt: 1}))...)
	}
	if diff := cmp.Diff([]ident.RequestID{"small", "large", "deferred"}, order); diff != "" {
		t.Errorf("send order (-want +got):\n%s", diff)
	}
}

// TestWaitTimeoutRefuses leaves requests waiting until the limit of their class or deadline.
func TestWaitTimeoutRefuses(t *testing.T) {
	m := newModel(1, sched.WithMaxPerUpstream(1), sched.WithWaitLimit(ident.Interactive, time.Second))
	m.Update(start, arrival("running", "one"))
	m.Update(start, arrival("patient", "one"))
	hasty := arrival("hasty", "one")
	hasty.Request.Deadline = 300 * time.Millisecond
	m.Update(start, hasty)
	refused := map[time.Duration]ident.RequestID{}
	for at := time.Duration(0); at <= 2*time.Second; at += 100 * time.Millisecond {
		for _, cmd := range m.Update(start.Add(at), sched.TickMsg{}) {
			refusal, ok := cmd.(sched.RefuseCmd)
			if !ok || refusal.Code != sched.CodeOverloaded || !refusal.NotRun || refusal.RetryAfter <= 0 {
				t.Fatalf("unexpected command %+v", cmd)
			}
			refused[at] = refusal.Request
		}
	}
	want := map[time.Duration]ident.RequestID{300 * time.Millisecond: "hasty", time.Second: "patient"}
	if diff := cmp.Diff(want, refused); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// TestWaitingHoldsItsBounds draws arrivals, ends and ticks: no upstream gets more than its limit, and
// every request is answered once, in flight or waiting.
func TestWaitingHoldsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 3
		m := newModel(2, sched.WithMaxPerUpstream(limit))
		now, open := start, map[ident.RequestID]sched.SendCmd{}
		arrived, ended := 0, 0
		note := func(cmds []ident.Cmd) {
			for _, cmd := range cmds {
				switch cmd := cmd.(type) {
				case sched.SendCmd:
					open[cmd.Request] = cmd
				case sched.RefuseCmd:
					ended++
				case sched.CancelCmd:
					delete(open, cmd.Request)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				arrived++
				org := ident.OrgID(rapid.SampledFrom([]string{"one", "two"}).Draw(t, "org"))
				class := rapid.SampledFrom(ident.Classes()).Draw(t, "class")
				note(m.Update(now, arrivalOfClass(fmt.Sprint("r", arrived), org, class)))
			},
			"end": func(t *rapid.T) {
				for i := range arrived {
					id := ident.RequestID(fmt.Sprint("r", i+1))
					if cmd, sent := open[id]; sent {
						delete(open, id)
						ended++
						note(m.Update(now, sched.EndMsg{Request: id, Attempt: cmd.Attempt}))
						return
					}
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				note(m.Update(now, sched.TickMsg{}))
			},
			"": func(t *rapid.T) {
				load := map[ident.UpstreamID]int{}
				for _, cmd := range open {
					load[cmd.Upstream]++
				}
				for id, n := range load {
					if n > limit {
						t.Fatalf("%s has %d requests, at most %d are allowed", id, n, limit)
					}
				}
				if diff := cmp.Diff(arrived, ended+len(open)+m.Waiting()); diff != "" {
					t.Fatalf("requests arrived and accounted for (-want +got):\n%s", diff)
				}
			},
		})
	})
}
