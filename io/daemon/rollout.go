package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/ramp"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
)

const (
	// rolloutReportInterval is the interval at which entries tell each other what they know of roll-outs.
	rolloutReportInterval = 200 * time.Millisecond
	// verdictInterval replaces it while no roll-out goes on.
	verdictInterval = 2 * time.Second
	// maxOrderAge is how long before it was read an order is taken to have been given, in place of when it was read.
	maxOrderAge = operatorMaxAge + operatorWait
	// rolloutsTimeout bounds one attempt to read the states of roll-outs, rolloutsRetryDelay is the delay after a failed one.
	rolloutsTimeout    = 2 * time.Second
	rolloutsRetryDelay = 500 * time.Millisecond
)

// newRampModel returns the model of roll-outs for the daemon's settings.
func newRampModel(s Settings, rng *rand.Rand) *ramp.Model {
	return ramp.NewModel(ramp.Limits{Share: s.ExposeShare, Slack: s.ExposeSlack}, rng)
}

// rollouts reads the states of roll-outs in the store.
type rollouts struct{ d *Daemon }

// run reads the states at the start. When the store has come back from a copy, they are written again.
func (r *rollouts) run(ctx context.Context) {
	restored := r.d.controller.whenRestored()
	retryUntilDone(ctx, rolloutsRetryDelay, r.load)
	for {
		select {
		case <-ctx.Done():
			return
		case <-restored:
			r.d.controller.updateRamp(ramp.LostMsg{})
		}
	}
}

func (r *rollouts) load(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutsTimeout)
	defer cancel()
	batch, err := r.d.store.Snapshot(ctx, port.Rollouts, slowCallTimeout)
	if err != nil {
		r.d.log.Warn("rollouts_not_loaded", "error", err)
		return err
	}
	newFaultLog(r.d.log, port.Rollouts).report(batch.Faults)
	var msg ramp.StatesMsg
	for _, event := range batch.Events {
		if e, ok := event.(port.RolloutStateEvent); ok {
			msg.States = append(msg.States, ramp.Recorded{Service: e.Service, Target: e.Release, State: ramp.State(e.State)})
		}
	}
	r.d.controller.updateRamp(msg)
	r.d.log.Info("rollouts_loaded", "count", len(msg.States))
	return nil
}

func (d *Controller) updateRamp(msg ident.Msg) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logRamp(d.ramp.Update(clock.Now(), msg))
}

// applyRollout applies an order of the operator that was given at the earliest at a time, zero if that is unknown; the lock
// is held. After a long gap between reads that time says little, and one that is too early would end the test too soon.
func (d *Controller) applyRollout(now, since time.Time, e port.RolloutEvent) {
	d.log.Info("rollout_ordered", "service", e.Service, "release", e.Release, "within", e.Within, "ended", e.Ended)
	if e.Ended {
		d.ramp.Update(now, ramp.EndedMsg{Service: e.Service})
		return
	}
	if now.Sub(since) > maxOrderAge {
		since = time.Time{}
	}
	d.ramp.Update(now, ramp.OrderMsg{Service: e.Service, Target: e.Release, Within: e.Within, Since: since})
}

// endRollouts ends the roll-outs whose order a snapshot of the operator's records lacks.
func (d *Controller) endRollouts(now time.Time, events []any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range d.ramp.Services() {
		if !slices.ContainsFunc(events, func(event any) bool {
			e, ok := event.(port.RolloutEvent)
			return ok && e.Service == service
		}) {
			d.applyRollout(now, now, port.RolloutEvent{Service: service, Ended: true})
		}
	}
}

// seeRelease notes the software release of a listed upstream; the lock is held.
func (d *Controller) seeRelease(now time.Time, u conf.Upstream) {
	d.ramp.See(now, u.Service, u.Release, now.Add(-clock.Since(time.UnixMilli(u.Born))))
}

// tickRamp makes the periodic decisions and returns what is to be recorded; the lock is held.
func (d *Controller) tickRamp(now time.Time, holds bool) (cmds []ident.Cmd) {
	entries := slices.DeleteFunc(mesh.IDs(d.mesh.Alive(now)), func(id string) bool { return id == d.mesh.Self().ID })
	all := d.ramp.Update(now, ramp.TickMsg{Holds: holds, Entries: entries, Link: d.linkOf, Pool: func(service ident.ServiceName, target ramp.Release) ramp.Pool {
		return d.place.PoolOf(now, service, target)
	}})
	d.logRamp(all)
	return slices.DeleteFunc(all, func(cmd ident.Cmd) bool {
		_, record := cmd.(ramp.RecordCmd)
		return !record
	})
}

var verdictNames = map[ramp.Verdict]ramp.State{ramp.Undecided: ramp.StateRunning, ramp.RolledBack: ramp.StateRolledBack, ramp.Done: ramp.StateDone}

// linkOf describes the link to an upstream; the lock is held.
func (d *Controller) linkOf(id ident.UpstreamID) ramp.Link {
	return ramp.Link{ContactAt: d.reach.ContactAt(id), Lost: d.reach.Isolated(id)}
}

// logRamp logs the steps and verdicts of roll-outs, and tells the other entries soon; the lock is held.
func (d *Controller) logRamp(cmds []ident.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case ramp.StepCmd:
			d.log.Info("rollout_step", "service", cmd.Service, "release", cmd.Target, "step", cmd.Step, "share", cmd.Share, "age", cmd.Age)
		case ramp.VerdictCmd:
			attrs := []any{"service", cmd.Service, "release", cmd.Target, "state", verdictNames[cmd.Verdict], "age", cmd.Age, "sampled", cmd.Sampled}
			if r := cmd.Reason; r != nil {
				attrs = append(attrs, "route", r.Route, "indicator", r.Indicator.String(), "answers", r.New.N, "bad", r.New.Bad, "control", r.Control)
			}
			d.log.Warn("rollout_judged", attrs...)
		default:
			continue
		}
		d.rampToldAt = time.Time{}
		d.wakeHeartbeat()
	}
}

// shareRollouts adds what this entry knows of roll-outs to a heartbeat, at most every rolloutReportInterval; the lock is
// held.
func (d *Controller) shareRollouts(now time.Time, m *gossip.Message) {
	interval := rolloutReportInterval
	if !d.ramp.Active() {
		interval = verdictInterval
	}
	if now.Sub(d.rampToldAt) < interval {
		return
	}
	d.rampToldAt = now
	for _, r := range d.ramp.Reports(now) {
		told := gossip.Rollout{Service: string(r.Service), Release: r.Target, AgeMS: int(r.Age.Milliseconds()), Step: r.Step, Verdict: int(r.Verdict)}
		for _, c := range r.Cells {
			told.Cells = append(told.Cells, gossip.RolloutCell{Route: c.Route, Old: flatten(c.Old), New: flatten(c.New)})
		}
		m.Rollouts = append(m.Rollouts, told)
	}
}

// hearRollouts applies what another entry knows of roll-outs; the lock is held.
func (d *Controller) hearRollouts(now time.Time, m *gossip.Message) {
	for _, told := range m.Rollouts {
		r := ramp.Report{
			Service: ident.ServiceName(told.Service), Target: told.Release, Age: time.Duration(told.AgeMS) * time.Millisecond,
			Step: told.Step, Verdict: ramp.Verdict(told.Verdict),
		}
		for _, c := range told.Cells {
			r.Cells = append(r.Cells, ramp.Cell{Route: c.Route, Old: unflatten(c.Old), New: unflatten(c.New)})
		}
		d.logRamp(d.ramp.Update(now, ramp.ReportMsg{Entry: m.ID, Report: r}))
	}
}

// flatten lists the counts of each indicator.
func flatten(c ramp.Counts) (list []int) {
	for _, t := range c {
		list = append(list, t.N, t.Bad)
	}
	return list
}

func unflatten(list []int) (c ramp.Counts) {
	for i := range c {
		if 2*i+1 < len(list) {
			c[i] = ramp.Tally{N: list[2*i], Bad: list[2*i+1]}
		}
	}
	return c
}

// recordRollout records the state of a roll-out.
func (u *duty) recordRollout(ctx context.Context, cmd ramp.RecordCmd) {
	r := cmd.Recorded
	ctx, cancel, _, holds := u.leaseContext(ctx)
	defer cancel()
	if !holds {
		u.d.controller.updateRamp(ramp.RecordedMsg{Recorded: r, Failed: true})
		return
	}
	err := u.d.store.ReportRollout(ctx, r.Service, r.Target, string(r.State))
	u.d.log.Info("rollout_recorded", "service", r.Service, "release", r.Target, "state", r.State, "error", err)
	u.d.controller.updateRamp(ramp.RecordedMsg{Recorded: r, Failed: err != nil})
}
