package daemon

import (
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
	"cicadavalve/io/gossip"
)

const (
	// maxConcurrencyLimits bounds the limits that a heartbeat tells.
	maxConcurrencyLimits = 20
	// concurrencyLimitTells is how often each limit is told.
	concurrencyLimitTells = 3
)

// toldConcurrencyLimit is a limit to tell the other entries.
type toldConcurrencyLimit struct {
	gossip.ConcurrencyLimit
	at    time.Time
	tells int
}

// queueConcurrencyLimit queues the limit of an upstream for the next heartbeats, in place of an older one; the lock is held.
func (d *Controller) queueConcurrencyLimit(now time.Time, cmd place.ConcurrencyLimitCmd) {
	u, listed := d.fleet.Get(cmd.Upstream)
	if !listed {
		return
	}
	d.log.Info("upstream_concurrency_limit", "upstream", cmd.Upstream, "limit", cmd.Limit)
	d.concurrencyLimits = slices.DeleteFunc(d.concurrencyLimits, func(l toldConcurrencyLimit) bool { return l.Upstream == string(cmd.Upstream) })
	if len(d.concurrencyLimits) >= maxConcurrencyLimits {
		d.log.Debug("concurrency_limit_not_told", "upstream", cmd.Upstream)
		return
	}
	d.concurrencyLimits = append(d.concurrencyLimits, toldConcurrencyLimit{
		ConcurrencyLimit: gossip.ConcurrencyLimit{
			Upstream: string(cmd.Upstream), Born: u.Born, Rejections: d.fleet.RejectionLimit(cmd.Upstream).PerSecond, Limit: cmd.Limit,
		},
		at: now, tells: concurrencyLimitTells,
	})
	d.wakeHeartbeat()
}

// takeConcurrencyLimits returns the limits to tell now; the lock is held.
func (d *Controller) takeConcurrencyLimits(now time.Time) (limits []gossip.ConcurrencyLimit) {
	for i := range d.concurrencyLimits {
		l := &d.concurrencyLimits[i]
		l.tells--
		l.AgeMS = int(now.Sub(l.at).Milliseconds())
		limits = append(limits, l.ConcurrencyLimit)
	}
	d.concurrencyLimits = slices.DeleteFunc(d.concurrencyLimits, func(l toldConcurrencyLimit) bool { return l.tells <= 0 })
	return limits
}

// applyConcurrencyLimit applies a limit that another entry tells, whose message arrived at the given time at the earliest; the
// lock is held.
func (d *Controller) applyConcurrencyLimit(now, arrived time.Time, l gossip.ConcurrencyLimit) {
	if !(l.Limit >= 0) || !(l.Rejections >= 0) {
		d.log.Debug("datagram_unreadable", "upstream", l.Upstream, "limit", l.Limit, "rejections", l.Rejections)
		return
	}
	id, at := ident.UpstreamID(l.Upstream), arrived.Add(-time.Duration(max(l.AgeMS, 0))*time.Millisecond)
	if u, listed := d.fleet.Get(id); !listed || u.Born != l.Born {
		return
	}
	rejections := conf.NamedLimit{Named: true, PerSecond: l.Rejections}
	d.perform(d.fleet.Update(now, fleet.RejectionLimitMsg{ID: id, Born: l.Born, Rejections: rejections, At: at}))
	d.perform(d.place.Update(now, place.ConcurrencyLimitMsg{Upstream: id, Limit: l.Limit, At: at}))
}
