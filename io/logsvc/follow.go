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

// Follower reads one stream from its start and hands each batch on in order.
type Follower struct {
	service Service
	stream  ledger.Stream
	timeout time.Duration
	next    int64
	post    func(context.Context, ledger.BatchMsg)
	log     *slog.Logger
}

// NewFollower is a follower that starts at offset 0.
func NewFollower(
	service Service, stream ledger.Stream, timeout time.Duration,
	post func(context.Context, ledger.BatchMsg), log *slog.Logger,
) *Follower {
	return &Follower{service: service, stream: stream, timeout: timeout, post: post, log: log}
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("log_read_failed", "stream", f.stream, "error", err)
			pause(ctx, followBackoff)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+f.timeout)
	defer cancel()
	asked := time.Now()
	batch, err := f.service.Read(ctx, f.stream, f.next, followWait)
	if err != nil {
		return err
	}
	if n := len(batch.Entries); n > 0 {
		f.next = batch.Entries[n-1].Offset + 1
	}
	batch.Asked = asked
	f.post(ctx, batch)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
