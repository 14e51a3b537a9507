package place

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/lane"
	"cicadavalve/core/route"
	"cicadavalve/core/times"
)

const (
	// longPrefillShare is the fraction of the longest pause that a service's streams may have from which on the prefill of a prompt counts as
	// long.
	longPrefillShare = 0.2
	// otherZoneDivisor reduces the rank of engines of other availability zones for an entry's long prompts: those whose parts are transferred
	// take twice as long there.
	otherZoneDivisor = 4
)

// WithLanes sets the model that keeps long prompts on engines of their own.
func WithLanes(l *lane.Model) Option {
	return func(m *Model) { m.lanes = l }
}

// PauseMsg reports the longest pause between two events of a stream that has ended.
type PauseMsg struct {
	Ticket Ticket
	Pause  time.Duration
}

// observePause records whether a stream had too long a pause.
func (m *Model) observePause(now time.Time, msg PauseMsg) {
	s, ok := m.sent[msg.Ticket]
	if !ok || m.lanes == nil || s.need.MaxGap <= 0 {
		return
	}
	m.lanes.ObserveStream(now, s.need.Service, msg.Pause > s.need.MaxGap)
}

// isLong reports whether the prefill of a whole prompt takes long beside the pauses that the service's streams may have. Parts that are cached count:
// where they are is not known for certain.
func (m *Model) isLong(need *Need) bool {
	gap := m.gaps[need.Service]
	return gap > 0 && m.serviceStats(need.Service).perToken*float64(need.Tokens()) >= longPrefillShare*float64(gap)
}

// notePrefill records the prefill work of a prompt that is sent.
func (m *Model) notePrefill(now time.Time, need *Need, o *option) {
	if m.lanes != nil && len(need.Chain) > 0 {
		m.lanes.Sent(now, need.Service, m.isLong(need), times.Duration(m.serviceStats(need.Service).perToken*float64(o.missing)))
	}
}

// lane restricts the engines that a prompt may go to, nil if they are not divided. It plans anew from time to time.
func (m *Model) lane(find *finder) *laneFilter {
	need := find.need
	if m.lanes == nil || need.anyLane || len(need.Chain) == 0 || find.service.Engine == nil || !m.lanes.Divides(find.now, need.Service) {
		return nil
	}
	if m.lanes.Due(find.now, need.Service) {
		var hashes []uint64
		m.fleet.Each(find.now, need.Service, func(u *conf.Upstream, _ fleet.Status) { hashes = append(hashes, route.HashID(u.ID)) })
		m.lanes.Plan(find.now, need.Service, hashes)
	}
	return &laneFilter{m: m, service: need.Service, long: m.isLong(need), self: route.HashID(ident.UpstreamID(m.members.Self))}
}

// laneFilter is the part of a service's engines that a prompt may go to.
type laneFilter struct {
	m       *Model
	service ident.ServiceName
	long    bool
	// self is the hash of this entry.
	self uint64
	// ranked holds the engines that may take a long prompt.
	ranked []rankedEngine
}

type rankedEngine struct {
	position int
	weight   uint64
}

// has reports whether an engine may take the prompt. A nil filter has all.
func (f *laneFilter) has(u *conf.Upstream) bool {
	return f == nil || f.m.lanes.Prefers(f.service, route.HashID(u.ID), f.long)
}

// rank adds an engine for a long prompt. Each entry prefers engines of its own, since it knows what it has sent there itself: reports of
// others are older than a prefill lasts.
func (f *laneFilter) rank(position int, u *conf.Upstream) {
	weight := route.Weight(f.self, route.HashID(u.ID))
	if u.Zone != f.m.members.Zone {
		weight /= otherZoneDivisor
	}
	f.ranked = append(f.ranked, rankedEngine{position, weight})
}

// positions returns those of the open engines for the prompt: the ones that rank first for a long one, at most count, else all.
func (f *laneFilter) positions(open []int, count int) (positions []int) {
	if !f.long {
		return open
	}
	slices.SortFunc(f.ranked, func(a, b rankedEngine) int { return cmp.Compare(b.weight, a.weight) })
	for _, e := range f.ranked[:min(count, len(f.ranked))] {
		positions = append(positions, e.position)
	}
	return positions
}

// chooseLane is like chooseZone for a request whose engines may be divided: if its part has no engine in time, all are considered.
func (m *Model) chooseLane(now time.Time, need *Need, avoid []ident.UpstreamID, only ident.UpstreamID) (best *option, tally Tally, ahead outlook) {
	best, tally, ahead = m.chooseZone(now, need, avoid, only)
	if only != "" || m.lanes == nil || !m.lanes.Divides(now, need.Service) || best != nil && !m.late(now, need, best) {
		return best, tally, ahead
	}
	wider := *need
	wider.anyLane = true
	return m.chooseZone(now, &wider, avoid, only)
}
