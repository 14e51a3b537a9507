package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// watchdog cancels an attempt with ErrSilent when it has not been reset for the timeout.
type watchdog struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timeout time.Duration
	// timer is nil if the attempt has no timeout.
	timer *time.Timer
}

func newWatchdog(parent context.Context, timeout time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, timeout: timeout}
	if timeout > 0 {
		w.timer = time.AfterFunc(timeout, func() { cancel(ErrSilent) })
	}
	return w
}

func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(context.Canceled)
}

// markCause marks err as ErrSilent if the watchdog cancelled the attempt, and as ErrBroken otherwise.
func (w *watchdog) markCause(err error) error {
	if errors.Is(context.Cause(w.ctx), ErrSilent) {
		return errors.Mark(err, ErrSilent)
	}
	return errors.Mark(err, ErrBroken)
}
