package daemon

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cicadavalve/core/mesh"
	"cicadavalve/io/gossip"
)

// newFleet returns the controllers of entries that have heard each other at now.
func newFleet(s Settings, n int, now time.Time) (fleet []*Controller) {
	for i := range n {
		fleet = append(fleet, NewController(s, mesh.Peer{ID: fmt.Sprint("entry-", i), State: mesh.Ready, Boot: 1}, slog.New(slog.DiscardHandler), 1))
	}
	for _, to := range fleet {
		for i := range fleet {
			to.applyMessage(now, gossip.Message{ID: fmt.Sprint("entry-", i), State: int(mesh.Ready), Boot: 1})
		}
	}
	return fleet
}

// TestCutEntriesKeepTheSharedRetryBudget lets entries hear nothing of each other for ten minutes. Their allowances together
// must not exceed the one that they share.
func TestCutEntriesKeepTheSharedRetryBudget(t *testing.T) {
	settings := Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 52}
	now := time.Now()
	fleet := newFleet(settings, 6, now)
	for _, silence := range []time.Duration{0, 2 * time.Second, time.Minute, 10 * time.Minute} {
		total := 0.0
		for _, d := range fleet {
			total += d.retryAllowance(now.Add(silence))
		}
		if silence > 0 && total < settings.RetryAllowance/2 {
			t.Errorf("after %v the allowances add up to %.0f only", silence, total)
		}
		if total > settings.RetryAllowance {
			t.Errorf("after %v the allowances add up to %.0f, the shared one is %.0f", silence, total, settings.RetryAllowance)
		}
	}
}

// TestNewEntriesKeepTheSharedRetryBudget starts entries that have not had the time to hear each other.
func TestNewEntriesKeepTheSharedRetryBudget(t *testing.T) {
	settings := Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 52}
	now, total := time.Now(), 0.0
	for range 6 {
		total += newFleet(settings, 1, now)[0].retryAllowance(now)
	}
	if total > settings.RetryAllowance {
		t.Errorf("the allowances add up to %.0f, the shared one is %.0f", total, settings.RetryAllowance)
	}
}
