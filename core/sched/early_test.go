package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
	"cicadavalve/core/sched"
)

const (
	// simStep is the time step of a simulation, and simLength its duration.
	simStep   = 5 * time.Millisecond
	simLength = 30 * time.Second
	// simPrompt is the number of tokens per prompt, and simRate the tokens that the engine computes per second.
	simPrompt = 1000
	simRate   = 10000
	// simTarget is the time from arrival within which a first token is in time.
	simTarget = 1500 * time.Millisecond
)

// queueSim simulates one engine that computes prompts in order of arrival.
type queueSim struct {
	m       *sched.Model
	now     time.Time
	queue   []sched.SendCmd
	freeAt  time.Time
	arrived map[ident.RequestID]time.Time
	org     map[ident.RequestID]ident.OrgID
	offered map[ident.OrgID]int
	inTime  map[ident.OrgID]int
	late    int
	refused []sched.RefuseCmd
}

func newQueueSim() *queueSim {
	return &queueSim{
		m: newModel(1, sched.WithMaxPerUpstream(1000)), now: start, freeAt: start,
		arrived: map[ident.RequestID]time.Time{}, org: map[ident.RequestID]ident.OrgID{},
		offered: map[ident.OrgID]int{}, inTime: map[ident.OrgID]int{},
	}
}

func (s *queueSim) update(msg ident.Msg) {
	for _, cmd := range s.m.Update(s.now, msg) {
		switch cmd := cmd.(type) {
		case sched.SendCmd:
			s.queue = append(s.queue, cmd)
		case sched.RefuseCmd:
			s.refused = append(s.refused, cmd)
		}
	}
}

func (s *queueSim) arrive(org ident.OrgID) {
	msg := arrival(fmt.Sprint("r", len(s.arrived)), org)
	msg.Request.PromptRoot, msg.Request.PromptTokens = uint64(len(s.arrived)), simPrompt
	s.arrived[msg.Request.ID], s.org[msg.Request.ID] = s.now, org
	s.offered[org]++
	s.update(msg)
}

// serve completes the prompts that are computed by now.
func (s *queueSim) serve() {
	takes := time.Second * simPrompt / simRate
	for len(s.queue) > 0 && !s.freeAt.Add(takes).After(s.now) {
		cmd := s.queue[0]
		s.queue = s.queue[1:]
		s.freeAt = s.freeAt.Add(takes)
		if s.now.Sub(s.arrived[cmd.Request]) <= simTarget {
			s.inTime[s.org[cmd.Request]]++
		} else {
			s.late++
		}
		s.update(sched.FirstMsg{Request: cmd.Request, Attempt: cmd.Attempt})
		s.update(sched.EndMsg{Request: cmd.Request, Attempt: cmd.Attempt})
	}
	if len(s.queue) == 0 {
		s.freeAt = s.now
	}
}

// run offers requests of each organisation at a constant rate per second.
func (s *queueSim) run(rates map[ident.OrgID]float64) {
	for s.now.Sub(start) < simLength {
		s.now = s.now.Add(simStep)
		s.serve()
		for _, org := range []ident.OrgID{"flood", "small"} {
			for float64(s.offered[org]) < rates[org]*s.now.Sub(start).Seconds() {
				s.arrive(org)
			}
		}
		s.update(sched.TickMsg{})
	}
}

// TestGoodputUnderOverload offers half to twice the engine's capacity: answers in time stay near their peak.
func TestGoodputUnderOverload(t *testing.T) {
	const capacity = float64(simRate) / simPrompt
	peak, last := 0, 0
	for _, times := range []float64{0.5, 1, 1.5, 2} {
		s := newQueueSim()
		s.run(map[ident.OrgID]float64{"flood": times * capacity})
		last = s.inTime["flood"]
		peak = max(peak, last)
		t.Logf("%.1f times the capacity: %d in time, %d late, %d refused", times, last, s.late, len(s.refused))
		for _, r := range s.refused {
			if diff := cmp.Diff([]any{sched.CodeOverloaded, true, true}, []any{r.Code, r.NotRun, r.RetryAfter > 0}); diff != "" {
				t.Fatalf("refusal (-want +got):\n%s", diff)
			}
		}
	}
	if 10*last < 9*peak {
		t.Errorf("%d answers in time at twice the capacity, peak %d", last, peak)
	}
}

// TestOrgShareUnderFlood checks that an organisation at a fifth of the capacity is served beside one at five times the
// capacity.
func TestOrgShareUnderFlood(t *testing.T) {
	s := newQueueSim()
	s.run(map[ident.OrgID]float64{"flood": 50, "small": 2})
	t.Logf("small: %d of %d in time; flood: %d of %d", s.inTime["small"], s.offered["small"], s.inTime["flood"], s.offered["flood"])
	if 10*s.inTime["small"] < 9*s.offered["small"] {
		t.Errorf("%d of %d answers in time during a flood", s.inTime["small"], s.offered["small"])
	}
}

// TestInfeasibleDeadlineRefusedAtOnce sends a request whose deadline is shorter than the queue ahead of it.
func TestInfeasibleDeadlineRefusedAtOnce(t *testing.T) {
	s := newQueueSim()
	for range 5 {
		s.arrive("flood")
	}
	s.now = s.now.Add(100 * time.Millisecond)
	s.serve()
	msg := arrival("hasty", "small")
	msg.Request.Deadline = 300 * time.Millisecond
	s.update(msg)
	if len(s.refused) != 1 || s.refused[0].Request != "hasty" || !s.refused[0].NotRun {
		t.Errorf("expected an immediate refusal of the request, got %+v", s.refused)
	}
}

// TestLateUpstreamAvoided queues prompts on the engine that they hash to until it would be late, while another engine
// is idle.
func TestLateUpstreamAvoided(t *testing.T) {
	m := newModel(2, sched.WithPolicy(route.NamePrefixHash))
	slow := arrival("slow", "one")
	slow.Request.PromptRoot, slow.Request.PromptTokens = 1, simPrompt
	m.Update(start, slow)
	m.Update(start.Add(time.Second), sched.FirstMsg{Request: "slow", Attempt: 1})
	sent := map[ident.UpstreamID]int{}
	for i := range 6 {
		msg := arrival(fmt.Sprint("r", i), "one")
		msg.Request.PromptTokens = simPrompt
		sendsOf(m.Update(start.Add(time.Second), msg), sent)
	}
	if sent[engineID(0)] == 0 || sent[engineID(1)] == 0 || sent[engineID(0)]+sent[engineID(1)] != 6 {
		t.Errorf("6 requests were sent as %v, expected each to be sent and some to each engine", sent)
	}
}

// TestWaitEndsWhenDeadlineInfeasible queues a request behind a full upstream whose last answer took 100 ms per token:
// it is refused as soon as its answer could no longer be complete by its deadline.
func TestWaitEndsWhenDeadlineInfeasible(t *testing.T) {
	const deadline, tokens = time.Second, 10
	m := newModel(1, sched.WithMaxPerUpstream(1))
	slow := arrival("slow", "one")
	slow.Request.PromptTokens = simPrompt
	m.Update(start, slow)
	m.Update(start.Add(time.Second), sched.FirstMsg{Request: "slow", Attempt: 1})
	now := start.Add(2 * time.Second)
	m.Update(now, sched.EndMsg{Request: "slow", Attempt: 1})
	m.Update(now, arrival("running", "one"))
	hasty := arrival("hasty", "one")
	hasty.Request.Deadline, hasty.Request.MaxTokens = deadline, tokens
	m.Update(now, hasty)
	waited := time.Duration(0)
	for len(m.Requests(now)) == 2 && waited < 2*deadline {
		waited += 10 * time.Millisecond
		m.Update(now.Add(waited), sched.TickMsg{})
	}
	if waited > deadline/2 {
		t.Errorf("refused after %v of a deadline of %v, though its answer takes %d times at least 50 ms", waited, deadline, tokens)
	}
}
