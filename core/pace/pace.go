// Package pace estimates how much longer than usual the upstreams of a service take.
//
// It combines a long-term speed, which is measured from the times to the first byte, with the present slowdown, which the upstreams
// state themselves. A statement is worth less the older it is: upstreams that share their VM with other work change every moment, and
// entries that follow old statements all choose the same upstream.
package pace

import (
	"math"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// minSlowdown and maxSlowdown bound what the statements of upstreams are taken for. Beyond maxSlowdown an upstream is avoided anyway, and
	// one that wrongly states to be fast must not draw all requests.
	minSlowdown, maxSlowdown = 0.8, 5
	// minPlausible is the least statement that is not taken for wrong.
	minPlausible = 0.25
	// outlierFactor bounds a sample of the long-term speed, as a multiple or a fraction of the median of the service: a request may have
	// waited behind others that this entry does not know of.
	outlierFactor = 3
	// maxRelative bounds the long-term speed of an upstream, as a multiple or a fraction of the median.
	maxRelative = 4
	// priorSamples is how many samples the assumption is worth that a new upstream is as fast as the median.
	priorSamples = 2
	// maxWeight is the most that a sample counts for once there are several.
	maxWeight = 0.2
	// averagingTime is the time over which the long-term speed is averaged: long beside the slow seconds of an upstream.
	averagingTime = 30 * time.Second
	// idleDelay is how long a long-term speed stays unchanged without samples, idleHalfLife how long its distance from the median then
	// takes to halve, so that an upstream which is avoided is tried again.
	idleDelay    = 30 * time.Second
	idleHalfLife = time.Minute
	// restartSamples is how many samples of an earlier incarnation count for the next one, which may run on another VM.
	restartSamples = 3
	// medianInterval is how long the median of a service is kept.
	medianInterval = 250 * time.Millisecond
)

// ReportMsg is what an answer of an upstream states of its speed.
type ReportMsg struct {
	Service  ident.ServiceName
	Upstream ident.UpstreamID
	// Born is the incarnation that answered.
	Born int64
	// Slowdown is how long work takes now, as a multiple of the usual time.
	Slowdown float64
	// Absent is set if the answer states its load without a slowdown.
	Absent bool
	// At is when the answer arrived. Older reports than the last one are ignored.
	At time.Time
}

// SampleMsg is the time to the first byte of a request at an upstream that states its slowdown.
type SampleMsg struct {
	Service  ident.ServiceName
	Upstream ident.UpstreamID
	Born     int64
	// Ratio is that time as a multiple of the one expected at the usual pace of the service.
	Ratio float64
	// Slowdown is what the answer states. The sample is ignored if that is not plausible.
	Slowdown float64
}

// GoneMsg reports that an upstream was removed.
type GoneMsg struct{ Upstream ident.UpstreamID }

// upstream is the pace of one upstream.
type upstream struct {
	service *service
	born    int64
	// stated is set if the present incarnation states its slowdown.
	stated bool
	// slowdown is within its bounds, and was stated in an answer that arrived at reportedAt.
	slowdown   float64
	reportedAt time.Time
	deviating  share
	// ratio is the long-term ratio of the times to the first byte to the expected ones, without the stated slowdown.
	ratio     float64
	samples   int
	sampledAt time.Time
}

// service is what the upstreams of a service have in common.
type service struct {
	// stating counts the upstreams that state their slowdown.
	stating int
	// members holds the upstreams with samples.
	members     []*upstream
	median      float64
	medianAt    time.Time
	persistence persistence
}

// Model holds the pace of upstreams. Its methods aren't safe for concurrent use.
type Model struct {
	services  map[ident.ServiceName]*service
	upstreams map[ident.UpstreamID]*upstream
	scratch   []float64
}

// NewModel returns a model without upstreams.
//
//	m := pace.NewModel()
//	m.Update(now, pace.ReportMsg{Service: "llm", Upstream: "e1", Born: 1, Slowdown: 2.5, At: now})
//	factor, stated := m.Factor(now, "e1", 1)
func NewModel() *Model {
	return &Model{services: map[ident.ServiceName]*service{}, upstreams: map[ident.UpstreamID]*upstream{}}
}

// Update applies a message. It has no commands: the pace is asked for.
func (m *Model) Update(now time.Time, msg ident.Msg) {
	switch msg := msg.(type) {
	case ReportMsg:
		m.report(now, msg)
	case SampleMsg:
		m.sample(now, msg)
	case GoneMsg:
		m.forget(msg.Upstream)
	}
}

// Factor returns how long work takes at an incarnation of an upstream, as a multiple of the time expected at its service. stated is false
// if that incarnation has not stated its slowdown.
func (m *Model) Factor(now time.Time, id ident.UpstreamID, born int64) (factor float64, stated bool) {
	u, known := m.upstreams[id]
	if !known || !u.stated || u.born != born {
		return 1, false
	}
	return u.longTerm(now) * u.present(now), true
}

// Speed returns the long-term part of the factor of an upstream, 1 if it is not known.
func (m *Model) Speed(now time.Time, id ident.UpstreamID) float64 {
	if u, known := m.upstreams[id]; known {
		return u.longTerm(now)
	}
	return 1
}

// States reports whether an upstream of a service states its slowdown.
func (m *Model) States(name ident.ServiceName) (ok bool) {
	s, known := m.services[name]
	return known && s.stating > 0
}

// Stating returns how many upstreams state their slowdown.
func (m *Model) Stating() (count int) {
	for _, s := range m.services {
		count += s.stating
	}
	return count
}

// Summary is the pace of all upstreams, for metrics.
type Summary struct {
	// Stating counts the upstreams that state their slowdown, Slow those of them that are expected to be clearly slower than usual now.
	Stating, Slow int
	// Persistence is the longest time that slowdowns are expected to last at any service, 0 if none states them.
	Persistence time.Duration
}

// Summary returns the pace of all upstreams.
func (m *Model) Summary(now time.Time) (s Summary) {
	s.Stating = m.Stating()
	for _, u := range m.upstreams {
		if !u.stated {
			continue
		}
		if deviates(u.present(now)) {
			s.Slow++
		}
		s.Persistence = max(s.Persistence, u.service.persistence.mean())
	}
	return s
}

// Clamp bounds a slowdown that an upstream states. What is not a number counts as usual.
func Clamp(slowdown float64) float64 {
	if math.IsNaN(slowdown) {
		return 1
	}
	return min(max(slowdown, minSlowdown), maxSlowdown)
}

// Plausible reports whether a slowdown that an upstream states can be right, so that a time to the first byte without it is a sample of the
// upstream's long-term speed.
func Plausible(slowdown float64) bool { return slowdown >= minPlausible && slowdown <= maxSlowdown }

func (m *Model) service(name ident.ServiceName) *service {
	s, ok := m.services[name]
	if !ok {
		s = &service{median: 1}
		m.services[name] = s
	}
	return s
}

// incarnation returns the state of an upstream's incarnation, nil for one that is older than the known one.
func (m *Model) incarnation(name ident.ServiceName, id ident.UpstreamID, born int64) *upstream {
	s := m.service(name)
	u, ok := m.upstreams[id]
	switch {
	case !ok || u.service != s:
		m.forget(id)
		u = &upstream{service: s, born: born, slowdown: 1, ratio: s.median}
		m.upstreams[id] = u
	case born < u.born:
		return nil
	case born > u.born:
		u.setStated(false)
		u.born, u.slowdown, u.reportedAt, u.samples = born, 1, time.Time{}, min(u.samples, restartSamples)
	}
	return u
}

// setStated records whether the upstream states its slowdown.
func (u *upstream) setStated(stated bool) {
	switch {
	case stated && !u.stated:
		u.service.stating++
	case !stated && u.stated:
		u.service.stating--
	}
	u.stated = stated
}

func (m *Model) report(now time.Time, msg ReportMsg) {
	u := m.incarnation(msg.Service, msg.Upstream, msg.Born)
	if u == nil || msg.At.After(now) || !msg.At.After(u.reportedAt) {
		return
	}
	slowdown := Clamp(msg.Slowdown)
	if msg.Absent {
		slowdown = 1
	} else {
		u.deviating.add(slowdown)
		if u.stated {
			u.service.persistence.observe(u.slowdown, slowdown, msg.At.Sub(u.reportedAt), u.deviating.value)
		}
	}
	u.setStated(!msg.Absent)
	u.slowdown, u.reportedAt = slowdown, msg.At
}

func (m *Model) sample(now time.Time, msg SampleMsg) {
	u := m.incarnation(msg.Service, msg.Upstream, msg.Born)
	if u == nil || !(msg.Ratio >= 0) || !Plausible(msg.Slowdown) {
		return
	}
	s := u.service
	if u.sampledAt.IsZero() {
		u.ratio = s.median
		s.members = append(s.members, u)
	} else {
		u.ratio = u.longTerm(now)
	}
	sample := msg.Ratio / Clamp(msg.Slowdown)
	if len(s.members) > 1 {
		sample = min(max(sample, s.median/outlierFactor), s.median*outlierFactor)
	} else {
		sample = min(max(sample, 1.0/maxRelative), maxRelative)
	}
	weight := 1 / float64(u.samples+priorSamples+1)
	if !u.sampledAt.IsZero() {
		weight = max(weight, min(maxWeight, float64(now.Sub(u.sampledAt))/float64(averagingTime)))
	}
	u.ratio += (sample - u.ratio) * weight
	u.samples++
	u.sampledAt = now
	if now.Sub(s.medianAt) >= medianInterval {
		m.updateMedian(now, s)
	}
}

// updateMedian computes the median of a service again.
func (m *Model) updateMedian(now time.Time, s *service) {
	s.medianAt = now
	m.scratch = m.scratch[:0]
	for _, u := range s.members {
		m.scratch = append(m.scratch, u.ratio)
	}
	if n := len(m.scratch); n > 0 {
		slices.Sort(m.scratch)
		s.median = max((m.scratch[(n-1)/2]+m.scratch[n/2])/2, 1.0/maxRelative)
	}
}

// longTerm returns the long-term ratio, closer to the median the longer ago the last sample is.
func (u *upstream) longTerm(now time.Time) (ratio float64) {
	median := u.service.median
	if u.sampledAt.IsZero() {
		return median
	}
	relative := min(max(u.ratio/median, 1.0/maxRelative), maxRelative)
	if idle := now.Sub(u.sampledAt); idle > idleDelay {
		relative = 1 + (relative-1)*math.Exp2(-float64(idle-idleDelay)/float64(idleHalfLife))
	}
	return median * relative
}

// present returns the stated slowdown, closer to none the longer ago it was stated.
func (u *upstream) present(now time.Time) (slowdown float64) {
	if u.slowdown == 1 {
		return 1
	}
	return 1 + (u.slowdown-1)*u.service.persistence.left(now.Sub(u.reportedAt))
}

func (m *Model) forget(id ident.UpstreamID) {
	u, known := m.upstreams[id]
	if !known {
		return
	}
	u.setStated(false)
	u.service.members = slices.DeleteFunc(u.service.members, func(o *upstream) bool { return o == u })
	delete(m.upstreams, id)
}
