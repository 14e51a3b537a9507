package daemon

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
)

// observeLimit applies the limit that the answer to a request names, or its end; the lock is held. An answer that may be of another
// service, or whose limit can't be read, changes nothing.
func (d *Controller) observeLimit(now, sentAt time.Time, id ident.UpstreamID, reply port.Reply) {
	if reply.LimitFault != nil {
		d.limitFaults.Do(func() { d.log.Warn("upstream_limit_unreadable", "upstream", id, "error", reply.LimitFault) })
	}
	ofOther := reply.Upstream != "" && reply.Upstream != id || reply.Misdirected && reply.Upstream == ""
	u, known := d.fleet.Get(id)
	if !known || ofOther || !reply.Signed && !reply.NotRun || reply.LimitFault != nil && !reply.Limit.Named {
		return
	}
	changed := d.fleet.Limit(now, id) != reply.Limit
	arrived := d.stall.ArrivedSince(now)
	if sentAt.After(arrived) {
		arrived = sentAt
	}
	d.perform(d.fleet.Update(now, fleet.LimitMsg{ID: id, Born: u.Born, Limit: reply.Limit, At: arrived}))
	if changed {
		d.wakeHeartbeat()
	}
}

// applyLimit applies a limit that another entry tells, whose message arrived at the given time at the earliest; the lock is
// held.
func (d *Controller) applyLimit(now, arrived time.Time, l gossip.Limit) {
	if !(l.PerSecond >= 0) {
		d.log.Debug("datagram_unreadable", "upstream", l.Upstream, "limit", l.PerSecond)
		return
	}
	limit := conf.NamedLimit{Named: l.Named, PerSecond: l.PerSecond}
	at := arrived.Add(-time.Duration(max(l.AgeMS, 0)) * time.Millisecond)
	d.perform(d.fleet.Update(now, fleet.LimitMsg{ID: ident.UpstreamID(l.Upstream), Born: l.Born, Limit: limit, At: at, Heard: true}))
}
