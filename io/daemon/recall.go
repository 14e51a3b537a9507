package daemon

import (
	"sync/atomic"

	"cicadavalve/core/pace"
	"cicadavalve/core/place"
	"cicadavalve/core/ramp"
	"cicadavalve/core/share"
	"cicadavalve/core/zones"
	"cicadavalve/io/clock"
	"cicadavalve/io/relay"
)

// placeOptions returns the options of the model that places requests.
func placeOptions(s Settings, roll *ramp.Model, speeds *pace.Model, shares *share.Model, leave *zones.Model) (options []place.Option) {
	options = []place.Option{place.WithVersionGrace(s.VersionGrace), place.WithRamp(roll), place.WithPace(speeds), place.WithShares(shares), place.WithZones(leave)}
	if s.Recall {
		options = append(options, place.WithRecall())
	}
	return options
}

// recallCounts counts the overdue requests that were recalled, and those that were not since the retry budget was used up.
type recallCounts struct{ recalled, denied atomic.Int64 }

// recallRequest ends the exchange of a request; the lock is held. One that is overdue goes on if the retry budget is used up, since it could not
// be sent again, or if it is between two exchanges.
func (d *Controller) recallRequest(cmd place.RecallCmd) {
	cancel := d.recalls[cmd.Ticket]
	if !cmd.Overdue {
		d.log.Info("request_recalled", "ticket", cmd.Ticket, "upstream", cmd.Upstream)
		if cancel != nil {
			cancel(relay.ErrRecalled)
		} else {
			d.recalls[cmd.Ticket] = nil
		}
		return
	}
	if cancel == nil {
		return
	}
	allowed := d.withdrawRetry(clock.Now(), cmd.Service)
	d.log.Info("request_overdue", "ticket", cmd.Ticket, "upstream", cmd.Upstream, "waited", cmd.Waited, "expected", cmd.Expected, "elsewhere", cmd.Target,
		"recalled", allowed)
	if !allowed {
		d.overdue.denied.Add(1)
		return
	}
	d.overdue.recalled.Add(1)
	cancel(relay.ErrOverdue)
}
