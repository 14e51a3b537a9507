package daemon

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/place"
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
