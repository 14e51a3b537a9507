package logsvc

import (
	"context"
	"log/slog"
	"time"

	"cicadavalve/core/ledger"
)

const (
	// longPollWait is how long a read may wait for a record.
	longPollWait = time.Second
	retryDelay   = 100 * time.Millisecond
)

// Fold receives the batches of a follower.
type Fold interface {
	// Post delivers a batch; the fold may reject it if records before it are missing.
	Post(ctx context.Context, batch ledger.BatchMsg)
	// ReadFailed reports that a read of the log failed.
	ReadFailed(ctx context.Context, stream ledger.Stream)
	// NextOffset returns the offset to read from after the batches posted so far; known is false if the fold could not
	// be asked.
	NextOffset(ctx context.Context, stream ledger.Stream) (offset int64, known bool)
}

// Follower reads one stream and posts each batch to a fold in order.
type Follower struct {
	service Service
	stream  ledger.Stream
	timeout time.Duration
	fold    Fold
	log     *slog.Logger
	// next is the offset to read from. It is taken from the fold only, so that no record is skipped.
	next int64
	// pollWait is 0 for the first read, so that a start does not wait for a new record.
	pollWait time.Duration
	// gaps counts the batches before which records were missing.
	gaps int64
}

// NewFollower returns a follower that starts at offset 0; timeout bounds a read beyond its long-poll wait.
func NewFollower(
	service Service, stream ledger.Stream, timeout time.Duration, fold Fold, log *slog.Logger,
) *Follower {
	return &Follower{service: service, stream: stream, timeout: timeout, fold: fold, log: log}
}

// Run follows the stream until the context ends, and retries failed reads. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("log_read_failed", "stream", f.stream, "error", err)
			f.fold.ReadFailed(ctx, f.stream)
			pause(ctx, retryDelay)
		}
	}
	return nil
}

// step reads and posts one batch. If the fold does not move past a gap, it waits before the next read.
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
	next, known := f.fold.NextOffset(ctx, f.stream)
	if gap && (!known || next <= f.next) {
		pause(ctx, retryDelay)
	}
	if known {
		f.next = next
	}
	return nil
}

func (f *Follower) read(ctx context.Context) (batch ledger.BatchMsg, err error) {
	ctx, cancel := context.WithTimeout(ctx, longPollWait+f.timeout)
	defer cancel()
	start := time.Now()
	batch, err = f.service.Read(ctx, f.stream, f.next, f.pollWait)
	f.pollWait, batch.ReadStart = longPollWait, start
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
