package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// watchdog cancels an attempt that brings no byte for too long.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	limit  time.Duration
	// timer is nil where the attempt has no limit.
	timer *time.Timer
}

func newWatchdog(parent context.Context, limit time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, limit: limit}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, func() { cancel(ErrSilent) })
	}
	return w
}

func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(context.Canceled)
}

// mark tells a silent upstream from a broken connection.
func (w *watchdog) mark(err error) error {
	if errors.Is(context.Cause(w.ctx), ErrSilent) {
		return errors.Mark(err, ErrSilent)
	}
	return errors.Mark(err, ErrBroken)
}
