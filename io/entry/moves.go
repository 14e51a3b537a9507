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
	// orderWorkers is the number of concurrent orders. Each order needs a token, and there are as many tokens.
	orderWorkers   = 2
	orderQueueSize = 16
)

// performMove executes the commands of version moves; it ignores all others.
func (d *Daemon) performMove(ctx context.Context, cmd ident.Cmd) {
	switch cmd := cmd.(type) {
	case roll.AppendCmd:
		d.appendRecord(ctx, ledger.AppendCmd{Stream: ledger.StreamVerdict, Record: cmd.Record})
	case roll.OrderCmd:
		if !d.orders.offer(cmd) {
			d.log.Error("order_queue_full", "upstream", cmd.Task.Upstream)
		}
	case roll.TellCmd:
		d.takeBackNotifier.enqueue(cmd.Body)
		d.log.Warn("version_taken_back", "move", cmd.Body.Move, "class", cmd.Body.Reason.Cell.Class,
			"indicator", cmd.Body.Reason.Indicator, "old", cmd.Body.Reason.Old, "new", cmd.Body.Reason.New)
	case roll.ChangedCmd:
		d.log.Info("version_move", "move", cmd.Move, "phase", cmd.Phase, "step", cmd.Number, "share", cmd.Share)
	case roll.LateCmd:
		d.log.Warn("version_move_late", "move", cmd.Move, "by", cmd.By, "expected", cmd.Expected)
	}
}

func (d *Daemon) startMoves(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.takeBackNotifier.run(ctx) })
	for range orderWorkers {
		w := &orderWorker{d}
		group.Go(func() error { return w.run(ctx) })
	}
}

// orderWorker sends orders to engines one at a time.
type orderWorker struct{ d *Daemon }

func (w *orderWorker) run(ctx context.Context) error {
	return w.d.orders.run(ctx, w.send)
}

// send sends an order and posts its outcome. Answered is false if the engine did not answer, or if the order was not
// sent since its lease had expired; its token then stays taken.
func (w *orderWorker) send(ctx context.Context, cmd roll.OrderCmd) {
	orderCtx, cancel := context.WithDeadline(ctx, cmd.Until)
	defer cancel()
	err := orderCtx.Err()
	if err == nil {
		err = w.d.engines.Order(orderCtx, cmd.Address, engine.Order{
			Action: string(cmd.Task.Action), Model: cmd.Task.Model, Version: cmd.Task.Version, Fence: cmd.Fence,
		})
	}
	if err != nil {
		w.d.log.Warn("order_failed", "upstream", cmd.Task.Upstream, "error", err)
	}
	w.d.post(ctx, roll.OrderedMsg{Fence: cmd.Fence, Answered: err == nil || errors.Is(err, engine.ErrOrderRefused)})
}

// resetOnNewVersion resets the sequence check for an attempt on another version if no token has been
// delivered yet. After that the check is kept, so that an answer never mixes versions.
func (c *completion) resetOnNewVersion(cmd sched.SendCmd) {
	if c.seq.Next() == 0 && c.version != cmd.Version {
		c.seq = retry.NewSequence()
	}
	c.version = cmd.Version
}

// attemptObserver measures one attempt's outcome and latencies, on which moves to its version are judged.
type attemptObserver struct {
	c          *completion
	cmd        sched.SendCmd
	started    time.Time
	firstEvent time.Time
	lastEvent  time.Time
	events     int
	usage      engine.Usage
}

func newAttemptObserver(c *completion, cmd sched.SendCmd) *attemptObserver {
	return &attemptObserver{c: c, cmd: cmd, started: time.Now()}
}

func (o *attemptObserver) observe(e engine.Event) {
	now := time.Now()
	if e.Usage != nil {
		o.usage = *e.Usage
	}
	if e.Finish != "" {
		return
	}
	if o.events == 0 {
		o.firstEvent = now
	}
	o.events++
	o.lastEvent = now
}

// report posts the measurements, unless the attempt was cancelled, failed on the caller's side or provably did not run.
func (o *attemptObserver) report(ctx context.Context, err error) {
	if errors.Is(err, errCallerConnection) || err != nil && ctx.Err() != nil {
		return
	}
	cause := engine.Cause(err)
	if err != nil && (cause == sched.CauseConnect || cause == sched.CauseRefused) {
		return
	}
	msg := roll.AttemptMsg{
		Org: o.c.req.Org, Model: o.c.req.Model, Class: o.cmd.Class, Version: o.cmd.Version, Failed: err != nil,
		Computed: o.usage.PromptTokens - o.usage.CachedTokens,
	}
	if o.events > 0 {
		msg.First = o.firstEvent.Sub(o.started)
	}
	if o.events > 1 {
		msg.Between = o.lastEvent.Sub(o.firstEvent) / time.Duration(o.events-1)
	}
	o.c.d.post(ctx, msg)
}
