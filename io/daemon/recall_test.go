package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/place"
	"cicadavalve/io/clock"
	"cicadavalve/io/relay"
)

// TestRecallBeforeTheExchangeBegins recalls a request between its placement and its exchange, as for a process that stood still
// there. A request is recalled only once.
func TestRecallBeforeTheExchangeBegins(t *testing.T) {
	d := NewController(Settings{}, mesh.Peer{ID: "entry-0"}, slog.New(slog.DiscardHandler), 1)
	d.mu.Lock()
	d.perform([]ident.Cmd{place.RecallCmd{Ticket: 7, Upstream: "e1"}})
	d.mu.Unlock()
	ctx, end := d.Attempt(t.Context(), 7)
	defer end()
	if !errors.Is(context.Cause(ctx), relay.ErrRecalled) {
		t.Errorf("the exchange goes on with cause %v", context.Cause(ctx))
	}
}

// TestOverdueRequestIsRecalledWithinTheBudget recalls overdue requests until no retry is left. One that could not be sent again must go on where
// it is, and one between two exchanges must be left alone.
func TestOverdueRequestIsRecalledWithinTheBudget(t *testing.T) {
	d := NewController(Settings{RetryWindow: time.Minute, RetryRatio: 1}, mesh.Peer{ID: "entry-0"}, slog.New(slog.DiscardHandler), 1)
	for range 4 {
		d.budget("llm").First(clock.Now())
	}
	d.recallRequest(place.RecallCmd{Ticket: 9, Upstream: "e1", Service: "llm", Overdue: true})
	var recalled []bool
	for ticket := range place.Ticket(4) {
		ctx, end := d.Attempt(t.Context(), ticket)
		defer end()
		d.mu.Lock()
		d.perform([]ident.Cmd{place.RecallCmd{Ticket: ticket, Upstream: "e1", Service: "llm", Overdue: true}})
		d.mu.Unlock()
		cause := context.Cause(ctx)
		recalled = append(recalled, errors.Is(cause, relay.ErrOverdue) && errors.Is(cause, relay.ErrRecalled))
	}
	if diff := cmp.Diff([]bool{true, true, false, false}, recalled); diff != "" {
		t.Errorf("recalled (-want +got):\n%s", diff)
	}
	if errors.Is(relay.ErrRecalled, relay.ErrOverdue) {
		t.Error("a recall for outdated weights counts as one that was taken from the budget")
	}
}
