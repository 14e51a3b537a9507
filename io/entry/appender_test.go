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

// brokenLog fails appends to the once stream, immediately or, if block is set, once their context ends. It accepts
// appends to the other streams.
type brokenLog struct {
	logsvc.Service
	block    bool
	mu       sync.Mutex
	appended []string
}

func (l *brokenLog) Append(ctx context.Context, stream ledger.Stream, records []ledger.Record) error {
	if stream == once.StreamOnce {
		if l.block {
			<-ctx.Done()
		}
		return logsvc.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.appended = append(l.appended, r.ID)
	}
	return nil
}

// eventRecorder records the events of an appender.
type eventRecorder struct {
	mu     sync.Mutex
	failed []string
	states []bool
	// allFailed is closed once the expected number of records has failed.
	allFailed chan struct{}
	expect    int
}

func (h *eventRecorder) events() appendEvents {
	return appendEvents{
		appendFailed: func(_ context.Context, p pending) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.failed = append(h.failed, p.record.ID)
			if len(h.failed) == h.expect {
				close(h.allFailed)
			}
		},
		logState: func(_ context.Context, _ ledger.Stream, up bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.states = append(h.states, up)
		},
	}
}

func startAppender(t *testing.T, log logsvc.Service, deadline time.Duration, h *eventRecorder) *appender {
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

func TestFailedBatchReportsEveryRecord(t *testing.T) {
	const records = 5
	h := &eventRecorder{allFailed: make(chan struct{}), expect: records}
	a := newAppender(&brokenLog{}, 300*time.Millisecond, 256, h.events(), slog.New(slog.DiscardHandler))
	var want []string
	for i := range records {
		want = append(want, fmt.Sprint("record-", i))
		a.offer(once.StreamOnce, ledger.Record{ID: want[i]})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = a.run(ctx) }()
	<-h.allFailed
	h.mu.Lock()
	defer h.mu.Unlock()
	if diff := cmp.Diff(want, h.failed); diff != "" {
		t.Errorf("failed records (-want +got):\n%s", diff)
	}
	if len(h.states) == 0 || h.states[0] {
		t.Errorf("log states: %v, want down first", h.states)
	}
}

func TestFullQueueRejectsRecord(t *testing.T) {
	a := newAppender(&brokenLog{}, time.Minute, 256, (&eventRecorder{}).events(), slog.New(slog.DiscardHandler))
	for range appendQueueSize {
		a.offer(once.StreamOnce, ledger.Record{})
	}
	if a.offer(once.StreamOnce, ledger.Record{}) {
		t.Error("a full queue accepted a record")
	}
}

func TestBlockedBatchDoesNotDelayConfiguration(t *testing.T) {
	log := &brokenLog{block: true}
	a := startAppender(t, log, time.Minute, &eventRecorder{})
	a.offer(once.StreamOnce, ledger.Record{ID: "call"})
	a.offer(ledger.StreamConfig, ledger.Record{ID: "config"})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		log.mu.Lock()
		appended := len(log.appended)
		log.mu.Unlock()
		if appended > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the configuration record was not appended")
}
