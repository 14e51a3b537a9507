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
	appendQueue    = 4096
	appendBackoff  = 50 * time.Millisecond
	mostBatchBytes = 1 << 20
	// downAfter is how many failed tries in a row say that the log takes no appends.
	downAfter = 3
)

// pending is a record that waits for its append.
type pending struct {
	stream ledger.Stream
	record ledger.Record
}

// appender writes records to the log in batches. It repeats a failed append with the
// same records: their ids make the fold take each once.
type appender struct {
	lanes map[ledger.Stream]*lane
}

// appendEvents is what the appender tells its owner. Both functions may wait for the loop.
type appendEvents struct {
	// failed tells of each record that the log did not take in time.
	failed func(context.Context, pending)
	// state tells whether the log takes appends to a stream, each time that changes.
	state func(ctx context.Context, stream ledger.Stream, up bool)
}

func newAppender(
	service logsvc.Service, deadline time.Duration, mostBatch int, events appendEvents, log *slog.Logger,
) *appender {
	a := &appender{lanes: map[ledger.Stream]*lane{}}
	for _, stream := range []ledger.Stream{
		ledger.StreamConfig, ledger.StreamVerdict, ledger.StreamRoster, once.StreamOnce,
	} {
		a.lanes[stream] = &lane{
			service: service, stream: stream, deadline: deadline, events: events, log: log,
			queue: make(chan pending, appendQueue), mostBatch: mostBatch,
		}
	}
	return a
}

// offer queues a record, or reports at once that the queue is full. It never waits, so
// that the loop can't wait for the appender while the appender waits for the loop.
func (a *appender) offer(stream ledger.Stream, rec ledger.Record) (queued bool) {
	select {
	case a.lanes[stream].queue <- pending{stream, rec}:
		return true
	default:
		return false
	}
}

// run writes every stream by itself, so that none waits behind another's failing batch.
func (a *appender) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range a.lanes {
		group.Go(func() error { return l.run(ctx) })
	}
	return group.Wait()
}

// lane writes one stream, with one append on its way; what comes meanwhile gathers into the next.
type lane struct {
	service  logsvc.Service
	stream   ledger.Stream
	deadline time.Duration
	events   appendEvents
	log      *slog.Logger
	queue    chan pending
	// mostBatch bounds the records of one append.
	mostBatch int
	// next is the first record of the next batch where it did not fit into the last one.
	next *pending
	// failures counts the failed tries since the last append that the log took.
	failures int
}

func (l *lane) run(ctx context.Context) error {
	for {
		first, ok := l.take(ctx)
		if !ok {
			return nil
		}
		l.flush(ctx, l.gather(first))
	}
}

func (l *lane) take(ctx context.Context) (p pending, ok bool) {
	if l.next != nil {
		p, l.next = *l.next, nil
		return p, true
	}
	select {
	case <-ctx.Done():
		return p, false
	case p = <-l.queue:
		return p, true
	}
}

// gather takes what waits behind the first record, in order and within the bounds of a batch.
func (l *lane) gather(first pending) (batch []pending) {
	batch = append(batch, first)
	size := len(first.record.Body)
	for len(batch) < l.mostBatch {
		select {
		case p := <-l.queue:
			size += len(p.record.Body)
			if size > mostBatchBytes {
				l.next = &p
				return batch
			}
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (l *lane) flush(ctx context.Context, batch []pending) {
	records := make([]ledger.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	limited, cancel := context.WithTimeout(ctx, l.deadline)
	defer cancel()
	for limited.Err() == nil {
		err := l.service.Append(limited, l.stream, records)
		if err == nil {
			l.succeeded(ctx)
			return
		}
		l.log.Warn("append_failed", "stream", l.stream, "records", len(records), "error", err)
		l.tryFailed(ctx, 1)
		select {
		case <-limited.Done():
		case <-time.After(appendBackoff):
		}
	}
	l.tryFailed(ctx, downAfter)
	for _, p := range batch {
		l.events.failed(ctx, p)
	}
}

func (l *lane) succeeded(ctx context.Context) {
	wasDown := l.failures >= downAfter
	l.failures = 0
	if wasDown {
		l.events.state(ctx, l.stream, true)
	}
}

// tryFailed tells again of a log that stays down with each further try.
func (l *lane) tryFailed(ctx context.Context, tries int) {
	l.failures += tries
	if l.failures >= downAfter {
		l.events.state(ctx, l.stream, false)
	}
}
