package share

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/times"
)

const (
	// minSpacing is the minimum time between two slots of one entry. Callers are sent times in whole milliseconds.
	minSpacing = 2 * time.Millisecond
	// squeeze is how much closer than the freed capacity allows slots may be: the bound is twice its rate.
	squeeze = 2
	// earlyPart is the part of the window in which an organisation that is not above its share gets its slot, if need be by squeezing it in.
	earlyPart = 0.5
	// maxOrgSlots is the part of the slots beyond which an organisation gets later ones: its callers come back more often than stated.
	maxOrgSlots = 0.5
	// fewSlots is the number of slots of one organisation for which that does not hold.
	fewSlots = 2
)

// slot is a time at which a refused caller is to return.
type slot struct {
	at  time.Time
	org ident.OrgID
}

// service holds what is forecast of one service.
type service struct {
	// served counts the answers that began at this entry, with the time constant rateMemory; others is the sum of the other entries'
	// rates, in requests a second.
	served decaying
	others float64
	// prior is what the upstreams in use can serve, in requests a second.
	prior float64
	// askedSince is when the forecast began to be asked for without a long pause, askedAt when it was asked for last.
	askedSince, askedAt time.Time
	// slots are those to come, the earliest first.
	slots []slot
}

func (m *Model) service(name ident.ServiceName) *service {
	s, ok := m.services[name]
	if !ok {
		s = &service{}
		m.services[name] = s
	}
	return s
}

// SetCapacity sets what the upstreams of a service that are in use can serve, in requests a second. It is the forecast until rates
// have been measured under load.
func (m *Model) SetCapacity(name ident.ServiceName, perSecond float64) {
	m.service(name).prior = max(perSecond, 0)
}

const (
	// minRate is the part of the upstreams' capacity below which the forecast doesn't fall: after a time in which nothing was served the
	// measured rate is low for a while.
	minRate = 0.1
	// askPause is the time without a question after which the measured rate is that of the requests and not what can be served.
	askPause = 2 * rateMemory
)

// Rate returns the rate at which capacity of a service is forecast to become free for this entry, in requests a second: of half of the
// fleet's rate an equal part, of the other half as much as this entry had of it, so that the parts of all entries add up to the fleet's
// rate. It is to be asked for only while requests wait or are refused: the measured rate is then what the service can do.
func (m *Model) Rate(now time.Time, name ident.ServiceName) (perSecond float64) {
	s := m.service(name)
	if now.Sub(s.askedAt) > askPause {
		s.askedSince = now
	}
	s.askedAt = now
	own := s.served.value(now, rateMemory) / rateMemory.Seconds()
	fleet := own + max(s.others, 0)
	lack := decaying{sum: max(s.prior-fleet, 0), at: s.askedSince}
	missing := lack.value(now, rateMemory) / float64(m.entries)
	return max((own+fleet/float64(m.entries))/2+missing, minRate*s.prior/float64(m.entries))
}

// Return is a refused caller of a service that may come back within a window.
type Return struct {
	Org     ident.OrgID
	Service ident.ServiceName
	// Earliest and Latest bound the time until it comes back. Earliest is reduced if it is above Latest.
	Earliest, Latest time.Duration
}

// Book returns after which time a refused caller is to come back. Slots follow each other at the rate at which capacity becomes free. If there are
// more callers than that until the latest time, they are up to twice as close, and beyond that in the largest gap: no two are at the same moment.
// Organisations above their share get slots after all others.
func (m *Model) Book(now time.Time, r Return) (after time.Duration) {
	s := m.service(r.Service)
	s.slots = slices.DeleteFunc(s.slots, func(b slot) bool { return b.at.Before(now) })
	earliest, latest := now.Add(max(min(r.Earliest, r.Latest/2), 0)), now.Add(max(r.Latest, 0))
	at, found := time.Time{}, false
	if rate := m.Rate(now, r.Service); rate > 0 {
		spacing := max(times.Duration(float64(time.Second)/rate), minSpacing)
		// The phase differs between entries, which refuse callers at the same moments.
		phase := time.Duration(m.rng.Int64N(int64(min(spacing, max(latest.Sub(earliest), 1)))))
		half := earliest.Add(time.Duration(earlyPart * float64(latest.Sub(earliest))))
		if m.returnsLast(now, s, r.Org) {
			at, found = s.last(earliest.Add(phase), latest, spacing)
		} else {
			at, found = s.fit(earliest, phase, half, spacing)
		}
		if !found {
			at, found = s.fit(earliest, 0, latest, max(spacing/squeeze, minSpacing))
		}
	}
	if !found {
		at = s.widest(earliest, latest)
	}
	for m.taken(at) {
		at = at.Add(minSpacing)
	}
	s.insert(slot{at, r.Org})
	return at.Sub(now)
}

// taken reports whether a caller of any service returns at about a time.
func (m *Model) taken(at time.Time) bool {
	for _, s := range m.services {
		i, _ := slices.BinarySearchFunc(s.slots, at.Add(-minSpacing/2), func(a slot, t time.Time) int { return a.at.Compare(t) })
		if i < len(s.slots) && s.slots[i].at.Sub(at) <= minSpacing/2 {
			return true
		}
	}
	return false
}

// returnsLast reports whether an organisation gets slots after those of all others.
func (m *Model) returnsLast(now time.Time, s *service, org ident.OrgID) bool {
	own := 0
	for _, b := range s.slots {
		if b.org == org {
			own++
		}
	}
	return m.Steps(now, org) > 0 || own > fewSlots && float64(own) > maxOrgSlots*float64(len(s.slots)) && own < len(s.slots)
}

// last returns a time after all slots, earliest if there are none near it.
func (s *service) last(earliest, latest time.Time, spacing time.Duration) (at time.Time, found bool) {
	at = earliest
	if n := len(s.slots); n > 0 && s.slots[n-1].at.Add(spacing).After(at) {
		at = s.slots[n-1].at.Add(spacing)
	}
	return at, !at.After(latest)
}

// fit returns the first time from earliest to latest that is at least spacing away from all slots. If there are no slots near, it is later
// by the phase.
func (s *service) fit(earliest time.Time, phase time.Duration, latest time.Time, spacing time.Duration) (at time.Time, found bool) {
	at = earliest.Add(phase)
	for _, b := range s.slots {
		if b.at.Sub(at) >= spacing {
			break
		}
		if next := b.at.Add(spacing); next.After(at) {
			at = next
		}
	}
	return at, !at.After(latest)
}

// widest returns the middle of the widest gap between slots, earliest and latest. If the gaps are too small, it is the first time
// after latest that differs from all slots.
func (s *service) widest(earliest, latest time.Time) (at time.Time) {
	from, width := earliest, time.Duration(-1)
	previous := earliest
	for i := 0; i <= len(s.slots); i++ {
		next := latest
		if i < len(s.slots) {
			next = s.slots[i].at
		}
		if next.Before(earliest) {
			continue
		}
		if next.After(latest) {
			next = latest
		}
		if gap := next.Sub(previous); gap > width {
			from, width = previous, gap
		}
		previous = next
	}
	if width >= 2*minSpacing {
		return from.Add(width / 2)
	}
	at, _ = s.fit(latest, 0, latest, minSpacing)
	return at
}

// insert adds a slot in order, up to a number that bounds the memory.
func (s *service) insert(b slot) {
	if len(s.slots) >= maxSlots {
		s.slots = s.slots[1:]
	}
	i, _ := slices.BinarySearchFunc(s.slots, b, func(a, b slot) int { return a.at.Compare(b.at) })
	s.slots = slices.Insert(s.slots, i, b)
}

// maxSlots bounds the slots of a service; no entry refuses that many callers within a third of their time.
const maxSlots = 4096
