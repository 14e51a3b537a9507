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
	// mostTaken is how often a request may be taken off an upstream.
	mostTaken = 2
	// agedAfter is when a deferred request without a deadline no longer stands back.
	agedAfter = 10 * time.Second
	room      = 4
)

// deferredRun follows the requests of a model that may be taken off their upstreams.
type deferredRun struct {
	m       *sched.Model
	now     time.Time
	arrived map[ident.RequestID]time.Time
	class   map[ident.RequestID]ident.Class
	running map[ident.RequestID]sched.SendCmd
	taken   map[ident.RequestID]int
	ended   map[ident.RequestID]bool
}

func newDeferredRun(engines, room int) *deferredRun {
	return &deferredRun{
		m: newModel(engines, sched.WithMostPerUpstream(room)), now: start,
		arrived: map[ident.RequestID]time.Time{}, class: map[ident.RequestID]ident.Class{},
		running: map[ident.RequestID]sched.SendCmd{}, taken: map[ident.RequestID]int{}, ended: map[ident.RequestID]bool{},
	}
}

func (d *deferredRun) update(msg ident.Msg) {
	for _, cmd := range d.m.Update(d.now, msg) {
		switch cmd := cmd.(type) {
		case sched.SendCmd:
			d.running[cmd.Request] = cmd
		case sched.CancelCmd:
			delete(d.running, cmd.Request)
			d.taken[cmd.Request]++
		case sched.RefuseCmd:
			d.ended[cmd.Request] = true
		}
	}
}

func (d *deferredRun) arrive(class ident.Class) {
	id := ident.RequestID(fmt.Sprint("r", len(d.arrived)))
	d.arrived[id], d.class[id] = d.now, class
	d.update(askClass(string(id), "one", class))
}

// end ends the oldest request that runs.
func (d *deferredRun) end() {
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

func (d *deferredRun) pass(wait time.Duration) {
	d.now = d.now.Add(wait)
	d.update(sched.TickMsg{})
}

// standsBack reports whether a running request must make room.
func (d *deferredRun) standsBack(id ident.RequestID) bool {
	return d.class[id] == ident.Deferred && d.taken[id] < mostTaken && d.now.Sub(d.arrived[id]) < agedAfter
}

// check looks at every request after each message.
func (d *deferredRun) check(t *rapid.T) {
	for id, n := range d.taken {
		if n > mostTaken || d.class[id] != ident.Deferred {
			t.Fatalf("%s of class %s was taken off %d times", id, d.class[id], n)
		}
	}
	for id, class := range d.class {
		_, runs := d.running[id]
		if runs || d.ended[id] || class != ident.Interactive {
			continue
		}
		for other := range d.running {
			if d.standsBack(other) {
				t.Fatalf("%s waits for room and deferred %s runs on", id, other)
			}
		}
	}
}

// TestDeferredStandsBack draws interactive and deferred requests for two upstreams of little room: no
// interactive one waits while a deferred one could make room, none is taken off more often than
// allowed, and every one ends.
func TestDeferredStandsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDeferredRun(2, room)
		t.Repeat(map[string]func(*rapid.T){
			"interactive": func(*rapid.T) { d.arrive(ident.Interactive) },
			"deferred":    func(*rapid.T) { d.arrive(ident.Deferred) },
			"end":         func(*rapid.T) { d.end() },
			"tick":        func(t *rapid.T) { d.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"":            d.check,
		})
		for range 2 * len(d.arrived) {
			d.pass(time.Second)
			d.end()
		}
		if diff := cmp.Diff(len(d.arrived), len(d.ended)); diff != "" {
			t.Fatalf("requests that arrived and ended (-want +got):\n%s", diff)
		}
	})
}

// TestDeferredIsTakenOffAtMostTwice sends interactive requests one after another to the one place that a
// deferred one has.
func TestDeferredIsTakenOffAtMostTwice(t *testing.T) {
	d := newDeferredRun(1, 1)
	d.arrive(ident.Deferred)
	for range 2 * mostTaken {
		d.arrive(ident.Interactive)
		d.end()
	}
	if diff := cmp.Diff(map[ident.RequestID]int{"r0": mostTaken}, d.taken); diff != "" {
		t.Errorf("requests taken off (-want +got):\n%s", diff)
	}
}

// TestDeferredIsSentForItsDeadline keeps a full upstream busy with interactive requests, the deferred
// one behind them, until its deadline is near; without one it is sent once it has aged.
func TestDeferredIsSentForItsDeadline(t *testing.T) {
	for _, test := range []struct{ deadline, latest time.Duration }{{4 * time.Second, 4 * time.Second}, {0, 12 * time.Second}} {
		d := newDeferredRun(2, room)
		for range 4 * room {
			d.arrive(ident.Interactive)
		}
		msg := askClass("deferred", "one", ident.Deferred)
		msg.Request.Deadline = test.deadline
		d.update(msg)
		var sentAfter time.Duration
		for sentAfter == 0 && d.now.Sub(start) < 2*test.latest {
			d.arrive(ident.Interactive)
			d.arrive(ident.Interactive)
			d.pass(100 * time.Millisecond)
			d.end()
			if _, sent := d.running["deferred"]; sent {
				sentAfter = d.now.Sub(start)
			}
		}
		if sentAfter < time.Second || sentAfter >= test.latest {
			t.Errorf("deadline %v: sent after %v, expected to stand back for 1 s and be sent before %v", test.deadline, sentAfter, test.latest)
		}
	}
}

// TestDeferredNearItsDeadlineRunsOn lets an interactive request find no room while the deferred ones have to go on.
func TestDeferredNearItsDeadlineRunsOn(t *testing.T) {
	d := newDeferredRun(2, room)
	for i := range 2 * room {
		msg := askClass(fmt.Sprint("d", i), "one", ident.Deferred)
		msg.Request.Deadline = 800 * time.Millisecond
		d.update(msg)
	}
	d.arrive(ident.Interactive)
	if diff := cmp.Diff(map[ident.RequestID]int{}, d.taken); diff != "" {
		t.Errorf("requests taken off (-want +got):\n%s", diff)
	}
}

// TestMovedRequestIsNeverSaidNotToHaveRun fails the second sending of a request whose first one was stopped.
func TestMovedRequestIsNeverSaidNotToHaveRun(t *testing.T) {
	m := newModel(2, sched.WithMaxAttempts(1))
	first := m.Update(start, askClass("r", "one", ident.Deferred))[0].(sched.SendCmd)
	drained := fmt.Sprintf("drain upstream %s  # asked by: test\n", first.Upstream)
	m.Update(start, sched.RulesMsg{Version: 2, Text: testRules + drained})
	m.Update(start, sched.TickMsg{})
	cmds := m.Update(start, sched.FailMsg{Request: "r", Attempt: 2, Cause: sched.CauseConnect})
	refusal, refused := cmds[0].(sched.RefuseCmd)
	if !refused || refusal.NotRun {
		t.Errorf("expected a refusal that does not say not_run, got %+v", cmds)
	}
}
