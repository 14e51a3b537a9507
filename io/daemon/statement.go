package daemon

import (
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// observeStatements applies what the answer to a request says of its upstream beside its outcome; the lock is held. An answer that
// may be of another upstream changes nothing.
func (d *Controller) observeStatements(now time.Time, e relay.Exchange, reply port.Reply) {
	if fault := errors.Join(reply.LimitFault, reply.RetryAfterFault, reply.RejectionLimitFault, reply.LoadFault); fault != nil {
		d.statementFaults.Do(func() { d.log.Warn("upstream_statement_unreadable", "upstream", e.Upstream, "error", fault) })
	}
	ofOther := reply.Upstream != "" && reply.Upstream != e.Upstream || reply.Misdirected && reply.Upstream == ""
	if ofOther || !reply.Signed && !reply.NotRun {
		return
	}
	if reply.NotRun || reply.RetryAfter > 0 {
		d.fleet.Update(now, fleet.RejectedMsg{ID: e.Upstream, Born: e.Born, Backoff: reply.RetryAfter})
	}
	if reply.RetryAfter > 0 {
		d.log.Info("backoff_requested", "upstream", e.Upstream, "for", reply.RetryAfter)
	}
	if reply.RejectionLimitFault == nil || reply.RejectionLimit.Named {
		d.perform(d.fleet.Update(now, fleet.RejectionLimitMsg{ID: e.Upstream, Born: e.Born, Rejections: reply.RejectionLimit, At: d.arrival(now, e)}))
	}
	if reply.NotRun && !reply.Misdirected && d.fleet.RejectionLimit(e.Upstream).Named {
		d.perform(d.place.Update(now, place.RejectedMsg{Upstream: e.Upstream}))
	}
	if reply.Leaving {
		d.perform(d.fleet.Update(now, fleet.LeavingMsg{ID: e.Upstream, Born: e.Born}))
	}
	if reply.LimitFault == nil || reply.Limit.Named {
		d.observeLimit(now, e, reply.Limit)
	}
	d.observePace(now, e, reply)
}

// observeLimit applies the limit that an answer names, or its end; the lock is held.
func (d *Controller) observeLimit(now time.Time, e relay.Exchange, limit conf.NamedLimit) {
	changed := d.fleet.Limit(now, e.Upstream) != limit
	d.perform(d.fleet.Update(now, fleet.LimitMsg{ID: e.Upstream, Born: e.Born, Limit: limit, At: d.arrival(now, e)}))
	if changed {
		d.wakeHeartbeat()
	}
}

// mayCall reports whether orders and queries may go to an upstream: none does while it asks to back off. They are repeated, like
// those that are lost.
func (d *Controller) mayCall(now time.Time, id ident.UpstreamID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.fleet.BackingOff(now, id)
}

// observeCallError applies the time to back off that an upstream asks for when it refuses a call.
func (d *Controller) observeCallError(now time.Time, addr string, err error) {
	var backoff *port.BackoffError
	if !errors.As(err, &backoff) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var refusing []conf.Upstream
	d.fleet.Scan(func(u *conf.Upstream) {
		if u.Address == addr {
			refusing = append(refusing, *u)
		}
	})
	for _, u := range refusing {
		d.fleet.Update(now, fleet.RejectedMsg{ID: u.ID, Born: u.Born, Backoff: backoff.After})
		d.log.Info("backoff_requested", "upstream", u.ID, "for", backoff.After)
	}
}

// arrival returns the earliest time at which an answer can have arrived; the lock is held.
func (d *Controller) arrival(now time.Time, e relay.Exchange) (at time.Time) {
	if at = d.stall.ArrivedSince(now); e.SentAt.After(at) {
		return e.SentAt
	}
	return at
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
