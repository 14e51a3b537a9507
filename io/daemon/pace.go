package daemon

import (
	"time"

	"cicadavalve/core/pace"
	"cicadavalve/core/place"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// observePace applies the head of an answer and what it states of the pace of its upstream; the lock is held.
func (d *Controller) observePace(now time.Time, e relay.Exchange, reply port.Reply) {
	stated := d.pace.Stating()
	d.place.Update(now, place.HeadMsg{
		Ticket: e.Ticket, Upstream: e.Upstream, Born: e.Born, Stated: reply.HasSlowdown, Slowdown: reply.Slowdown,
		Absent: reply.HasLoad && !reply.HasSlowdown && reply.LoadFault == nil, At: d.arrival(now, e),
	})
	if is := d.pace.Stating(); is != stated {
		d.log.Info("upstream_pace_stated", "upstream", e.Upstream, "stated", is > stated)
	}
}

// paceSummary returns the pace of all upstreams.
func (d *Controller) paceSummary() pace.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pace.Summary(clock.Now())
}
