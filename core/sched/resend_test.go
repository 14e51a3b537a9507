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

const testRules = `
route model m class interactive  # asked by: test
serve model m version v1  # asked by: test
`

var start = time.Unix(1000, 0)

// newModel returns a model with engines in three zones, each with a load report.
func newModel(engines int, options ...sched.Option) *sched.Model {
	m := sched.NewModel(options...)
	m.Update(start, sched.RulesMsg{Version: 1, Text: testRules})
	var list []sched.Upstream
	for i := range engines {
		list = append(list, sched.Upstream{
			ID: engineID(i), Role: sched.RoleEngine, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: zone(i),
		})
	}
	m.Update(start, sched.UpstreamsMsg{Upstreams: list})
	for _, u := range list {
		m.Update(start, loadOf(u.ID, "boot-1"))
	}
	return m
}

func engineID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("engine-%d", i)) }

func zone(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i%3)) }

func loadOf(id ident.UpstreamID, boot ident.BootID) sched.LoadMsg {
	return sched.LoadMsg{Upstream: id, Load: sched.Load{BootID: boot, Loaded: []sched.Loaded{{Model: "m", Version: "v1"}}}}
}

func arrival(id string, org ident.OrgID) sched.ArriveMsg {
	return sched.ArriveMsg{Request: sched.Request{
		ID: ident.RequestID(id), Org: org, Model: "m", PromptRoot: 7, PromptTokens: 100, MaxTokens: 10, Repeatable: true,
	}}
}

// TestRetryKeepsVersion changes the served version between two attempts of a request that has delivered tokens.
func TestRetryKeepsVersion(t *testing.T) {
	m := newModel(3)
	first := m.Update(start, arrival("r", "one"))[0].(sched.SendCmd)
	for i := range 3 {
		load := loadOf(engineID(i), "boot-1")
		load.Load.Loaded = append(load.Load.Loaded, sched.Loaded{Model: "m", Version: "v2"})
		m.Update(start, load)
	}
	moved := "route model m class interactive  # asked by: test\nserve model m version v2  # asked by: test\n"
	m.Update(start, sched.RulesMsg{Version: 2, Text: moved})
	second := m.Update(start, sched.FailMsg{Request: "r", Attempt: 1, Cause: sched.CauseBroken, Delivered: 3})[0].(sched.SendCmd)
	if diff := cmp.Diff([]any{first.Version, 3, true}, []any{second.Version, second.ResumeFrom, second.FreshConnection}); diff != "" {
		t.Errorf("second attempt (-want +got):\n%s", diff)
	}
	if second.Upstream == first.Upstream {
		t.Errorf("the second attempt went to %s again", first.Upstream)
	}
}

// TestRetriesStayWithinBudget draws failures of many requests and checks the number of retries.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(6, sched.WithRetryBudget(1, 4))
		now, extra := start, 0
		for i := range 40 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond)
			id := fmt.Sprintf("r%d", i)
			cmds := m.Update(now, arrival(id, "one"))
			for len(cmds) == 1 {
				send, sent := cmds[0].(sched.SendCmd)
				if !sent {
					break
				}
				if send.Attempt > 1 {
					extra++
				}
				cmds = m.Update(now, sched.FailMsg{Request: ident.RequestID(id), Attempt: send.Attempt, Cause: sched.CauseConnect})
			}
			refusal, refused := cmds[0].(sched.RefuseCmd)
			if !refused || !refusal.NotRun || refusal.RetryAfter <= 0 {
				t.Fatalf("final answer: %+v", cmds)
			}
		}
		if limit := 4 + int(now.Sub(start).Seconds()); extra > limit {
			t.Fatalf("%d retries, budget allows %d", extra, limit)
		}
	})
}

// TestUnrepeatableNotResent fails an attempt that may have run: it must not be retried.
func TestUnrepeatableNotResent(t *testing.T) {
	m := newModel(3)
	msg := arrival("r", "one")
	msg.Request.Repeatable = false
	m.Update(start, msg)
	refusal := m.Update(start, sched.FailMsg{Request: "r", Attempt: 1, Cause: sched.CauseBroken})[0].(sched.RefuseCmd)
	if diff := cmp.Diff([]any{sched.CodeOutcomeUnknown, false}, []any{refusal.Code, refusal.NotRun}); diff != "" {
		t.Errorf("final answer (-want +got):\n%s", diff)
	}
}

// TestSilenceNotCountedAsCrash lets one request time out on several upstreams: it must not be quarantined.
func TestSilenceNotCountedAsCrash(t *testing.T) {
	m := newModel(6)
	for i := range 3 {
		msg := arrival(fmt.Sprintf("r%d", i), "one")
		msg.Request.Digest = "d"
		cmds := m.Update(start, msg)
		for attempt := 1; len(cmds) > 0; attempt++ {
			send, sent := cmds[0].(sched.SendCmd)
			if !sent {
				break
			}
			cmds = m.Update(start, sched.FailMsg{Request: send.Request, Attempt: attempt, Cause: sched.CauseSilent})
		}
		if diff := cmp.Diff(sched.CodeUpstreamFailed, cmds[0].(sched.RefuseCmd).Code); diff != "" {
			t.Errorf("request %d: final answer (-want +got):\n%s", i, diff)
		}
	}
}
