package place

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/ramp"
	"cicadavalve/core/route"
	"cicadavalve/core/times"
)

// WithRamp sets the model of roll-outs, which decides what upstreams of each software release may get.
func WithRamp(r *ramp.Model) Option {
	return func(m *Model) { m.ramp = r }
}

// pick marks a new request as a sample for the release that is being rolled out, or not.
func (m *Model) pick(now time.Time, need *Need) {
	need.Sampled = m.ramp != nil && m.ramp.Pick(now, need.Service, need.Route)
}

// again is like pick for a request that is sent once more.
func (m *Model) again(need *Need) { need.Sampled = m.ramp != nil && m.ramp.Again(need.Service) }

// releaseAllowed reports whether an upstream's release may get a request.
func (m *Model) releaseAllowed(now time.Time, u *conf.Upstream, need *Need) bool {
	return m.ramp == nil || m.ramp.Allows(now, need.Service, u.Release, need.Sampled)
}

// chooseRelease is like chooseZone for a request that may be a sample. A sample that no upstream can take in time becomes an
// ordinary request; after the move to the new release samples wait for busy upstreams, as other requests do.
func (m *Model) chooseRelease(
	now time.Time, need *Need, avoid []ident.UpstreamID, only ident.UpstreamID,
) (best *option, tally Tally, ahead outlook) {
	best, tally, ahead = m.chooseZone(now, need, avoid, only)
	if only != "" || !need.Sampled || best != nil && !m.lateSample(now, need, best) {
		return best, tally, ahead
	}
	if best == nil && m.ramp.Moved(need.Service) && tally.Full+tally.Limited > 0 {
		return best, tally, ahead
	}
	need.Sampled = false
	return m.chooseZone(now, need, avoid, only)
}

// lateSample reports whether a sample would be refused at its best upstream, though another release may serve it.
func (m *Model) lateSample(now time.Time, need *Need, o *option) bool {
	return need.Sampled && !m.ramp.Moved(need.Service) && (now.Add(o.firstByte).After(need.Deadline) || m.late(now, need, o))
}

// gather lowers the cost of an upstream for a sample by a hash of its id, so that samples of all entries meet on few
// upstreams.
func (m *Model) gather(need *Need, o *option) {
	if !need.Sampled {
		return
	}
	if idle, busy := m.ramp.Gathers(need.Service); busy || idle && o.idle {
		o.cost = -float64(route.HashID(o.upstream.ID))
	}
}

// usualFirstByte returns what the expected time to the first byte would be at an upstream of usual speed.
func (m *Model) usualFirstByte(now time.Time, o *option) time.Duration {
	slowdown := m.slowdown(now, o.upstream, m.upstreamStats(o.upstream.ID))
	return times.Duration(float64(o.firstByte-o.fetchDelay)/slowdown) + o.fetchDelay
}

// noteSent tells the model of roll-outs of an attempt.
func (m *Model) noteSent(now time.Time, need *Need, o *option) {
	if m.ramp == nil {
		return
	}
	m.ramp.Update(now, ramp.SentMsg{Attempt: ramp.Attempt{
		ID: uint64(need.Ticket), Service: need.Service, Route: need.Route, Upstream: o.upstream.ID, Release: o.upstream.Release,
		Cold: m.fleet.Cold(now, o.upstream.ID), Expected: m.usualFirstByte(now, o), Output: need.Output,
	}})
}

// noteFirstByte tells the model of roll-outs of the first byte of an attempt's answer.
func (m *Model) noteFirstByte(now time.Time, t Ticket) {
	if m.ramp != nil {
		m.ramp.Update(now, ramp.FirstByteMsg{ID: uint64(t)})
	}
}

// noteOutcome tells the model of roll-outs how an attempt ended.
func (m *Model) noteOutcome(now time.Time, s *sent, outcome Outcome) {
	if m.ramp != nil {
		m.ramp.Update(now, ramp.EndMsg{
			ID: uint64(s.need.Ticket), Failed: outcome == Failed || outcome == Broken, Broken: outcome == Broken,
			Void: outcome == Rejected || outcome == Cancelled,
		})
	}
}

// PoolOf describes the upstreams of a service for a roll-out to a release.
func (m *Model) PoolOf(now time.Time, service ident.ServiceName, target ramp.Release) (p ramp.Pool) {
	m.fleet.Scan(func(u *conf.Upstream) {
		if u.Service != service {
			return
		}
		serves := m.fleet.Usable(now, u.ID) && !m.fleet.Cold(now, u.ID)
		switch {
		case u.Release != target:
			p.Old++
			p.OldInFlight += m.InFlight(now, u.ID)
			if serves {
				p.OldSlots += u.Slots
			}
		case serves:
			p.NewSlots += u.Slots
		}
	})
	return p
}
