package entry

import (
	"context"
	"log/slog"
	"time"

	"cicadavalve/core/ledger"
	"cicadavalve/io/logsvc"
)

const (
	appendQueue   = 4096
	appendBackoff = 50 * time.Millisecond
	mostBatch     = 256
)

// pending is a record that waits for its append.
type pending struct {
	stream ledger.Stream
	record ledger.Record
}

// appender writes records to the log in batches. It repeats a failed append with the
// same records: their ids make the fold take each once.
type appender struct {
	service  logsvc.Service
	deadline time.Duration
	failed   func(context.Context, pending)
	log      *slog.Logger
	queue    chan pending
}

func newAppender(
	service logsvc.Service, deadline time.Duration, failed func(context.Context, pending), log *slog.Logger,
) *appender {
	return &appender{
		service: service, deadline: deadline, failed: failed, log: log, queue: make(chan pending, appendQueue),
	}
}

// add queues a record; the queue's bound makes the loop wait when the log is slow for long.
func (a *appender) add(ctx context.Context, stream ledger.Stream, rec ledger.Record) {
	select {
	case a.queue <- pending{stream, rec}:
	case <-ctx.Done():
	}
}

func (a *appender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-a.queue:
			a.flush(ctx, a.gather(first))
		}
	}
}

// gather takes what waits behind the first record, by stream and in order.
func (a *appender) gather(first pending) (batch []pending) {
	batch = append(batch, first)
	for len(batch) < mostBatch {
		select {
		case p := <-a.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (a *appender) flush(ctx context.Context, batch []pending) {
	byStream := map[ledger.Stream][]pending{}
	var order []ledger.Stream
	for _, p := range batch {
		if _, seen := byStream[p.stream]; !seen {
			order = append(order, p.stream)
		}
		byStream[p.stream] = append(byStream[p.stream], p)
	}
	for _, stream := range order {
		a.appendAll(ctx, stream, byStream[stream])
	}
}

func (a *appender) appendAll(ctx context.Context, stream ledger.Stream, batch []pending) {
	records := make([]ledger.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	end := time.Now().Add(a.deadline)
	for time.Now().Before(end) && ctx.Err() == nil {
		err := a.append(ctx, stream, records)
		if err == nil {
			return
		}
		a.log.Warn("append_failed", "stream", stream, "records", len(records), "error", err)
		time.Sleep(appendBackoff)
	}
	for _, p := range batch {
		a.failed(ctx, p)
	}
}

func (a *appender) append(ctx context.Context, stream ledger.Stream, records []ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, a.deadline)
	defer cancel()
	return a.service.Append(ctx, stream, records)
}
