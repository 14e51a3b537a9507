package place

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/pace"
)

// WithPace sets the model of the pace of upstreams. Where an upstream states its slowdown, the model's factor is used, and the ratio that is
// measured from the latest times to the first byte is taken relative to it.
func WithPace(p *pace.Model) Option {
	return func(m *Model) { m.pace = p }
}

// HeadMsg reports the head of an answer, before the first byte of the answer is reported.
type HeadMsg struct {
	Ticket   Ticket
	Upstream ident.UpstreamID
	// Born is the incarnation that answered.
	Born int64
	// Stated is set if the head states a load with a Slowdown, a multiple of the usual time, Absent if it states one without.
	Stated, Absent bool
	Slowdown       float64
	// At is the earliest time at which the head can have arrived.
	At time.Time
}

// observeHead applies the head of an answer.
func (m *Model) observeHead(now time.Time, msg HeadMsg) {
	if s, ok := m.sent[msg.Ticket]; ok && s.upstream == msg.Upstream {
		s.headed = true
		if msg.Stated && pace.Plausible(msg.Slowdown) {
			s.slowdown = pace.Clamp(msg.Slowdown)
		}
	}
	u, listed := m.fleet.Get(msg.Upstream)
	if m.pace == nil || !listed || u.Born != msg.Born || !msg.Stated && !msg.Absent {
		return
	}
	m.pace.Update(now, pace.ReportMsg{
		Service: u.Service, Upstream: u.ID, Born: u.Born, Slowdown: msg.Slowdown, Absent: msg.Absent, At: msg.At,
	})
}

// slowdown returns how much longer than the service's average an upstream takes: by its pace, if it states that, and by what its latest times
// to the first byte show beyond it.
func (m *Model) slowdown(now time.Time, u *conf.Upstream, stats *upstreamStats) float64 {
	if m.pace != nil {
		if factor, stated := m.pace.Factor(now, u.ID, u.Born); stated {
			return factor * stats.slowdown
		}
	}
	return stats.slowdown
}

// usual returns what a time to the first byte would have been without the slowdown that the answer states.
func (m *Model) usual(s *sent, elapsed time.Duration) time.Duration {
	if m.pace == nil || s.slowdown == 0 {
		return elapsed
	}
	return time.Duration(float64(elapsed) / s.slowdown)
}

// samplePace adds the ratio of a time to the first byte to the expected one to the upstream's long-term speed, and returns the part of the
// ratio that its pace does not explain. A cold upstream is slow for a reason that ends.
func (m *Model) samplePace(now time.Time, s *sent, ratio float64) (unexplained float64) {
	u, listed := m.fleet.Get(s.upstream)
	if m.pace == nil || s.slowdown == 0 || !listed || u.Born != s.born || m.fleet.Cold(now, s.upstream) {
		return ratio
	}
	unexplained = ratio / (m.pace.Speed(now, u.ID) * s.slowdown)
	m.pace.Update(now, pace.SampleMsg{Service: u.Service, Upstream: u.ID, Born: u.Born, Ratio: ratio, Slowdown: s.slowdown})
	return unexplained
}

// forgetPace applies that an upstream was removed.
func (m *Model) forgetPace(now time.Time, id ident.UpstreamID) {
	if m.pace != nil {
		m.pace.Update(now, pace.GoneMsg{Upstream: id})
	}
}
