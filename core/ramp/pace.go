package ramp

import (
	"slices"
	"time"
)

const (
	// slowFactor is how many times the median of the old release an answer takes to count as slow.
	slowFactor = 2.0
	// loadedFactor is by how much more answers of an upstream with much load may take.
	loadedFactor = 1.75
	// minExcess is how much longer than that median it takes at least, as a part of what was expected.
	minExcess = 0.5
	// minPace is the number of answers from which there is a median.
	minPace = 8
	// paceSize is the number of answers that are kept.
	paceSize = 48
	// paceRefresh is the number of answers after which the median is computed again.
	paceRefresh = 6
)

// speed holds how long the last answers took, relative to what was expected or in ns per token.
type speed struct {
	last   []float64
	next   int
	fresh  int
	median float64
}

func (s *speed) add(v float64) {
	if len(s.last) < paceSize {
		s.last = append(s.last, v)
	} else {
		s.last[s.next] = v
		s.next = (s.next + 1) % paceSize
	}
	if s.fresh++; s.fresh < paceRefresh && s.median > 0 || len(s.last) < minPace {
		return
	}
	s.fresh = 0
	sorted := slices.Sorted(slices.Values(s.last))
	s.median = sorted[len(sorted)/2]
}

// paceKey separates times that aren't comparable. The empty route covers all routes.
type paceKey struct {
	route string
	whole bool
}

// pace holds how fast the old release of a service answers at this entry.
type pace struct{ speeds map[paceKey]*speed }

func newPace() pace { return pace{speeds: map[paceKey]*speed{}} }

// add adds an answer of the old release.
func (p *pace) add(route string, whole bool, v float64) {
	for _, key := range []paceKey{{route, whole}, {"", whole}} {
		s, known := p.speeds[key]
		if !known {
			if len(p.speeds) >= 2*maxRoutes {
				continue
			}
			s = &speed{}
			p.speeds[key] = s
		}
		s.add(v)
	}
}

// limit returns from which value on an answer is slow; ok is false if too little is known.
func (p *pace) limit(route string, whole bool) (limit float64, ok bool) {
	s, known := p.speeds[paceKey{route, whole}]
	if !known || s.median == 0 {
		if s, known = p.speeds[paceKey{"", whole}]; !known || s.median == 0 {
			return 0, false
		}
	}
	limit = slowFactor * s.median
	if !whole {
		limit = max(limit, s.median+minExcess)
	}
	return limit, true
}

// limit returns from which value on the attempt is slow; ok is false if too little is known.
func (a *attempt) limit(s *service, whole bool) (limit float64, ok bool) {
	limit, ok = s.pace.limit(a.Route, whole)
	if a.loaded {
		limit *= loadedFactor
	}
	return limit, ok
}

// firstPace is the time to the first byte relative to what was expected.
func (a *attempt) firstPace(now time.Time) float64 {
	return float64(now.Sub(a.sentAt)) / float64(max(a.Expected, time.Millisecond))
}

// wholePace is the whole time for each token of the answer, in ns; ok is false if their number is not known.
func (a *attempt) wholePace(now time.Time) (pace float64, ok bool) {
	if a.Output <= 0 {
		return 0, false
	}
	return float64(now.Sub(a.sentAt)) / float64(a.Output), true
}
