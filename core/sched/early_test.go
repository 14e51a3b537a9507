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
	// simStep is the time between two looks of a simulation, and simLength its length.
	simStep   = 5 * time.Millisecond
	simLength = 30 * time.Second
	// simPrompt is the tokens of each prompt, and simRate how many the engine computes a second.
	simPrompt = 1000
	simRate   = 10000
	// simTarget is by when a first token is in time.
	simTarget = 1500 * time.Millisecond
)

// queueSim is one engine that computes prompts in the order that they came.
type queueSim struct {
	m       *sched.Model
	now     time.Time
	queue   []sched.SendCmd
	freeAt  time.Time
	arrived map[ident.RequestID]time.Time
	org     map[ident.RequestID]ident.OrgID
	asked   map[ident.OrgID]int
	inTime  map[ident.OrgID]int
	late    int
	refused []sched.RefuseCmd
}

func newQueueSim() *queueSim {
	return &queueSim{
		m: newModel(1, sched.WithMostPerUpstream(1000)), now: start, freeAt: start,
		arrived: map[ident.RequestID]time.Time{}, org: map[ident.RequestID]ident.OrgID{},
		asked: map[ident.OrgID]int{}, inTime: map[ident.OrgID]int{},
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
	msg := ask(fmt.Sprint("r", len(s.arrived)), org)
	msg.Request.PromptRoot, msg.Request.PromptTokens = uint64(len(s.arrived)), simPrompt
	s.arrived[msg.Request.ID], s.org[msg.Request.ID] = s.now, org
	s.asked[org]++
	s.update(msg)
}

// serve ends the prompts that are computed by now.
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

// run offers requests of each organisation at a steady rate a second.
func (s *queueSim) run(rates map[ident.OrgID]float64) {
	for s.now.Sub(start) < simLength {
		s.now = s.now.Add(simStep)
		s.serve()
		for _, org := range []ident.OrgID{"flood", "small"} {
			for float64(s.asked[org]) < rates[org]*s.now.Sub(start).Seconds() {
				s.arrive(org)
			}
		}
		s.update(sched.TickMsg{})
	}
}

// TestGoodputHoldsAtTwiceTheCapacity offers half to twice of what the engine can compute.
func TestGoodputHoldsAtTwiceTheCapacity(t *testing.T) {
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

// TestFloodLeavesOthersTheirShare lets one organisation ask for five times the capacity and another for a fifth of it.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	s := newQueueSim()
	s.run(map[ident.OrgID]float64{"flood": 50, "small": 2})
	t.Logf("small: %d of %d in time; flood: %d of %d", s.inTime["small"], s.asked["small"], s.inTime["flood"], s.asked["flood"])
	if 10*s.inTime["small"] < 9*s.asked["small"] {
		t.Errorf("%d of %d answers in time beside a flood", s.inTime["small"], s.asked["small"])
	}
}

// TestDeadlineThatCannotBeMetIsRefusedAtOnce asks behind a queue for an answer before its first token can come.
func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	s := newQueueSim()
	for range 5 {
		s.arrive("flood")
	}
	s.now = s.now.Add(100 * time.Millisecond)
	s.serve()
	msg := ask("hasty", "small")
	msg.Request.Deadline = 300 * time.Millisecond
	s.update(msg)
	if len(s.refused) != 1 || s.refused[0].Request != "hasty" || !s.refused[0].NotRun {
		t.Errorf("expected a refusal of the request at once, got %+v", s.refused)
	}
}

// TestLateChoiceGoesElsewhere queues prompts on the engine that they hash to until it is late, while another is idle.
func TestLateChoiceGoesElsewhere(t *testing.T) {
	m := newModel(2, sched.WithPolicy(route.NamePrefixHash))
	slow := ask("slow", "one")
	slow.Request.PromptRoot, slow.Request.PromptTokens = 1, simPrompt
	m.Update(start, slow)
	m.Update(start.Add(time.Second), sched.FirstMsg{Request: "slow", Attempt: 1})
	sent := map[ident.UpstreamID]int{}
	for i := range 6 {
		msg := ask(fmt.Sprint("r", i), "one")
		msg.Request.PromptTokens = simPrompt
		sendsOf(m.Update(start.Add(time.Second), msg), sent)
	}
	if sent[engineID(0)] == 0 || sent[engineID(1)] == 0 || sent[engineID(0)]+sent[engineID(1)] != 6 {
		t.Errorf("6 requests were sent as %v, expected each to be sent and some to each engine", sent)
	}
}

// TestWaitEndsOnceTheDeadlineIsLost lets a request wait behind a full upstream that takes 100 ms a token.
func TestWaitEndsOnceTheDeadlineIsLost(t *testing.T) {
	const deadline, tokens = time.Second, 10
	m := newModel(1, sched.WithMostPerUpstream(1))
	slow := ask("slow", "one")
	slow.Request.PromptTokens = simPrompt
	m.Update(start, slow)
	m.Update(start.Add(time.Second), sched.FirstMsg{Request: "slow", Attempt: 1})
	now := start.Add(2 * time.Second)
	m.Update(now, sched.EndMsg{Request: "slow", Attempt: 1})
	m.Update(now, ask("running", "one"))
	hasty := ask("hasty", "one")
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
