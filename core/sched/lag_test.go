package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

const (
	tickInterval = 50 * time.Millisecond
	lag          = 3 * time.Second
)

// tickTo sends ticks over a period, without lag.
func tickTo(m *sched.Model, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(tickInterval) {
		m.Update(now, sched.TickMsg{})
	}
}

// reasons lists why each upstream gets no new work; empty if it may get some.
func reasons(m *sched.Model, now time.Time) (reasons []string) {
	for _, u := range m.Upstreams(now) {
		reasons = append(reasons, u.Reason)
	}
	return reasons
}

// TestEntryLagDoesNotMarkUpstreams lets every probe and stream time out, with and without a lag of the entry.
func TestEntryLagDoesNotMarkUpstreams(t *testing.T) {
	const engines, requests = 4, 12
	for name, late := range map[string]bool{"late": true, "in time": false} {
		m := newModel(engines, sched.WithRetryBudget(1, 4))
		tickTo(m, start, start.Add(time.Second))
		sentAt := start.Add(time.Second)
		for i := range requests {
			m.Update(sentAt, arrival(fmt.Sprintf("r%d", i), "one"))
		}
		now := sentAt.Add(lag)
		if !late {
			tickTo(m, sentAt, now)
		}
		for range 2 {
			for i := range engines {
				m.Update(now, sched.UnreachableMsg{Upstream: engineID(i), Waited: lag})
			}
		}
		refused, sent := 0, 0
		for i := range requests {
			id := ident.RequestID(fmt.Sprintf("r%d", i))
			for _, cmd := range m.Update(now, sched.FailMsg{Request: id, Attempt: 1, Cause: sched.CauseSilent}) {
				switch cmd.(type) {
				case sched.RefuseCmd:
					refused++
				case sched.SendCmd:
					sent++
				}
			}
		}
		m.Update(now, sched.TickMsg{})
		blamed := 0
		for _, reason := range reasons(m, now) {
			if reason != "" {
				blamed++
			}
		}
		want := []int{0, requests, 0}
		if !late {
			want = []int{8, 4, engines}
		}
		if diff := cmp.Diff(want, []int{refused, sent, blamed}); diff != "" {
			t.Errorf("%s: refused, resent, upstreams marked (-want +got):\n%s", name, diff)
		}
	}
}

// TestProbeMissAfterLagCounts checks that probes missed after a lag count.
func TestProbeMissAfterLagCounts(t *testing.T) {
	m := newModel(1)
	tickTo(m, start, start)
	over := start.Add(lag)
	tickTo(m, over, over.Add(time.Second))
	for range 2 {
		m.Update(over.Add(time.Second), sched.UnreachableMsg{Upstream: engineID(0), Waited: 500 * time.Millisecond})
	}
	if diff := cmp.Diff([]string{"did not answer the last probes"}, reasons(m, over.Add(time.Second))); diff != "" {
		t.Errorf("reason (-want +got):\n%s", diff)
	}
}

// TestLagResendsBounded lets a request meet lag after lag: the resends that don't count as retries are limited.
func TestLagResendsBounded(t *testing.T) {
	m := newModel(3)
	now := start
	m.Update(now, sched.TickMsg{})
	cmds := m.Update(now, arrival("r", "one"))
	sendings := 0
	for len(cmds) > 0 && sendings < 100 {
		send, sent := cmds[0].(sched.SendCmd)
		if !sent {
			break
		}
		sendings++
		now = now.Add(lag)
		cmds = m.Update(now, sched.FailMsg{Request: "r", Attempt: send.Attempt, Cause: sched.CauseSilent})
		m.Update(now, sched.TickMsg{})
	}
	if diff := cmp.Diff(8, sendings); diff != "" {
		t.Errorf("attempts of a request that always meets a lag (-want +got):\n%s", diff)
	}
}

// TestNotSettledBeforeEachRoleReports lets the first probes of a new entry miss, as happens when it lags.
func TestNotSettledBeforeEachRoleReports(t *testing.T) {
	m := sched.NewModel()
	m.Update(start, sched.RulesMsg{Version: 1, Text: testRules})
	m.Update(start, sched.UpstreamsMsg{Upstreams: []sched.Upstream{
		{ID: engineID(0), Role: sched.RoleEngine}, {ID: engineID(1), Role: sched.RoleEngine},
		{ID: "app", Role: sched.RoleApp}, {ID: "store", Role: sched.RoleStore},
	}})
	var settled []bool
	step := func(msg ident.Msg) {
		m.Update(start, msg)
		settled = append(settled, m.Settled())
	}
	miss := func(id ident.UpstreamID) { step(sched.UnreachableMsg{Upstream: id}) }
	miss(engineID(0))
	miss(engineID(1))
	miss("app")
	step(loadOf(engineID(1), "boot"))
	for range 4 {
		miss("app")
	}
	if diff := cmp.Diff([]bool{false, false, false, false, false, false, false, true}, settled); diff != "" {
		t.Errorf("settled after each probe (-want +got):\n%s", diff)
	}
}

// TestEntryLagDoesNotAffectPace delays a first token by a lag of the entry: the lag must not raise the
// estimate by which later requests are refused.
func TestEntryLagDoesNotAffectPace(t *testing.T) {
	m := newModel(1)
	tickTo(m, start, start.Add(time.Second))
	now := start.Add(time.Second)
	send := func(id string) (code sched.Code) {
		msg := arrival(id, "one")
		msg.Request.PromptRoot, msg.Request.PromptTokens = uint64(len(id)), 1000
		for _, cmd := range m.Update(now, msg) {
			if refusal, refused := cmd.(sched.RefuseCmd); refused {
				code = refusal.Code
			}
		}
		return code
	}
	first := send("before")
	now = now.Add(lag)
	m.Update(now, sched.FirstMsg{Request: "before", Attempt: 1})
	tickTo(m, now, now.Add(time.Second))
	now = now.Add(time.Second)
	got := []sched.Code{first, send("one queued"), send("one behind it")}
	if diff := cmp.Diff([]sched.Code{"", "", ""}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}
