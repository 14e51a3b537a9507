package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
	"cicadavalve/core/purge"
	"cicadavalve/core/reload"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// calledEngines counts the calls to engines.
type calledEngines struct {
	port.Engines
	states, loads int
}

func (e *calledEngines) State(context.Context, ident.UpstreamID, string) (state port.State, err error) {
	e.states++
	return port.State{}, nil
}

func (e *calledEngines) Load(context.Context, port.LoadOrder) (err error) {
	e.loads++
	return nil
}

// refusingEngines refuse all calls and ask to back off.
type refusingEngines struct{ port.Engines }

func (refusingEngines) State(context.Context, ident.UpstreamID, string) (state port.State, err error) {
	return state, errors.Wrap(&port.BackoffError{After: time.Minute}, "query")
}

func (refusingEngines) Follow(context.Context, string, int64, time.Duration) (h port.Holdings, err error) {
	return h, errors.Wrap(&port.BackoffError{After: time.Minute}, "follow")
}

// TestRefusedCallsBeginABackoff lets an upstream refuse a query, a question about a loss and the call of a follower.
func TestRefusedCallsBeginABackoff(t *testing.T) {
	u := upstream("u", 1)
	calls := map[string]func(d *Daemon){
		"query":    func(d *Daemon) { d.duty.queryState(t.Context(), reload.QueryCmd{Upstream: u}) },
		"question": func(d *Daemon) { (&inspector{d}).ask(t.Context(), question{addr: u.Address}) },
		"follower": func(d *Daemon) { (&follower{d: d, addr: u.Address}).step(t.Context()) },
	}
	got, want := map[string]bool{}, map[string]bool{}
	for name, call := range calls {
		c := newFleet(Settings{}, 1, clock.Now())[0]
		c.applyUpstream(clock.Now(), u)
		d := &Daemon{engines: refusingEngines{}, log: slog.New(slog.DiscardHandler), controller: c}
		d.duty = &duty{d: d, mu: c.guard.NewMutex()}
		call(d)
		got[name], want[name] = c.fleet.BackingOff(clock.Now(), "u"), true
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("backs off, by call (-want +got):\n%s", diff)
	}
}

// TestUpstreamThatAsksToBackOffGetsNoCalls lets the holder of the duty of orders query an upstream and give it an order, and looks for
// undecided losses to ask about, before and after the upstream asks to back off.
func TestUpstreamThatAsksToBackOffGetsNoCalls(t *testing.T) {
	type calls struct{ States, Loads, Questions int }
	got := map[bool]calls{}
	for _, backsOff := range []bool{false, true} {
		now, engines := clock.Now(), &calledEngines{}
		c := newFleet(Settings{}, 1, now)[0]
		u := upstream("u", 1)
		c.applyUpstream(now, u)
		c.mu.Lock()
		for _, id := range []ident.UpstreamID{"u", "other"} {
			c.applyUpstream(now, upstream(id, 1))
			c.recordLoss(now, relay.Break{Upstream: id, Born: 1, Digest: "d", SentAt: now})
		}
		if backsOff {
			c.fleet.Update(now, fleet.RejectedMsg{ID: "u", Born: 1, Backoff: time.Minute})
		}
		c.mu.Unlock()
		d := &Daemon{engines: engines, log: slog.New(slog.DiscardHandler), controller: c, self: c.mesh.Self()}
		duty := &duty{d: d, mu: c.guard.NewMutex(), era: 0, lease: lease.NewModel(d.self.ID, 1, time.Second, true), reload: reload.NewModel(c.fleet), purge: purge.NewModel(c.fleet)}
		claimed := now.Add(-time.Minute)
		duty.lease.Update(claimed, lease.ClaimedMsg{SentAt: claimed, Won: true})
		duty.lease.Update(now, lease.ReadMsg{SentAt: now, End: 1, Last: &lease.Claim{Holder: d.self.ID, Boot: 1}})
		duty.queryState(t.Context(), reload.QueryCmd{Upstream: u})
		duty.orderLoad(t.Context(), reload.OrderCmd{Upstream: u})
		questions := 0
		for _, q := range c.questions(now) {
			if q.loss.Upstream == "u" {
				questions++
			}
		}
		got[backsOff] = calls{engines.states, engines.loads, questions}
	}
	if diff := cmp.Diff(map[bool]calls{false: {1, 1, 1}, true: {}}, got); diff != "" {
		t.Errorf("calls by whether it asks to back off (-want +got):\n%s", diff)
	}
}
