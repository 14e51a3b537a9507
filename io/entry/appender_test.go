package entry

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ledger"
	"cicadavalve/core/once"
	"cicadavalve/io/logsvc"
)

// brokenLog fails or holds the appends to the once stream and takes all others.
type brokenLog struct {
	logsvc.Service
	hold bool
	mu   sync.Mutex
	took []string
}

func (l *brokenLog) Append(ctx context.Context, stream ledger.Stream, records []ledger.Record) error {
	if stream == once.StreamOnce {
		if l.hold {
			<-ctx.Done()
		}
		return logsvc.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.took = append(l.took, r.ID)
	}
	return nil
}

// heard collects what an appender tells.
type heard struct {
	mu     sync.Mutex
	failed []string
	states []bool
	// all is closed once as many records failed as were expected.
	all    chan struct{}
	expect int
}

func (h *heard) events() appendEvents {
	return appendEvents{
		appendFailed: func(_ context.Context, p pending) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.failed = append(h.failed, p.record.ID)
			if len(h.failed) == h.expect {
				close(h.all)
			}
		},
		logState: func(_ context.Context, _ ledger.Stream, up bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.states = append(h.states, up)
		},
	}
}

func startAppender(t *testing.T, log logsvc.Service, deadline time.Duration, h *heard) *appender {
	t.Helper()
	a := newAppender(log, deadline, 256, h.events(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = a.run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return a
}

func TestEachRecordOfAFailedBatchIsReported(t *testing.T) {
	const records = 5
	h := &heard{all: make(chan struct{}), expect: records}
	a := newAppender(&brokenLog{}, 300*time.Millisecond, 256, h.events(), slog.New(slog.DiscardHandler))
	var want []string
	for i := range records {
		want = append(want, fmt.Sprint("record-", i))
		a.offer(once.StreamOnce, ledger.Record{ID: want[i]})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = a.run(ctx) }()
	<-h.all
	h.mu.Lock()
	defer h.mu.Unlock()
	if diff := cmp.Diff(want, h.failed); diff != "" {
		t.Errorf("failed records (-want +got):\n%s", diff)
	}
	if len(h.states) == 0 || h.states[0] {
		t.Errorf("states of the log: %v, expected down first", h.states)
	}
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	a := newAppender(&brokenLog{}, time.Minute, 256, (&heard{}).events(), slog.New(slog.DiscardHandler))
	for range appendQueueSize {
		a.offer(once.StreamOnce, ledger.Record{})
	}
	if a.offer(once.StreamOnce, ledger.Record{}) {
		t.Error("a full queue took a record")
	}
}

func TestConfigurationDoesNotWaitBehindAHeldBatch(t *testing.T) {
	log := &brokenLog{hold: true}
	a := startAppender(t, log, time.Minute, &heard{})
	a.offer(once.StreamOnce, ledger.Record{ID: "call"})
	a.offer(ledger.StreamConfig, ledger.Record{ID: "config"})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		log.mu.Lock()
		took := len(log.took)
		log.mu.Unlock()
		if took > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the configuration's record was not appended")
}
