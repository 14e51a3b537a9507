package entry

import (
	"context"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/once"
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
func (d *Daemon) inspect(ctx context.Context, look func()) bool {
	ran := make(chan struct{})
	select {
	case d.inbox <- work{look: func() { look(); close(ran) }}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-ran:
		return true
	case <-ctx.Done():
		return false
	}
}

// loop owns the deciders: every message passes through it in order.
func (d *Daemon) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-d.inbox:
			d.handle(ctx, w)
		case <-ticker.C:
			d.handle(ctx, work{msg: sched.TickMsg{}})
		}
	}
}

func (d *Daemon) handle(ctx context.Context, w work) {
	d.gate()
	if w.look != nil {
		w.look()
		return
	}
	d.update(ctx, time.Now(), w.msg)
}

// update hands a message to the decider that it is for and performs the commands.
func (d *Daemon) update(ctx context.Context, now time.Time, msg ident.Msg) {
	for _, cmd := range d.decide(now, msg) {
		d.perform(ctx, now, cmd)
	}
}

func (d *Daemon) decide(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case ledger.BatchMsg:
		return d.fold(now, msg)
	case once.CallMsg, once.NotRunMsg, once.DoneMsg, once.AppendFailedMsg:
		return d.once.Update(now, msg)
	}
	return d.sched.Update(now, msg)
}

func (d *Daemon) fold(now time.Time, batch ledger.BatchMsg) []ident.Cmd {
	switch batch.Stream {
	case ledger.StreamConfig:
		return d.config.Update(now, batch)
	case ledger.StreamRoster:
		return d.roster.Update(now, batch)
	}
	return d.once.Update(now, batch)
}

// perform never blocks on anything but the loop's own channels.
func (d *Daemon) perform(ctx context.Context, now time.Time, cmd ident.Cmd) {
	switch cmd := cmd.(type) {
	case ledger.InForceCmd:
		d.log.Info("config_in_force", "version", cmd.Version)
		d.update(ctx, now, sched.RulesMsg{Version: cmd.Version, Text: cmd.Text})
	case roster.ChangedCmd:
		d.log.Info("roster_changed", "epoch", cmd.Epoch, "members", len(cmd.Members))
	case once.AppendCmd:
		d.appender.add(ctx, once.StreamOnce, cmd.Record)
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
	}
}
