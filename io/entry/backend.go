package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/caller"
	"cicadavalve/io/peer"
)

const (
	retryAfter    = time.Second
	addressWeight = 100
)

// Org implements [caller.Backend].
func (d *Daemon) Org(token string) (org ident.OrgID, known bool) { return d.tokens.Org(token) }

// Entries implements [caller.Backend]. It omits entries that are leaving, this one included, and
// those that are unreachable.
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

// isReady must be called from the loop.
func (d *Daemon) isReady() bool { return d.node.Sched().RulesVersion() > 0 && !d.leaving }

// Status implements [peer.Backend].
func (d *Daemon) Status(ctx context.Context) (s peer.Status, err error) {
	ran := d.inspect(ctx, func() {
		s = peer.Status{
			Entry: d.self.Entry, Zone: d.self.Zone,
			Version: d.node.Sched().RulesVersion(), Operator: d.node.Config().Operator(),
			Text: d.node.Config().Text(), Digest: d.node.Config().Digest(), Ready: d.isReady(),
			Members: d.node.Roster().Members(),
		}
	})
	if !ran {
		return s, errors.Wrap(ctx.Err(), "status")
	}
	return s, nil
}
