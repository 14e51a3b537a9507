package ramp

import (
	"math/rand/v2"
	"time"

	"cicadavalve/core/ident"
)

const (
	// testShare is the part of the allowed share that a release gets while it is on test. The rest is left for the steps.
	testShare = 0.55
	// testSlack is the part of the allowed number that the entries use together while a release is on test, so that
	// services with few requests are tested too.
	testSlack = 0.3
	// loadShare and loadSlack are the parts that the release may have got at the end of loadStep.
	loadShare = 0.85
	loadSlack = 0.6
	// slackPeriod is the part of the time of a roll-out over which that number is used.
	slackPeriod = 0.5
	// maxCredit bounds the samples that a route may catch up on after its upstreams were not available.
	maxCredit = 2
	// maxRoutes bounds the routes of a service that are counted separately.
	maxRoutes = 128
	// unknownHold is how long a release without an order gets no requests after it was first listed beside another: the
	// order may be read later than the list.
	unknownHold = 2 * time.Second
)

// share decides which requests a release on test gets from this entry.
type share struct {
	// total counts the requests since the order, sampled those sent to the new release.
	total, sampled int
	// credit holds the samples that are due on each route.
	credit map[string]float64
	// round is added to what the entry may send before the fraction is cut off. It is random, so that the sum over many
	// entries with few requests each is right.
	round float64
}

func newShare(rng *rand.Rand) share { return share{credit: map[string]float64{}, round: rng.Float64()} }

// Pick reports whether a new request is to be sent to the release that is being rolled out.
func (m *Model) Pick(now time.Time, name ident.ServiceName, route string) (sampled bool) {
	s, known := m.services[name]
	if !known || s.run == nil || s.run.verdict != Undecided || m.recorded == nil {
		return false
	}
	r := s.run
	r.share.total++
	spent, entries := float64(r.share.sampled+1)-r.share.round, float64(max(m.entries, 1))
	if r.step == loadStep {
		return spent <= m.limits.Share*loadShare*float64(r.share.total)+m.limits.Slack*loadSlack/entries
	}
	if r.step > loadStep {
		return m.rng.Float64() < steps[r.step].share
	}
	slack := m.limits.Slack * testSlack / entries
	if spent <= slack*min(1, r.age(now).Seconds()/(slackPeriod*max(r.within.Seconds(), 1))) {
		return true
	}
	part := m.limits.Share * testShare
	credit, counted := r.share.credit[route]
	if !counted {
		if len(r.share.credit) >= maxRoutes {
			return false
		}
		credit = m.rng.Float64()
	}
	credit = min(credit+part, maxCredit)
	r.share.credit[route] = credit
	return credit >= 1 && spent <= part*float64(r.share.total)+slack
}

// charge counts a request that was sent to the new release.
func (s *share) charge(route string) {
	s.sampled++
	if _, counted := s.credit[route]; counted {
		s.credit[route] = max(s.credit[route]-1, 0)
	}
}

// Again reports whether a request that is sent once more is to go to the release that is being rolled out.
func (m *Model) Again(name ident.ServiceName) (sampled bool) {
	s, known := m.services[name]
	return known && s.run != nil && s.run.verdict == Undecided && s.run.step == fullStep
}

// Allows reports whether upstreams of a release may get a request; sampled is what [Model.Pick] or [Model.Again] said of
// it, or false if no upstream could take it as a sample.
func (m *Model) Allows(now time.Time, name ident.ServiceName, release Release, sampled bool) bool {
	s, known := m.services[name]
	if !known {
		return true
	}
	if s.barred[release] {
		return false
	}
	r := s.run
	if r == nil {
		return !s.held(now, release)
	}
	switch {
	case r.verdict != Undecided:
		return true
	case r.step == fullStep:
		return r.isNew(release) || !sampled
	}
	return r.isNew(release) == sampled
}

// Gathers reports whether samples of a service are to meet on few upstreams, so that these are under load as the old ones,
// and whether also on busy ones, so that they are under more.
func (m *Model) Gathers(name ident.ServiceName) (idle, busy bool) {
	s, known := m.services[name]
	if !known || s.run == nil || s.run.verdict != Undecided {
		return false, false
	}
	return s.run.step <= loadStep, s.run.step == loadStep
}

// Moved reports whether all requests of a service go to the new release, which is not judged yet.
func (m *Model) Moved(name ident.ServiceName) bool { return m.Again(name) }

// See notes that an upstream of a release is listed, and when it started.
func (m *Model) See(now time.Time, name ident.ServiceName, release Release, born time.Time) {
	s := m.service(name)
	if first, known := s.born[release]; !known || born.Before(first) {
		s.born[release] = born
		s.run.estimate(now, s.born)
	}
	if _, known := s.listed[release]; known {
		return
	}
	if len(s.listed) == 0 {
		now = time.Time{}
	}
	s.listed[release] = now
}

// held reports whether a release that appeared without an order has to wait for one.
func (s *service) held(now time.Time, release Release) bool {
	since, known := s.listed[release]
	return known && !since.IsZero() && now.Sub(since) < unknownHold
}
