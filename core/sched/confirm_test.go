package sched_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/poison"
	"cicadavalve/core/sched"
)

// crashSim simulates entries whose engines crash under one request. An entry applies its own records at
// once; the others apply them only when asked to confirm them.
type crashSim struct {
	now     time.Time
	models  []*sched.Model
	log     []ledger.Entry
	crashes int
	// lastCrash is when the last engine crashed.
	lastCrash time.Time
	// logDown is true while the log accepts no records, membersSilent while the members don't answer.
	logDown, membersSilent bool
}

func newCrashSim(entries int) *crashSim {
	c := &crashSim{now: start}
	for i := range entries {
		id := ident.EntryID(rune('a' + i))
		c.models = append(c.models, newModel(8, sched.WithEntry(id), sched.WithSeed(uint64(i+1))))
	}
	return c
}

func (c *crashSim) fold(m *sched.Model) []ident.Cmd {
	return m.Update(c.now, ledger.BatchMsg{Stream: ledger.StreamVerdict, Entries: c.log, Next: int64(len(c.log))})
}

// submit sends the crashing request to an entry and returns its refusal and how long that took. It
// checks that the refusal follows the last crash without delay.
func (c *crashSim) submit(t *testing.T, entry int, id string) (refusal sched.RefuseCmd, took time.Duration) {
	t.Helper()
	startedAt := c.now
	msg := arrival(id, "one")
	msg.Request.Digest = "crashing"
	pending := c.models[entry].Update(c.now, msg)
	for c.now.Sub(startedAt) < time.Minute {
		for len(pending) > 0 {
			cmd := pending[0]
			pending = pending[1:]
			if refused, ok := cmd.(sched.RefuseCmd); ok {
				if diff := cmp.Diff(time.Duration(0), c.now.Sub(latest(c.lastCrash, startedAt))); diff != "" {
					t.Errorf("request %s: the answer came after the last loss by (-want +got):\n%s", id, diff)
				}
				return refused, c.now.Sub(startedAt)
			}
			pending = append(pending, c.perform(c.models[entry], cmd)...)
		}
		c.now = c.now.Add(50 * time.Millisecond)
		pending = c.models[entry].Update(c.now, sched.TickMsg{})
	}
	t.Fatal("no answer")
	return refusal, 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *crashSim) perform(m *sched.Model, cmd ident.Cmd) (cmds []ident.Cmd) {
	switch cmd := cmd.(type) {
	case sched.SendCmd:
		c.crashes++
		c.lastCrash = c.now
		return m.Update(c.now, sched.FailMsg{Request: cmd.Request, Attempt: cmd.Attempt, Cause: sched.CauseBroken})
	case poison.AppendCmd:
		if c.logDown {
			return nil
		}
		c.log = append(c.log, ledger.Entry{Offset: int64(len(c.log)), Record: cmd.Record})
		return c.fold(m)
	case sched.ConfirmCmd:
		if c.membersSilent {
			return nil
		}
		for _, other := range c.models {
			c.fold(other)
		}
		return m.Update(c.now, sched.ConfirmedMsg{Request: cmd.Request})
	}
	return nil
}

// TestCrashingRequestIsolatedAfterConfirmation retries one request on entry after entry, while no
// entry applies another's records by itself: it is quarantined after the maximum number of losses.
func TestCrashingRequestIsolatedAfterConfirmation(t *testing.T) {
	c := newCrashSim(3)
	var codes []sched.Code
	for i := range 6 {
		refusal, _ := c.submit(t, i%3, string(rune('r'+i)))
		codes = append(codes, refusal.Code)
	}
	if diff := cmp.Diff(poison.MaxLosses, c.crashes); diff != "" {
		t.Errorf("upstreams lost (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(sched.CodeQuarantined, codes[5]); diff != "" {
		t.Errorf("last answer (-want +got):\n%s", diff)
	}
}

// TestCrashingRequestRefusedWithoutConfirmation limits the wait if the log or the members don't answer.
func TestCrashingRequestRefusedWithoutConfirmation(t *testing.T) {
	for name, c := range map[string]*crashSim{"log": newCrashSim(1), "members": newCrashSim(2)} {
		c.logDown, c.membersSilent = name == "log", true
		first, took := c.submit(t, 0, "r")
		if diff := cmp.Diff(sched.CodeQuarantined, first.Code); diff != "" || took > time.Second {
			t.Errorf("no %s: after %v (-want +got):\n%s", name, took, diff)
		}
		if _, took := c.submit(t, 0, "s"); took != 0 {
			t.Errorf("no %s: the request in quarantine was answered after %v", name, took)
		}
		if diff := cmp.Diff(poison.MaxLosses, c.crashes); diff != "" {
			t.Errorf("no %s: upstreams lost (-want +got):\n%s", name, diff)
		}
	}
}
