package entry

import (
	"context"
	"sync/atomic"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/limit"
	"cicadavalve/core/once"
	"cicadavalve/core/poison"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
)

// work is a message for the state machines, or a function that inspects them.
type work struct {
	msg ident.Msg
	// inspect is run in the loop instead of handling msg, unless nil.
	inspect func()
}

// post sends a message to the loop, or drops it if the context ends first.
func (d *Daemon) post(ctx context.Context, msg ident.Msg) {
	select {
	case d.inbox <- work{msg: msg}:
	case <-ctx.Done():
	}
}

// inspect runs a function in the loop, waits for it and reports whether it ran. If inspect
// returns false because the context ended, the function never runs later, so that it can't
// race with its caller on captured variables.
func (d *Daemon) inspect(ctx context.Context, fn func()) bool {
	ran := make(chan struct{})
	var claimed atomic.Bool
	runOnce := func() {
		if claimed.CompareAndSwap(false, true) {
			fn()
			close(ran)
		}
	}
	select {
	case d.inbox <- work{inspect: runOnce}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-ran:
		return true
	case <-ctx.Done():
	}
	if claimed.CompareAndSwap(false, true) {
		return false
	}
	<-ran
	return true
}

// loop owns the state machines and handles all messages in order.
func (d *Daemon) loop(ctx context.Context) error {
	ticks := &tickTimer{timer: time.NewTimer(0)}
	defer ticks.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-d.inbox:
			d.handle(ctx, w)
		case <-ticks.timer.C:
			d.handle(ctx, work{msg: sched.TickMsg{}})
		}
		ticks.schedule(d.clock.now(), d.node.NextTick())
	}
}

// tickTimer is the timer for the next tick.
type tickTimer struct {
	timer *time.Timer
	next  time.Time
}

// schedule sets the timer to the time of the next tick. Most messages leave that time unchanged, and
// the timer is then not reset.
func (t *tickTimer) schedule(now, next time.Time) {
	if next.Equal(t.next) {
		return
	}
	t.next = next
	t.timer.Reset(next.Sub(now))
}

func (d *Daemon) handle(ctx context.Context, w work) {
	d.gate()
	if w.inspect != nil {
		w.inspect()
		return
	}
	d.update(ctx, d.clock.now(), w.msg)
}

// update passes a message to the state machines and executes their commands. The first work after an idle period is
// preceded by a wake message.
func (d *Daemon) update(ctx context.Context, now time.Time, msg ident.Msg) {
	if d.prober.noteActivity(d.hasWork(now, msg)) {
		d.step(ctx, now, sched.WakeMsg{})
	}
	d.step(ctx, now, msg)
}

// hasWork reports whether the entry has requests or a version move in progress, which need load reports.
func (d *Daemon) hasWork(now time.Time, msg ident.Msg) bool {
	switch msg.(type) {
	case sched.ArriveMsg, once.CallMsg:
		return true
	}
	return d.node.Sched().InFlight() > 0 || d.node.Roll().NeedsLoadReports(now)
}

func (d *Daemon) step(ctx context.Context, now time.Time, msg ident.Msg) {
	cmds := d.node.Update(now, msg)
	d.journal.recordStep(now, msg, cmds)
	for _, cmd := range cmds {
		d.perform(ctx, cmd)
	}
}

// perform executes a command. It must not block: slow commands go to queues and workers.
func (d *Daemon) perform(ctx context.Context, cmd ident.Cmd) {
	switch cmd := cmd.(type) {
	case ledger.InForceCmd:
		d.log.Info("config_in_force", "version", cmd.Version)
	case ledger.AppendCmd:
		d.appendRecord(ctx, cmd)
	case ledger.AskPeersCmd:
		d.stateFetcher.enqueue(cmd)
	case ledger.VerdictCmd:
		d.sessions.deliver(cmd.Request, cmd)
	case ledger.DivergedCmd:
		d.log.Error("config_diverged", "next", cmd.Next, "writer", cmd.Writer)
	case roster.ChangedCmd:
		d.log.Info("roster_changed", "epoch", cmd.Epoch, "members", len(cmd.Members))
	case poison.AppendCmd:
		d.appendRecord(ctx, ledger.AppendCmd{Stream: ledger.StreamVerdict, Record: cmd.Record})
	case sched.ConfirmCmd:
		d.confirmer.enqueue(cmd)
	case sched.CheckReachCmd:
		d.reachChecker.enqueue(cmd)
	case once.AskCmd:
		d.positionFetcher.enqueue(cmd)
	case roster.AppendCmd:
		d.appendRecord(ctx, ledger.AppendCmd{Stream: ledger.StreamRoster, Record: cmd.Record})
	case roster.AskPeersCmd:
		d.rosterFetcher.enqueue(cmd)
	case roster.DivergedCmd:
		d.log.Error("roster_diverged", "next", cmd.Next, "writer", cmd.Writer)
	case roster.PingCmd, limit.AskCmd:
		d.peers.enqueue(cmd)
	case roster.SupersededCmd:
		d.log.Error("entry_superseded", "by", cmd.By)
		d.supersededOnce.Do(func() { close(d.superseded) })
	case once.AppendCmd:
		d.appendOnce(ctx, cmd)
	case sched.SendCmd:
		d.sessions.deliver(cmd.Request, cmd)
	case sched.RefuseCmd:
		d.sessions.deliver(cmd.Request, cmd)
	case sched.CancelCmd:
		d.sessions.cancelAttempt(cmd.Request, cmd.Attempt)
	case once.SendCmd:
		d.sessions.deliver(cmd.Request, cmd)
	case once.AnswerCmd:
		d.sessions.deliver(cmd.Request, cmd)
	default:
		if !d.performCache(cmd) {
			d.performMove(ctx, cmd)
		}
	}
}
