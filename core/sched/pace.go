package sched

import "time"

const (
	// initialPrefill and initialDecode are the times per token assumed before the first measurement.
	initialPrefill = 100 * time.Microsecond
	initialDecode  = 50 * time.Millisecond
	// minPromptTokens is the smallest backlog, in prompt tokens, that gives a usable prefill measurement.
	minPromptTokens = 512
	// paceDivisor weights a new sample in the moving averages by 1/paceDivisor.
	paceDivisor = 4
)

// pace holds exponential moving averages of the speed of one pool's upstreams.
type pace struct {
	// prefill is the time from sending to the first token, per prompt token in this entry's backlog; load from
	// other entries increases it. decode is the time between tokens. Both are positive.
	prefill, decode time.Duration
	// measured is true once prefill has a sample.
	measured bool
}

func newPace() *pace { return &pace{prefill: initialPrefill, decode: initialDecode} }

// paceOf returns the pace of the pool that serves a request.
func (m *Model) paceOf(r *request) *pace {
	p, known := m.paces[r.poolKey()]
	if !known {
		p = newPace()
		m.paces[r.poolKey()] = p
	}
	return p
}

// observeFirstToken updates prefill from the time that a first token took, or was awaited in vain, behind a
// backlog of prompt tokens. Small backlogs are ignored.
func (p *pace) observeFirstToken(backlog int, elapsed time.Duration) {
	if backlog >= minPromptTokens {
		p.prefill, p.measured = movingAverage(p.prefill, elapsed/time.Duration(backlog)), true
	}
}

// observeEnd updates decode from the number of tokens and the time from the first one to the end of an answer.
func (p *pace) observeEnd(tokens int, elapsed time.Duration) {
	if tokens > 1 {
		p.decode = movingAverage(p.decode, elapsed/time.Duration(tokens))
	}
}

// movingAverage returns the average updated by a sample; the result is at least 1 ns.
func movingAverage(average, sample time.Duration) time.Duration {
	return max(1, average+(sample-average)/paceDivisor)
}

// firstTokenDelay returns the expected time to the first token behind a backlog of prompt tokens.
func (p *pace) firstTokenDelay(backlog int) time.Duration { return time.Duration(backlog) * p.prefill }

// decodeDelay returns the expected time from the first token to the end of an answer.
func (p *pace) decodeDelay(r *request) time.Duration {
	return time.Duration(r.MaxTokens-r.delivered) * p.decode
}

// totalDelay returns the expected duration of a request on an idle upstream without a cached prefix.
func (p *pace) totalDelay(r *request) time.Duration {
	return p.firstTokenDelay(r.PromptTokens) + p.decodeDelay(r)
}
