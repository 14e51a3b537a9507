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

// work is a message for the deciders, or a function that looks at them.
type work struct {
	msg ident.Msg
	// look runs in the loop when it is set.
	look func()
}

// post hands a message to the loop.
func (d *Daemon) post(ctx context.Context, msg ident.Msg) {
	select {
	case d.inbox <- work{msg: msg}:
	case <-ctx.Done():
	}
}

// inspect runs a function in the loop and waits for it; it reports whether the function ran.
// Where the context ends first, the function never runs, so that it can't write to
// variables that its caller has gone on to read.
func (d *Daemon) inspect(ctx context.Context, look func()) bool {
	ran := make(chan struct{})
	var claimed atomic.Bool
	once := func() {
		if claimed.CompareAndSwap(false, true) {
			look()
			close(ran)
		}
	}
	select {
	case d.inbox <- work{look: once}:
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

// loop owns the deciders: every message passes through it in order.
func (d *Daemon) loop(ctx context.Context) error {
	ticks := &ticks{timer: time.NewTimer(0)}
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
		ticks.set(d.clock.now(), d.node.NextTick())
	}
}

// ticks sets the timer of the next tick.
type ticks struct {
	timer *time.Timer
	at    time.Time
}

// set leaves the timer alone where the time is the same, as it is after most messages.
func (t *ticks) set(now, at time.Time) {
	if at.Equal(t.at) {
		return
	}
	t.at = at
	t.timer.Reset(at.Sub(now))
}

func (d *Daemon) handle(ctx context.Context, w work) {
	d.gate()
	if w.look != nil {
		w.look()
		return
	}
	d.update(ctx, d.clock.now(), w.msg)
}

// update hands a message to the deciders and performs their commands.
func (d *Daemon) update(ctx context.Context, now time.Time, msg ident.Msg) {
	if d.prober.note(d.working(now, msg)) {
		d.step(ctx, now, sched.WakeMsg{})
	}
	d.step(ctx, now, msg)
}

// working reports whether the entry has requests, or moves versions, so that load reports matter.
func (d *Daemon) working(now time.Time, msg ident.Msg) bool {
	switch msg.(type) {
	case sched.ArriveMsg, once.CallMsg:
		return true
	}
	return d.node.Sched().InFlight() > 0 || d.node.Roll().Moving(now)
}

func (d *Daemon) step(ctx context.Context, now time.Time, msg ident.Msg) {
	cmds := d.node.Update(now, msg)
	d.journal.note(now, msg, cmds)
	for _, cmd := range cmds {
		d.perform(ctx, cmd)
	}
}

// perform never blocks on anything but the loop's own channels.
func (d *Daemon) perform(ctx context.Context, cmd ident.Cmd) {
	switch cmd := cmd.(type) {
	case ledger.InForceCmd:
		d.log.Info("config_in_force", "version", cmd.Version)
	case ledger.AppendCmd:
		d.offer(ctx, cmd)
	case ledger.AskPeersCmd:
		d.stater.ask(cmd)
	case ledger.VerdictCmd:
		d.sessions.deliver(cmd.Request, cmd)
	case ledger.DivergedCmd:
		d.log.Error("config_diverged", "next", cmd.Next, "writer", cmd.Writer)
	case roster.ChangedCmd:
		d.log.Info("roster_changed", "epoch", cmd.Epoch, "members", len(cmd.Members))
	case poison.AppendCmd:
		d.offer(ctx, ledger.AppendCmd{Stream: ledger.StreamVerdict, Record: cmd.Record})
	case sched.ConfirmCmd:
		d.confirmer.ask(cmd)
	case once.AskCmd:
		d.asker.ask(cmd)
	case roster.AppendCmd:
		d.offer(ctx, ledger.AppendCmd{Stream: ledger.StreamRoster, Record: cmd.Record})
	case roster.AskPeersCmd:
		d.rosters.ask(cmd)
	case roster.DivergedCmd:
		d.log.Error("roster_diverged", "next", cmd.Next, "writer", cmd.Writer)
	case roster.PingCmd, limit.AskCmd:
		d.peers.add(cmd)
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
		d.sessions.cancel(cmd.Request, cmd.Attempt)
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
