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
	leaveGrace := leaveFoldTimeout + time.Duration(s.AdviceHold) + adviceGrace
	return once.Limits{
		SendLimit: time.Duration(s.OnceSendLimit), AbandonAge: time.Duration(s.OnceAbandonAge), Window: s.OnceWindow,
		LeaveGrace: leaveGrace, DepartureDelay: time.Duration(s.Lease) + leaveGrace + time.Duration(s.LeaseMargin),
	}
}

func (d *Daemon) appendEvents() appendEvents {
	return appendEvents{appendFailed: d.reportAppendFailed, logState: d.reportLogState}
}

// appendOnce queues a once-only record for its append. If the queue is full, it reports the failure to the state
// machine directly. It must be called from the loop.
func (d *Daemon) appendOnce(ctx context.Context, cmd once.AppendCmd) {
	if d.appender.offer(once.StreamOnce, cmd.Record) {
		return
	}
	if msg, ok := d.appendFailedMsg(cmd.Record); ok {
		d.update(ctx, d.clock.now(), msg)
	}
}

// appendRecord queues a record for its append. If the queue is full, it drops the record and reports the failure; the
// state machine retries it where needed. It must be called from the loop.
func (d *Daemon) appendRecord(ctx context.Context, cmd ledger.AppendCmd) {
	if !d.appender.offer(cmd.Stream, cmd.Record) {
		d.log.Warn("append_dropped", "stream", cmd.Stream, "kind", cmd.Record.Kind)
		d.update(ctx, d.clock.now(), ledger.AppendFailedMsg{ID: cmd.Record.ID})
	}
}

// reportAppendFailed posts the failure of a configuration or once-only record that the log did not accept in time.
func (d *Daemon) reportAppendFailed(ctx context.Context, p pending) {
	if p.stream == ledger.StreamConfig {
		d.post(ctx, ledger.AppendFailedMsg{ID: p.record.ID})
	}
	if p.stream != once.StreamOnce {
		return
	}
	if msg, ok := d.appendFailedMsg(p.record); ok {
		d.post(ctx, msg)
	}
}

func (d *Daemon) appendFailedMsg(rec ledger.Record) (msg once.AppendFailedMsg, ok bool) {
	var body once.Body
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		d.log.Error("record_not_decoded", "error", err)
		return msg, false
	}
	return once.AppendFailedMsg{Attempt: body.Attempt, Kind: rec.Kind}, true
}

// reportLogState posts whether the log accepts the records of once-only calls.
func (d *Daemon) reportLogState(ctx context.Context, stream ledger.Stream, up bool) {
	if stream == once.StreamOnce {
		d.post(ctx, once.LogMsg{Up: up})
	}
}
