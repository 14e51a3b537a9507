package entry

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ledger"
	"cicadavalve/core/once"
	"cicadavalve/io/logsvc"
)

const (
	appendQueueSize = 4096
	appendBackoff   = 50 * time.Millisecond
	maxBatchBytes   = 1 << 20
	// downThreshold is the number of consecutive failed attempts after which the log counts as down. A batch that
	// misses its deadline is enough by itself.
	downThreshold = 3
)

// pending is a record queued for its append.
type pending struct {
	stream ledger.Stream
	record ledger.Record
}

// appender writes records to the log in batches. It retries a failed append with the same
// records; the fold deduplicates them by record id.
type appender struct {
	writers map[ledger.Stream]*streamWriter
}

// appendEvents are the appender's callbacks. Both may block until the loop takes a message.
type appendEvents struct {
	// appendFailed is called for each record that the log did not accept before the deadline.
	appendFailed func(context.Context, pending)
	// logState is called when the log accepts appends to a stream again after having been down, and
	// on each failed attempt while it is down.
	logState func(ctx context.Context, stream ledger.Stream, up bool)
}

func newAppender(
	service logsvc.Service, deadline time.Duration, maxBatch int, events appendEvents, log *slog.Logger,
) *appender {
	a := &appender{writers: map[ledger.Stream]*streamWriter{}}
	for _, stream := range []ledger.Stream{
		ledger.StreamConfig, ledger.StreamVerdict, ledger.StreamRoster, once.StreamOnce,
	} {
		a.writers[stream] = &streamWriter{
			service: service, stream: stream, deadline: deadline, events: events, log: log,
			queue: make(chan pending, appendQueueSize), maxBatch: maxBatch,
		}
	}
	return a
}

// offer queues a record and reports false if the queue is full. It never blocks: the loop
// calls it, and would deadlock with an appender that waits for the loop.
func (a *appender) offer(stream ledger.Stream, rec ledger.Record) (queued bool) {
	select {
	case a.writers[stream].queue <- pending{stream, rec}:
		return true
	default:
		return false
	}
}

// run writes the streams concurrently, so that a failing batch delays only its own stream.
func (a *appender) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, w := range a.writers {
		group.Go(func() error { return w.run(ctx) })
	}
	return group.Wait()
}

// streamWriter writes one stream with one append in flight. Records that arrive meanwhile go into the next batch.
type streamWriter struct {
	service  logsvc.Service
	stream   ledger.Stream
	deadline time.Duration
	events   appendEvents
	log      *slog.Logger
	queue    chan pending
	// maxBatch is the maximum number of records in one append.
	maxBatch int
	// overflow is a record that exceeded maxBatchBytes; it begins the next batch. Nil if there is none.
	overflow *pending
	// failures counts the failed attempts since the last successful append.
	failures int
}

func (w *streamWriter) run(ctx context.Context) error {
	for {
		first, ok := w.receive(ctx)
		if !ok {
			return nil
		}
		w.flush(ctx, w.gather(first))
	}
}

func (w *streamWriter) receive(ctx context.Context) (p pending, ok bool) {
	if w.overflow != nil {
		p, w.overflow = *w.overflow, nil
		return p, true
	}
	select {
	case <-ctx.Done():
		return p, false
	case p = <-w.queue:
		return p, true
	}
}

// gather returns a batch of the first record and the queued ones after it, in order, up to maxBatch and maxBatchBytes.
func (w *streamWriter) gather(first pending) (batch []pending) {
	batch = append(batch, first)
	size := len(first.record.Body)
	for len(batch) < w.maxBatch {
		select {
		case p := <-w.queue:
			size += len(p.record.Body)
			if size > maxBatchBytes {
				w.overflow = &p
				return batch
			}
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (w *streamWriter) flush(ctx context.Context, batch []pending) {
	records := make([]ledger.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	batchCtx, cancel := context.WithTimeout(ctx, w.deadline)
	defer cancel()
	for batchCtx.Err() == nil {
		err := w.service.Append(batchCtx, w.stream, records)
		if err == nil {
			w.appendSucceeded(ctx)
			return
		}
		w.log.Warn("append_failed", "stream", w.stream, "records", len(records), "error", err)
		w.countFailures(ctx, 1)
		select {
		case <-batchCtx.Done():
		case <-time.After(appendBackoff):
		}
	}
	w.countFailures(ctx, downThreshold)
	for _, p := range batch {
		w.events.appendFailed(ctx, p)
	}
}

func (w *streamWriter) appendSucceeded(ctx context.Context) {
	wasDown := w.failures >= downThreshold
	w.failures = 0
	if wasDown {
		w.events.logState(ctx, w.stream, true)
	}
}

// countFailures adds failed attempts, and reports the log as down on every call from the threshold on.
func (w *streamWriter) countFailures(ctx context.Context, attempts int) {
	w.failures += attempts
	if w.failures >= downThreshold {
		w.events.logState(ctx, w.stream, false)
	}
}
