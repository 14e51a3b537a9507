package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/once"
	"cicadavalve/core/sched"
	"cicadavalve/io/caller"
	"cicadavalve/io/peer"
)

const (
	retryAfter    = time.Second
	addressWeight = 100
	foldPoll      = 5 * time.Millisecond
)

// Org implements [caller.Backend].
func (d *Daemon) Org(token string) (org ident.OrgID, known bool) { return d.tokens.Org(token) }

// Entries implements [caller.Backend]. It advises neither this entry while it leaves, nor others
// that leave or are out of reach.
func (d *Daemon) Entries(ctx context.Context) caller.Advice {
	advice := caller.Advice{HoldMs: time.Duration(d.settings.AdviceHold).Milliseconds()}
	d.inspect(ctx, func() {
		for _, m := range d.node.Members().Watch().Advised(d.clock.now()) {
			if d.leaving && m.Entry == d.self.Entry {
				continue
			}
			advice.Entries = append(advice.Entries, caller.Address{
				Entry: m.Entry, Address: m.Address, Zone: m.Zone, Weight: addressWeight,
			})
		}
	})
	return advice
}

// Ready implements [caller.Backend].
func (d *Daemon) Ready(ctx context.Context) error {
	ready := false
	d.inspect(ctx, func() { ready = d.isReady() })
	if ready {
		return nil
	}
	return &caller.Refusal{
		Code: sched.CodeNotReady, Message: "no configuration is in force or the entry leaves", NotRun: true,
		RetryAfter: retryAfter,
	}
}

// isReady is for the loop alone.
func (d *Daemon) isReady() bool { return d.node.Sched().RulesVersion() > 0 && !d.leaving }

// appendFailed tells the decider of a record that the log did not take it in time.
func (d *Daemon) appendFailed(ctx context.Context, p pending) {
	if p.stream != once.StreamOnce {
		return
	}
	var body once.Body
	if err := json.Unmarshal(p.record.Body, &body); err != nil {
		d.log.Error("record_not_decoded", "error", err)
		return
	}
	d.post(ctx, once.AppendFailedMsg{Attempt: body.Attempt, Kind: p.record.Kind})
}

// Propose implements [peer.Backend]: it believes the fold alone, never the answer to the append.
func (d *Daemon) Propose(ctx context.Context, id string, body ledger.ConfigBody) (o ledger.Outcome, folded bool, err error) {
	defer func() { err = errors.Wrap(err, "propose") }()
	ctx, cancel := context.WithTimeout(ctx, proposalDeadline)
	defer cancel()
	rec, err := ledger.NewRecord(id, ledger.KindConfig, d.settings.Entry, body)
	if err != nil {
		return o, false, err
	}
	d.appender.add(ctx, ledger.StreamConfig, rec)
	ticker := time.NewTicker(foldPoll)
	defer ticker.Stop()
	for !folded {
		select {
		case <-ctx.Done():
			return o, false, nil
		case <-ticker.C:
			d.inspect(ctx, func() { o, folded = d.node.Config().Outcome(id) })
		}
	}
	return o, true, nil
}

// Status implements [peer.Backend].
func (d *Daemon) Status(ctx context.Context) (s peer.Status, err error) {
	ran := d.inspect(ctx, func() {
		s = peer.Status{
			Entry: d.self.Entry, Zone: d.self.Zone, Version: d.node.Config().Version(), Operator: d.node.Config().Operator(),
			Text: d.node.Config().Text(), Digest: d.node.Config().Digest(), Ready: d.isReady(), Members: d.node.Roster().Members(),
		}
	})
	if !ran {
		return s, errors.Wrap(ctx.Err(), "status")
	}
	return s, nil
}
