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

const drainRule = "drain az zone-0  # asked by: test\n"

// sendsOf adds the number of attempts sent to each upstream.
func sendsOf(cmds []ident.Cmd, into map[ident.UpstreamID]int) {
	for _, cmd := range cmds {
		if send, ok := cmd.(sched.SendCmd); ok {
			into[send.Upstream]++
		}
	}
}

// TestClosedUpstreamsGetNoWork draws arrivals, failures, missed probes and ticks after a zone is drained and an
// upstream leaves. The closed upstreams must get no work even when the failures and misses leave hardly any open
// upstream trusted.
func TestClosedUpstreamsGetNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(6)
		now, sent := start, map[ident.UpstreamID]int{}
		var list []sched.Upstream
		for i := range 6 {
			list = append(list, sched.Upstream{
				ID: engineID(i), Role: sched.RoleEngine, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: zone(i), Leaving: i == 1,
			})
		}
		for i := range 5 {
			m.Update(now, arrival(fmt.Sprintf("before-%d", i), "one"))
		}
		m.Update(now, sched.RulesMsg{Version: 2, Text: testRules + drainRule})
		m.Update(now, sched.UpstreamsMsg{Upstreams: list})
		for i := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond)
			var cmds []ident.Cmd
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				cmds = m.Update(now, arrival(fmt.Sprintf("r%d", i), "one"))
			case 1:
				of := rapid.IntRange(0, i).Draw(t, "of")
				cmds = m.Update(now, sched.FailMsg{Request: ident.RequestID(fmt.Sprintf("r%d", of)), Attempt: 1, Cause: sched.CauseBroken})
			case 2:
				cmds = m.Update(now, sched.UnreachableMsg{Upstream: engineID(rapid.IntRange(0, 5).Draw(t, "lost"))})
			default:
				cmds = m.Update(now, sched.TickMsg{})
			}
			sendsOf(cmds, sent)
		}
		closed := []int{sent[engineID(0)], sent[engineID(1)], sent[engineID(3)]}
		if diff := cmp.Diff([]int{0, 0, 0}, closed); diff != "" {
			t.Fatalf("attempts on closed upstreams (-want +got):\n%s", diff)
		}
	})
}

// TestDrainGraceByClass drains a zone that runs requests of two classes: each class moves after its grace period, and
// no tick moves more than the limit.
func TestDrainGraceByClass(t *testing.T) {
	m := newModel(6)
	var onZone []ident.RequestID
	for i, class := range []ident.Class{ident.Interactive, ident.Deferred} {
		for n := range 40 {
			msg := arrival(fmt.Sprintf("r%d-%d", i, n), "one")
			msg.Request.PromptRoot, msg.Request.Class = uint64(n), class
			send := m.Update(start, msg)[0].(sched.SendCmd)
			if send.Upstream == engineID(0) || send.Upstream == engineID(3) {
				onZone = append(onZone, msg.Request.ID)
			}
		}
	}
	m.Update(start, sched.RulesMsg{Version: 2, Text: testRules + drainRule})
	moved := map[ident.RequestID]bool{}
	highest := 0
	for tick := range 300 {
		if tick == 100 && len(moved) >= len(onZone) {
			t.Error("interactive requests were moved within their grace")
		}
		cancels := 0
		for _, cmd := range m.Update(start.Add(time.Duration(tick)*50*time.Millisecond), sched.TickMsg{}) {
			if cancel, ok := cmd.(sched.CancelCmd); ok {
				moved[cancel.Request] = true
				cancels++
			}
		}
		highest = max(highest, cancels)
	}
	if len(onZone) == 0 || len(moved) != len(onZone) {
		t.Errorf("%d of %d requests were moved", len(moved), len(onZone))
	}
	if highest > 4 {
		t.Errorf("%d requests were moved at one tick", highest)
	}
}

// TestReturningZoneRampsUp reopens an idle zone while the others are heavily loaded, and counts
// the requests that it gets in each second.
func TestReturningZoneRampsUp(t *testing.T) {
	for _, policy := range []string{"affinity", "least_outstanding"} {
		t.Run(policy, func(t *testing.T) {
			m := newModel(6, sched.WithPolicy(policy), sched.WithMaxPerUpstream(1000))
			m.Update(start, sched.RulesMsg{Version: 2, Text: testRules + drainRule})
			for i := range 400 {
				msg := arrival(fmt.Sprintf("before-%d", i), "one")
				msg.Request.PromptRoot = uint64(i)
				m.Update(start, msg)
			}
			m.Update(start, sched.RulesMsg{Version: 3, Text: testRules})
			var returned []int
			for second := range 12 {
				sent := map[ident.UpstreamID]int{}
				for i := range 60 {
					msg := arrival(fmt.Sprintf("r%d-%d", second, i), "one")
					msg.Request.PromptRoot = uint64(1000 + 60*second + i)
					sendsOf(m.Update(start.Add(time.Duration(second)*time.Second), msg), sent)
				}
				returned = append(returned, sent[engineID(0)]+sent[engineID(3)])
			}
			for second, n := range returned {
				// Two upstreams at a share s expect at most 2s of the requests; the limit doubles that for chance.
				limit := 60 * 2 * 2 * max(1, second) / 10
				if n > limit {
					t.Errorf("second %d: %d of 60 requests went to the returned zone, expected at most %d", second, n, limit)
				}
			}
			if returned[11] == 0 {
				t.Error("the returned zone gets no work")
			}
		})
	}
}
