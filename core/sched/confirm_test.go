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

// crashers are entries whose engines crash under one request. An entry reads its own records
// at once; the others read them only when they must answer that they have.
type crashers struct {
	now     time.Time
	models  []*sched.Model
	log     []ledger.Entry
	crashes int
	// broken is when the last engine crashed.
	broken time.Time
	// away is true while the log takes no records, mute while the members don't answer.
	away, mute bool
}

func newCrashers(entries int) *crashers {
	c := &crashers{now: start}
	for i := range entries {
		id := ident.EntryID(rune('a' + i))
		c.models = append(c.models, newModel(8, sched.WithEntry(id), sched.WithSeed(uint64(i+1))))
	}
	return c
}

func (c *crashers) fold(m *sched.Model) []ident.Cmd {
	return m.Update(c.now, ledger.BatchMsg{Stream: ledger.StreamVerdict, Entries: c.log, Next: int64(len(c.log))})
}

// ask sends the crashing request to an entry and returns its answer and how long it took. Once the
// request is given up, its answer comes at once.
func (c *crashers) ask(t *testing.T, entry int, id string) (refusal sched.RefuseCmd, took time.Duration) {
	t.Helper()
	began := c.now
	msg := ask(id, "one")
	msg.Request.Digest = "crashing"
	pending := c.models[entry].Update(c.now, msg)
	for c.now.Sub(began) < time.Minute {
		for len(pending) > 0 {
			cmd := pending[0]
			pending = pending[1:]
			if refused, ok := cmd.(sched.RefuseCmd); ok {
				if diff := cmp.Diff(time.Duration(0), c.now.Sub(latest(c.broken, began))); diff != "" {
					t.Errorf("request %s: the answer came after the last loss by (-want +got):\n%s", id, diff)
				}
				return refused, c.now.Sub(began)
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

func (c *crashers) perform(m *sched.Model, cmd ident.Cmd) (cmds []ident.Cmd) {
	switch cmd := cmd.(type) {
	case sched.SendCmd:
		c.crashes++
		c.broken = c.now
		return m.Update(c.now, sched.FailMsg{Request: cmd.Request, Attempt: cmd.Attempt, Cause: sched.CauseBroken})
	case poison.AppendCmd:
		if c.away {
			return nil
		}
		c.log = append(c.log, ledger.Entry{Offset: int64(len(c.log)), Record: cmd.Record})
		return c.fold(m)
	case sched.ConfirmCmd:
		if c.mute {
			return nil
		}
		for _, other := range c.models {
			c.fold(other)
		}
		return m.Update(c.now, sched.ConfirmedMsg{Request: cmd.Request})
	}
	return nil
}

// TestCrashingRequestRunsAloneOnceTheMembersKnow sends one request from entry to entry,
// each time after the answer, while no entry reads another's records by itself.
func TestCrashingRequestRunsAloneOnceTheMembersKnow(t *testing.T) {
	c := newCrashers(3)
	var codes []sched.Code
	for i := range 6 {
		refusal, _ := c.ask(t, i%3, string(rune('r'+i)))
		codes = append(codes, refusal.Code)
	}
	if diff := cmp.Diff(poison.MostLosses, c.crashes); diff != "" {
		t.Errorf("upstreams lost (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(sched.CodeQuarantined, codes[5]); diff != "" {
		t.Errorf("last answer (-want +got):\n%s", diff)
	}
}

// TestCrashingRequestIsAnsweredWithoutTheMembers bounds the wait where the log or the members don't answer.
func TestCrashingRequestIsAnsweredWithoutTheMembers(t *testing.T) {
	for name, c := range map[string]*crashers{"log": newCrashers(1), "members": newCrashers(2)} {
		c.away, c.mute = name == "log", true
		first, took := c.ask(t, 0, "r")
		if diff := cmp.Diff(sched.CodeQuarantined, first.Code); diff != "" || took > time.Second {
			t.Errorf("no %s: after %v (-want +got):\n%s", name, took, diff)
		}
		if _, took := c.ask(t, 0, "s"); took != 0 {
			t.Errorf("no %s: the request in quarantine was answered after %v", name, took)
		}
		if diff := cmp.Diff(poison.MostLosses, c.crashes); diff != "" {
			t.Errorf("no %s: upstreams lost (-want +got):\n%s", name, diff)
		}
	}
}
