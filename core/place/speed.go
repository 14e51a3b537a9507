package place

import (
	"time"

	"cicadavalve/core/ident"
)

const (
	// firstPerToken and firstFixed are the speed of an engine assumed before any answer: that of a
	// mid-size model on one accelerator, in time per prompt token and time to a first token besides.
	firstPerToken = 12 * time.Microsecond
	firstFixed    = 40 * time.Millisecond
	// firstService is the time of a plain call assumed before any answer.
	firstService = 50 * time.Millisecond
	// leastPerToken and mostPerToken bound what is learned.
	leastPerToken = time.Microsecond
	mostPerToken  = time.Millisecond
	// learnTokens is the work above which an answer tells of the time per token, in tokens.
	learnTokens = 3000
	// learnShare is the weight of one answer in the averages of a service, upstreamShare in those of an upstream.
	learnShare    = 0.02
	upstreamShare = 0.1
	// mostSlow bounds how slow an upstream is taken to be against its service.
	mostSlow = 30
)

// speed is what is learned of a service.
type speed struct {
	// perToken and fixed describe the first token of an idle engine.
	perToken, fixed float64
	// call is the time of a plain call, in ns.
	call float64
	// bad is the share of failed or broken answers.
	bad float64
}

// pace is what is learned of one upstream.
type pace struct {
	// slow is how much longer than expected its first bytes take.
	slow float64
	// bad is the share of failed or broken answers.
	bad float64
	at  time.Time
}

func newSpeed() *speed {
	return &speed{perToken: float64(firstPerToken), fixed: float64(firstFixed), call: float64(firstService)}
}

func mix(old *float64, sample, share float64) { *old += (sample - *old) * share }

// first is the expected time to a first token behind so many tokens.
func (s *speed) first(tokens int) float64 { return s.fixed + s.perToken*float64(tokens) }

// learnFirst takes in the time to a first token behind so many tokens.
func (s *speed) learnFirst(elapsed time.Duration, tokens int) {
	e := float64(elapsed)
	if tokens < learnTokens {
		// Only answers near or under the average speak of an idle engine.
		mix(&s.fixed, min(max(e-s.perToken*float64(tokens), 0), 2*s.fixed), learnShare)
		return
	}
	sample := max(e-s.fixed, 0) / float64(tokens)
	sample = min(max(sample, float64(leastPerToken)), float64(mostPerToken), 2*s.perToken)
	mix(&s.perToken, sample, learnShare)
}

// learnCall takes in the time of a plain call.
func (s *speed) learnCall(elapsed time.Duration) {
	mix(&s.call, min(float64(elapsed), 4*s.call), learnShare)
}

func (m *Model) speed(service ident.ServiceName) *speed {
	s, ok := m.speeds[service]
	if !ok {
		s = newSpeed()
		m.speeds[service] = s
	}
	return s
}

func (m *Model) pace(upstream ident.UpstreamID) *pace {
	p, ok := m.paces[upstream]
	if !ok {
		p = &pace{slow: 1}
		m.paces[upstream] = p
	}
	return p
}

// fade lets old judgements of an upstream that got little work weaken, so that it is tried again.
func (p *pace) fade(now time.Time) {
	if !p.at.IsZero() {
		if idle := now.Sub(p.at); idle > fadeAfter {
			left := 1 / (1 + float64(idle-fadeAfter)/float64(fadeTime))
			p.slow, p.bad = 1+(p.slow-1)*left, p.bad*left
			p.at = now
		}
	}
}

// fadeAfter is how long a judgement stands without news, fadeTime how long until it is halved then.
const (
	fadeAfter = time.Second
	fadeTime  = 2 * time.Second
)

func (p *pace) learn(now time.Time, slow float64) {
	mix(&p.slow, min(max(slow, 0.5), mostSlow), upstreamShare)
	p.at = now
}

func (p *pace) judge(now time.Time, bad bool) {
	sample := 0.0
	if bad {
		sample = 1
	}
	mix(&p.bad, sample, upstreamShare)
	p.at = now
}
