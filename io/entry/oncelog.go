package entry

import (
	"context"
	"encoding/json"
	"time"

	"cicadavalve/core/ledger"
	"cicadavalve/core/once"
	"cicadavalve/io/config"
)

func onceLimits(s config.Settings) once.Limits {
	stay := foldLimit + time.Duration(s.AdviceHold) + adviceGrace
	return once.Limits{
		SendLimit: time.Duration(s.OnceSendLimit), AbandonAge: time.Duration(s.OnceAbandonAge), Window: s.OnceWindow,
		Stay: stay, Quiet: time.Duration(s.Lease) + stay + time.Duration(s.LeaseMargin),
	}
}

func (d *Daemon) appendEvents() appendEvents {
	return appendEvents{failed: d.appendFailed, state: d.logState}
}

// appendOnce tells the decider at once of a record that the full queue does not take.
func (d *Daemon) appendOnce(ctx context.Context, cmd once.AppendCmd) {
	if d.appender.offer(once.StreamOnce, cmd.Record) {
		return
	}
	if msg, ok := d.failedMsg(cmd.Record); ok {
		d.update(ctx, d.clock.now(), msg)
	}
}

// offer drops a record that the full queue does not take; its decider appends it again where it is needed.
func (d *Daemon) offer(ctx context.Context, cmd ledger.AppendCmd) {
	if !d.appender.offer(cmd.Stream, cmd.Record) {
		d.log.Warn("append_dropped", "stream", cmd.Stream, "kind", cmd.Record.Kind)
		d.update(ctx, d.clock.now(), ledger.AppendFailedMsg{ID: cmd.Record.ID})
	}
}

// appendFailed tells the decider of a record that the log did not take in time.
func (d *Daemon) appendFailed(ctx context.Context, p pending) {
	if p.stream == ledger.StreamConfig {
		d.post(ctx, ledger.AppendFailedMsg{ID: p.record.ID})
	}
	if p.stream != once.StreamOnce {
		return
	}
	if msg, ok := d.failedMsg(p.record); ok {
		d.post(ctx, msg)
	}
}

func (d *Daemon) failedMsg(rec ledger.Record) (msg once.AppendFailedMsg, ok bool) {
	var body once.Body
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		d.log.Error("record_not_decoded", "error", err)
		return msg, false
	}
	return once.AppendFailedMsg{Attempt: body.Attempt, Kind: rec.Kind}, true
}

// logState tells the decider whether the log takes the records of once-only calls.
func (d *Daemon) logState(ctx context.Context, stream ledger.Stream, up bool) {
	if stream == once.StreamOnce {
		d.post(ctx, once.LogMsg{Up: up})
	}
}
