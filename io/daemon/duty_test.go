package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/lease"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
)

// claimStore is a store with claims, of which a read returns the next one alone.
type claimStore struct {
	port.Store
	claims []port.ClaimEvent
}

func (s *claimStore) Read(_ context.Context, topic port.Topic, from int64, _ time.Duration) (batch port.Batch, err error) {
	if topic != port.Claims {
		return batch, errors.New("unexpected topic")
	}
	batch.Next, batch.End = from, int64(len(s.claims))
	if from < batch.End {
		batch.Add(s.claims[from], nil)
		batch.Next++
	}
	return batch, nil
}

// TestCutPageOfClaimsConfirmsNoLease lets an entry that holds the lease read a page that ends after its own claim, before one of another
// entry. Two entries would give orders.
func TestCutPageOfClaimsConfirmsNoLease(t *testing.T) {
	self, other := port.ClaimEvent{Holder: "self", Boot: 1}, port.ClaimEvent{Holder: "other", Boot: 1}
	for name, c := range map[string]struct {
		claims []port.ClaimEvent
		holds  bool
	}{"newest": {[]port.ClaimEvent{self}, true}, "outdated": {[]port.ClaimEvent{self, other}, false}} {
		t.Run(name, func(t *testing.T) {
			now, log := clock.Now(), slog.New(slog.DiscardHandler)
			controller := newFleet(Settings{}, 1, now)[0]
			u := &duty{
				d:  &Daemon{store: &claimStore{claims: c.claims}, log: log, controller: controller},
				mu: controller.guard.NewMutex(), lease: lease.NewModel("self", 1, 3*time.Second, false),
			}
			u.lease.Update(now, lease.ClaimedMsg{SentAt: now.Add(-time.Minute), Won: true, Offset: 0})
			u.readClaims(t.Context())
			if got := u.lease.HasNewestClaim(clock.Now()); got != c.holds {
				t.Errorf("after %d of %d claims, holds the lease: %v", u.nextClaim(), len(c.claims), got)
			}
			u.readClaims(t.Context())
			if got := u.lease.HasNewestClaim(clock.Now()); got != c.holds || u.nextClaim() != int64(len(c.claims)) {
				t.Errorf("after %d of %d claims, holds the lease: %v", u.nextClaim(), len(c.claims), got)
			}
		})
	}
}
