package daemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"cicadavalve/core/mesh"
	"cicadavalve/core/watch"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
)

// staleStore is a store whose reads are behind: they never return the newest record.
type staleStore struct {
	port.Store
	reads atomic.Int64
}

func (s *staleStore) Snapshot(context.Context, port.Topic, time.Duration) (batch port.Batch, err error) {
	return port.Batch{Next: 5}, nil
}

func (s *staleStore) Read(_ context.Context, _ port.Topic, from int64, _ time.Duration) (batch port.Batch, err error) {
	s.reads.Add(1)
	return port.Batch{Next: from, End: from}, nil
}

// deafStore is a store whose reads wait in vain, whatever is written meanwhile.
type deafStore struct {
	port.Store
	calledAt time.Time
}

func (s *deafStore) Read(_ context.Context, _ port.Topic, from int64, wait time.Duration) (batch port.Batch, err error) {
	s.calledAt = clock.Now()
	time.Sleep(wait)
	return port.Batch{Next: from, End: from}, nil
}

// TestVainWaitShowsNoMoreThanItsStart reads a topic of a store that does not tell of a record which is written meanwhile. Other entries
// must not take the end of the wait as the time up to which nothing was written.
func TestVainWaitShowsNoMoreThanItsStart(t *testing.T) {
	store := &deafStore{}
	log := slog.New(slog.DiscardHandler)
	f := newFeed(&Daemon{store: store, log: log, controller: newFleet(Settings{}, 1, time.Now())[0]}, port.Operator, 0, 0, operatorMaxAge)
	f.watch.Update(watch.ReadMsg{Next: 5, At: clock.Now(), Snapshot: true})
	if err := f.step(t.Context(), 5, 100*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if mark, _ := f.watch.OwnMark(); mark.At.After(store.calledAt) || f.knownAt().After(store.calledAt) {
		t.Errorf("the topic counts as read until %v, and known until %v, after the store got the call", mark.At.Sub(store.calledAt), f.knownAt().Sub(store.calledAt))
	}
}

// TestStaleStoreIsNotReadWithoutPause tells an entry of a change that the store does not show it yet.
func TestStaleStoreIsNotReadWithoutPause(t *testing.T) {
	store := &staleStore{}
	log := slog.New(slog.DiscardHandler)
	d := &Daemon{store: store, log: log, controller: NewController(Settings{}, mesh.Peer{ID: "self", Boot: 1}, log, 1)}
	f := newFeed(d, port.Operator, 0, time.Hour, time.Hour)
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	d.controller.mu.Lock()
	f.watch.Update(watch.ReadMsg{Next: 5, At: time.Now(), Snapshot: true})
	f.watch.Update(watch.MarkMsg{Mark: watch.Mark{Next: 6, Changed: 6, At: time.Now()}})
	d.controller.mu.Unlock()
	f.run(ctx)
	if got := store.reads.Load(); got < 2 || got > 15 {
		t.Errorf("%d reads in a second, want 2 to 15", got)
	}
}
