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

const (
	// maxPreempted is how often a request may be preempted.
	maxPreempted = 2
	// agedAt is the age from which a deferred request without a deadline no longer yields.
	agedAt   = 10 * time.Second
	capacity = 4
)

// preemptSim tracks the requests of a model and how often each was preempted.
type preemptSim struct {
	m         *sched.Model
	now       time.Time
	arrived   map[ident.RequestID]time.Time
	class     map[ident.RequestID]ident.Class
	running   map[ident.RequestID]sched.SendCmd
	preempted map[ident.RequestID]int
	ended     map[ident.RequestID]bool
}

func newPreemptSim(engines, limit int) *preemptSim {
	return &preemptSim{
		m: newModel(engines, sched.WithMaxPerUpstream(limit)), now: start,
		arrived: map[ident.RequestID]time.Time{}, class: map[ident.RequestID]ident.Class{},
		running: map[ident.RequestID]sched.SendCmd{}, preempted: map[ident.RequestID]int{}, ended: map[ident.RequestID]bool{},
	}
}

func (d *preemptSim) update(msg ident.Msg) {
	for _, cmd := range d.m.Update(d.now, msg) {
		switch cmd := cmd.(type) {
		case sched.SendCmd:
			d.running[cmd.Request] = cmd
		case sched.CancelCmd:
			delete(d.running, cmd.Request)
			d.preempted[cmd.Request]++
		case sched.RefuseCmd:
			d.ended[cmd.Request] = true
		}
	}
}

func (d *preemptSim) arrive(class ident.Class) {
	id := ident.RequestID(fmt.Sprint("r", len(d.arrived)))
	d.arrived[id], d.class[id] = d.now, class
	d.update(arrivalOfClass(string(id), "one", class))
}

// end completes the oldest running request.
func (d *preemptSim) end() {
	for i := range len(d.arrived) {
		id := ident.RequestID(fmt.Sprint("r", i))
		if cmd, runs := d.running[id]; runs {
			delete(d.running, id)
			d.ended[id] = true
			d.update(sched.EndMsg{Request: id, Attempt: cmd.Attempt})
			return
		}
	}
}

func (d *preemptSim) advance(wait time.Duration) {
	d.now = d.now.Add(wait)
	d.update(sched.TickMsg{})
}

// preemptible reports whether a running request must yield.
func (d *preemptSim) preemptible(id ident.RequestID) bool {
	return d.class[id] == ident.Deferred && d.preempted[id] < maxPreempted && d.now.Sub(d.arrived[id]) < agedAt
}

// check verifies the state of every request after each message.
func (d *preemptSim) check(t *rapid.T) {
	for id, n := range d.preempted {
		if n > maxPreempted || d.class[id] != ident.Deferred {
			t.Fatalf("%s of class %s was preempted %d times", id, d.class[id], n)
		}
	}
	for id, class := range d.class {
		_, runs := d.running[id]
		if runs || d.ended[id] || class != ident.Interactive {
			continue
		}
		for other := range d.running {
			if d.preemptible(other) {
				t.Fatalf("%s waits for capacity while deferred %s still runs", id, other)
			}
		}
	}
}

// TestDeferredYieldsToInteractive draws interactive and deferred requests for two upstreams of low capacity: no
// interactive one waits while a deferred one could be preempted, none is preempted more often than allowed,
// and every one ends.
func TestDeferredYieldsToInteractive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newPreemptSim(2, capacity)
		t.Repeat(map[string]func(*rapid.T){
			"interactive": func(*rapid.T) { d.arrive(ident.Interactive) },
			"deferred":    func(*rapid.T) { d.arrive(ident.Deferred) },
			"end":         func(*rapid.T) { d.end() },
			"tick":        func(t *rapid.T) { d.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"":            d.check,
		})
		for range 2 * len(d.arrived) {
			d.advance(time.Second)
			d.end()
		}
		if diff := cmp.Diff(len(d.arrived), len(d.ended)); diff != "" {
			t.Fatalf("requests that arrived and ended (-want +got):\n%s", diff)
		}
	})
}

// TestDeferredPreemptedAtMostTwice sends interactive requests one after another to the only slot, which
// a deferred request holds.
func TestDeferredPreemptedAtMostTwice(t *testing.T) {
	d := newPreemptSim(1, 1)
	d.arrive(ident.Deferred)
	for range 2 * maxPreempted {
		d.arrive(ident.Interactive)
		d.end()
	}
	if diff := cmp.Diff(map[ident.RequestID]int{"r0": maxPreempted}, d.preempted); diff != "" {
		t.Errorf("requests preempted (-want +got):\n%s", diff)
	}
}

// TestDeferredSentBeforeDeadline keeps the upstreams full of interactive requests: a waiting deferred one is
// sent when its deadline is near or, without a deadline, once it has aged.
func TestDeferredSentBeforeDeadline(t *testing.T) {
	for _, test := range []struct{ deadline, latest time.Duration }{{4 * time.Second, 4 * time.Second}, {0, 12 * time.Second}} {
		d := newPreemptSim(2, capacity)
		for range 4 * capacity {
			d.arrive(ident.Interactive)
		}
		msg := arrivalOfClass("deferred", "one", ident.Deferred)
		msg.Request.Deadline = test.deadline
		d.update(msg)
		var sentAfter time.Duration
		for sentAfter == 0 && d.now.Sub(start) < 2*test.latest {
			d.arrive(ident.Interactive)
			d.arrive(ident.Interactive)
			d.advance(100 * time.Millisecond)
			d.end()
			if _, sent := d.running["deferred"]; sent {
				sentAfter = d.now.Sub(start)
			}
		}
		if sentAfter < time.Second || sentAfter >= test.latest {
			t.Errorf("deadline %v: sent after %v, expected to yield for 1 s and be sent before %v", test.deadline, sentAfter, test.latest)
		}
	}
}

// TestDeferredNearDeadlineNotPreempted checks that deferred requests near their deadline are not preempted.
func TestDeferredNearDeadlineNotPreempted(t *testing.T) {
	d := newPreemptSim(2, capacity)
	for i := range 2 * capacity {
		msg := arrivalOfClass(fmt.Sprint("d", i), "one", ident.Deferred)
		msg.Request.Deadline = 800 * time.Millisecond
		d.update(msg)
	}
	d.arrive(ident.Interactive)
	if diff := cmp.Diff(map[ident.RequestID]int{}, d.preempted); diff != "" {
		t.Errorf("requests preempted (-want +got):\n%s", diff)
	}
}

// TestMovedRequestNotReportedAsNotRun fails the second attempt of a request whose first one was cancelled by a
// drain: the first may have run.
func TestMovedRequestNotReportedAsNotRun(t *testing.T) {
	m := newModel(2, sched.WithMaxAttempts(1))
	first := m.Update(start, arrivalOfClass("r", "one", ident.Deferred))[0].(sched.SendCmd)
	drained := fmt.Sprintf("drain upstream %s  # asked by: test\n", first.Upstream)
	m.Update(start, sched.RulesMsg{Version: 2, Text: testRules + drained})
	m.Update(start, sched.TickMsg{})
	cmds := m.Update(start, sched.FailMsg{Request: "r", Attempt: 2, Cause: sched.CauseConnect})
	refusal, refused := cmds[0].(sched.RefuseCmd)
	if !refused || refusal.NotRun {
		t.Errorf("expected a refusal without not_run, got %+v", cmds)
	}
}
