package place

import (
	"time"

	"cicadavalve/core/ident"
)

const (
	// initialPerToken and initialFixed are the prefill time per prompt token and the fixed part of the time to the
	// first token assumed before any answer: those of a mid-size model on one accelerator.
	initialPerToken = 12 * time.Microsecond
	initialFixed    = 40 * time.Millisecond
	// initialCall is the duration of a plain call assumed before any answer.
	initialCall = 50 * time.Millisecond
	// minPerToken and maxPerToken bound the samples of the time per token.
	minPerToken = time.Microsecond
	maxPerToken = time.Millisecond
	// minSampleTokens is the number of prefilled tokens from which on an answer is a sample of the time per token;
	// shorter ones are samples of the fixed part.
	minSampleTokens = 3000
	// serviceSmoothing and upstreamSmoothing are the weights of a new sample in the moving averages of a service and
	// of an upstream.
	serviceSmoothing  = 0.02
	upstreamSmoothing = 0.1
	// maxSlowdown bounds the samples of an upstream's slowdown.
	maxSlowdown = 30
)

// serviceStats holds the moving averages of a service.
type serviceStats struct {
	// perToken and fixed are the prefill time per prompt token and the fixed part of the time to the first token on
	// an idle engine, in ns.
	perToken, fixed float64
	// call is the duration of a plain call, in ns.
	call float64
	// usual is the number of prompt tokens that requests have to prefill.
	usual float64
	// failureRate is the fraction of failed or broken answers.
	failureRate float64
	// returnsUntil is when the last of the callers returns that were refused for the rate of requests.
	returnsUntil time.Time
}

// upstreamStats holds the moving averages of one upstream.
type upstreamStats struct {
	// slowdown is the ratio of the actual to the expected time to the first byte, without what the upstream's pace explains.
	slowdown float64
	// failureRate is the fraction of failed or broken answers.
	failureRate float64
	updatedAt   time.Time
}

func newServiceStats() *serviceStats {
	return &serviceStats{perToken: float64(initialPerToken), fixed: float64(initialFixed), call: float64(initialCall)}
}

// smooth moves an exponential moving average towards a sample of the given weight.
func smooth(average *float64, sample, weight float64) { *average += (sample - *average) * weight }

// firstByte returns the expected time to the first token after prefilling a number of tokens, in ns.
func (s *serviceStats) firstByte(tokens int) float64 { return s.fixed + s.perToken*float64(tokens) }

// observeFirstByte adds a sample of the time to the first token after prefilling a number of tokens.
func (s *serviceStats) observeFirstByte(elapsed time.Duration, tokens int) {
	e := float64(elapsed)
	if tokens < minSampleTokens {
		// Samples far above the average come from busy engines, so they are capped.
		smooth(&s.fixed, min(max(e-s.perToken*float64(tokens), 0), 2*s.fixed), serviceSmoothing)
		return
	}
	sample := max(e-s.fixed, 0) / float64(tokens)
	sample = min(max(sample, float64(minPerToken)), float64(maxPerToken), 2*s.perToken)
	smooth(&s.perToken, sample, serviceSmoothing)
}

// observeCall adds a sample of the duration of a plain call.
func (s *serviceStats) observeCall(elapsed time.Duration) {
	smooth(&s.call, min(float64(elapsed), 4*s.call), serviceSmoothing)
}

func (m *Model) serviceStats(service ident.ServiceName) *serviceStats {
	s, ok := m.services[service]
	if !ok {
		s = newServiceStats()
		m.services[service] = s
	}
	return s
}

func (m *Model) upstreamStats(upstream ident.UpstreamID) *upstreamStats {
	s, ok := m.upstreams[upstream]
	if !ok {
		s = &upstreamStats{slowdown: 1}
		m.upstreams[upstream] = s
	}
	return s
}

// decay moves the estimates of an upstream that has had no recent samples towards normal, so that it is tried again.
func (s *upstreamStats) decay(now time.Time) {
	if !s.updatedAt.IsZero() {
		if idle := now.Sub(s.updatedAt); idle > decayDelay {
			left := 1 / (1 + float64(idle-decayDelay)/float64(decayHalfLife))
			s.slowdown, s.failureRate = 1+(s.slowdown-1)*left, s.failureRate*left
			s.updatedAt = now
		}
	}
}

// decayDelay is how long estimates stay unchanged without new samples, decayHalfLife how long they then take to halve.
const (
	decayDelay    = time.Second
	decayHalfLife = 2 * time.Second
)

func (s *upstreamStats) observe(now time.Time, slowdown float64) {
	smooth(&s.slowdown, min(max(slowdown, 0.5), maxSlowdown), upstreamSmoothing)
	s.updatedAt = now
}

func (s *upstreamStats) recordOutcome(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	smooth(&s.failureRate, sample, upstreamSmoothing)
	s.updatedAt = now
}
