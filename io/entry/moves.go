package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/retry"
	"cicadavalve/core/roll"
	"cicadavalve/core/sched"
	"cicadavalve/io/engine"
)

const (
	// orderWorkers is how many orders run at once; each needs a token, of which there are as many.
	orderWorkers = 2
	orderQueue   = 16
)

// performMove performs the commands of version moves.
func (d *Daemon) performMove(ctx context.Context, cmd ident.Cmd) {
	switch cmd := cmd.(type) {
	case roll.AppendCmd:
		d.offer(ctx, ledger.AppendCmd{Stream: ledger.StreamVerdict, Record: cmd.Record})
	case roll.OrderCmd:
		if !d.orders.offer(cmd) {
			d.log.Error("order_queue_full", "upstream", cmd.Task.Upstream)
		}
	case roll.TellCmd:
		d.teller.tell(cmd.Body)
		d.log.Warn("version_taken_back", "move", cmd.Body.Move, "class", cmd.Body.Reason.Cell.Class,
			"indicator", cmd.Body.Reason.Indicator, "old", cmd.Body.Reason.Old, "new", cmd.Body.Reason.New)
	case roll.ChangedCmd:
		d.log.Info("version_move", "move", cmd.Move, "phase", cmd.Phase, "step", cmd.Number, "share", cmd.Share)
	case roll.LateCmd:
		d.log.Warn("version_move_late", "move", cmd.Move, "by", cmd.By, "expected", cmd.Expected)
	}
}

func (d *Daemon) startMoves(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.teller.run(ctx) })
	for range orderWorkers {
		w := &orderWorker{d}
		group.Go(func() error { return w.run(ctx) })
	}
}

// orderWorker sends orders to engines, one at a time.
type orderWorker struct{ d *Daemon }

func (w *orderWorker) run(ctx context.Context) error {
	return w.d.orders.run(ctx, w.send)
}

// send drops an order whose lease has ended; a token whose order had no answer stays taken.
func (w *orderWorker) send(ctx context.Context, cmd roll.OrderCmd) {
	ordering, cancel := context.WithDeadline(ctx, cmd.Until)
	defer cancel()
	err := ordering.Err()
	if err == nil {
		err = w.d.engines.Order(ordering, cmd.Address, engine.Order{
			Action: string(cmd.Task.Action), Model: cmd.Task.Model, Version: cmd.Task.Version, Fence: cmd.Fence,
		})
	}
	if err != nil {
		w.d.log.Warn("order_failed", "upstream", cmd.Task.Upstream, "error", err)
	}
	w.d.post(ctx, roll.OrderedMsg{Fence: cmd.Fence, Known: err == nil || errors.Is(err, engine.ErrOrderRefused)})
}

// checkFrom starts the checks of the answer anew for an attempt on another version, as
// long as the caller has no token: what was delivered is never spliced over versions.
func (c *completion) checkFrom(cmd sched.SendCmd) {
	if c.seq.Next() == 0 && c.version != cmd.Version {
		c.seq = retry.NewSequence()
	}
	c.version = cmd.Version
}

// attemptWatch times one attempt as evidence about its version.
type attemptWatch struct {
	c      *completion
	cmd    sched.SendCmd
	began  time.Time
	first  time.Time
	last   time.Time
	events int
	usage  engine.Usage
}

func newAttemptWatch(c *completion, cmd sched.SendCmd) *attemptWatch {
	return &attemptWatch{c: c, cmd: cmd, began: time.Now()}
}

func (w *attemptWatch) event(e engine.Event) {
	now := time.Now()
	if e.Usage != nil {
		w.usage = *e.Usage
	}
	if e.Finish != "" {
		return
	}
	if w.events == 0 {
		w.first = now
	}
	w.events++
	w.last = now
}

// end tells of the attempt unless it was cancelled or the upstream proved that it did not run.
func (w *attemptWatch) end(ctx context.Context, err error) {
	if errors.Is(err, errCaller) || err != nil && ctx.Err() != nil {
		return
	}
	cause := engine.Cause(err)
	if err != nil && (cause == sched.CauseConnect || cause == sched.CauseRefused) {
		return
	}
	msg := roll.AttemptMsg{
		Org: w.c.req.Org, Model: w.c.req.Model, Class: w.cmd.Class, Version: w.cmd.Version, Failed: err != nil,
		Computed: w.usage.PromptTokens - w.usage.CachedTokens,
	}
	if w.events > 0 {
		msg.First = w.first.Sub(w.began)
	}
	if w.events > 1 {
		msg.Between = w.last.Sub(w.first) / time.Duration(w.events-1)
	}
	w.c.d.post(ctx, msg)
}
