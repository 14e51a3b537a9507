package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/lease"
	"cicadavalve/core/reload"
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

// slowEngines are engines that don't answer an order before its context ends.
type slowEngines struct {
	port.Engines
	// took is how long the last order took, -1 before the first.
	took time.Duration
}

func (e *slowEngines) Load(ctx context.Context, _ port.LoadOrder) (err error) {
	begun := clock.Now()
	<-ctx.Done()
	e.took = clock.Since(begun)
	return ctx.Err()
}

// TestOrderEndsWithTheCheckOfTheLease gives an order while the last check of the claims is 0.7 s old. An order that is held up longer than
// the 0.2 s that are left would reach the engine beside those of a successor.
func TestOrderEndsWithTheCheckOfTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		age        time.Duration
		least, top time.Duration
	}{"valid": {700 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond}, "expired": {time.Second, -1, -1}} {
		t.Run(name, func(t *testing.T) {
			now, log, engines := clock.Now(), slog.New(slog.DiscardHandler), &slowEngines{took: -1}
			controller := newFleet(Settings{}, 1, now)[0]
			u := &duty{
				d: &Daemon{engines: engines, log: log, controller: controller}, mu: controller.guard.NewMutex(),
				lease: lease.NewModel("self", 1, 3*time.Second, true), reload: reload.NewModel(controller.fleet),
			}
			u.lease.Update(now.Add(-c.age), lease.ClaimedMsg{SentAt: now.Add(-c.age), Won: true, Offset: 0})
			(&task{u, reload.OrderCmd{}}).run(t.Context())
			if engines.took < c.least || engines.took > c.top {
				t.Errorf("the order took %v, want %v to %v", engines.took, c.least, c.top)
			}
		})
	}
}
