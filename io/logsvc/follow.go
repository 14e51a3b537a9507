package logsvc

import (
	"context"
	"log/slog"
	"time"

	"cicadavalve/core/ledger"
)

const (
	followWait    = time.Second
	followBackoff = 100 * time.Millisecond
)

// Fold is where a follower's batches go.
type Fold interface {
	// Post hands a batch on; the fold may refuse it where records are missing before it.
	Post(ctx context.Context, batch ledger.BatchMsg)
	// Failed says that the log did not answer a read.
	Failed(ctx context.Context, stream ledger.Stream)
	// Wanted is the offset of the record to read next, after the batches posted so far.
	Wanted(ctx context.Context, stream ledger.Stream) (offset int64, known bool)
}

// Follower reads one stream and hands each batch on in order.
type Follower struct {
	service Service
	stream  ledger.Stream
	timeout time.Duration
	fold    Fold
	log     *slog.Logger
	// next is the offset to read from; the fold alone sets it, so that no record is skipped.
	next int64
	// wait is 0 for the first read, so that a start does not wait for a record to come.
	wait time.Duration
	// gaps counts the reads that met records missing.
	gaps int64
}

// NewFollower is a follower that starts at offset 0.
func NewFollower(
	service Service, stream ledger.Stream, timeout time.Duration, fold Fold, log *slog.Logger,
) *Follower {
	return &Follower{service: service, stream: stream, timeout: timeout, fold: fold, log: log}
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("log_read_failed", "stream", f.stream, "error", err)
			f.fold.Failed(ctx, f.stream)
			pause(ctx, followBackoff)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) (err error) {
	batch, err := f.read(ctx)
	if err != nil {
		return err
	}
	gap := batch.Gap(f.next)
	if gap {
		f.gaps++
		f.log.Warn("log_gap", "stream", f.stream, "wanted", f.next, "first", batch.First, "gaps", f.gaps)
	}
	f.fold.Post(ctx, batch)
	wanted, known := f.fold.Wanted(ctx, f.stream)
	if gap && (!known || wanted <= f.next) {
		pause(ctx, followBackoff)
	}
	if known {
		f.next = wanted
	}
	return nil
}

func (f *Follower) read(ctx context.Context) (batch ledger.BatchMsg, err error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+f.timeout)
	defer cancel()
	asked := time.Now()
	batch, err = f.service.Read(ctx, f.stream, f.next, f.wait)
	f.wait, batch.Asked = followWait, asked
	return batch, err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
