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
	tickEvery = 50 * time.Millisecond
	lag       = 3 * time.Second
)

// tickTo lets time pass without a lag.
func tickTo(m *sched.Model, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(tickEvery) {
		m.Update(now, sched.TickMsg{})
	}
}

// reasons tells why upstreams get no new work.
func reasons(m *sched.Model, now time.Time) (reasons []string) {
	for _, u := range m.Upstreams(now) {
		reasons = append(reasons, u.Reason)
	}
	return reasons
}

// TestOwnLagIsNoSignAgainstUpstreams lets every probe and stream run into its limit, in a lag of the entry and without one.
func TestOwnLagIsNoSignAgainstUpstreams(t *testing.T) {
	const engines, requests = 4, 12
	for name, late := range map[string]bool{"late": true, "in time": false} {
		m := newModel(engines, sched.WithRetryBudget(1, 4))
		tickTo(m, start, start.Add(time.Second))
		sentAt := start.Add(time.Second)
		for i := range requests {
			m.Update(sentAt, ask(fmt.Sprintf("r%d", i), "one"))
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
			t.Errorf("%s: refused, sent again, upstreams blamed (-want +got):\n%s", name, diff)
		}
	}
}

// TestMissAfterALagCounts probes after the lag is over.
func TestMissAfterALagCounts(t *testing.T) {
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

// TestExcusesEnd lets a request meet one lag after the other.
func TestExcusesEnd(t *testing.T) {
	m := newModel(3)
	now := start
	m.Update(now, sched.TickMsg{})
	cmds := m.Update(now, ask("r", "one"))
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
		t.Errorf("sendings of a request that is always late (-want +got):\n%s", diff)
	}
}

// TestNewEntryIsNotFitBeforeItHasHeardOfEachRole lets the first probes of a new entry miss, as they do when it is late.
func TestNewEntryIsNotFitBeforeItHasHeardOfEachRole(t *testing.T) {
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
		t.Errorf("fit after each probe (-want +got):\n%s", diff)
	}
}

// TestOwnLagTeachesNoPace lets first tokens wait in a lag of the entry: the requests after it are not refused as too
// late by an estimate that the lag made.
func TestOwnLagTeachesNoPace(t *testing.T) {
	m := newModel(1)
	tickTo(m, start, start.Add(time.Second))
	now := start.Add(time.Second)
	send := func(id string) (code sched.Code) {
		msg := ask(id, "one")
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
