package sched

import "time"

const (
	// firstPrefill and firstDecode are the times of a token that count before any was seen.
	firstPrefill = 100 * time.Microsecond
	firstDecode  = 50 * time.Millisecond
	// leastPrompt is the least prompt tokens whose time tells a prefill rate.
	leastPrompt = 512
	// paceWeight is the weight of a new time, as a divisor.
	paceWeight = 4
)

// pace is how fast the upstreams of one pool have been of late, as moving means.
type pace struct {
	// prefill is the time of a prompt token from sending to the first token, divided among the tokens that
	// this entry had queued; the work of other entries makes it longer. decode is the time between
	// tokens. Both are above zero.
	prefill, decode time.Duration
	// seen is true once a first token told prefill.
	seen bool
}

func newPace() *pace { return &pace{prefill: firstPrefill, decode: firstDecode} }

// paceOf is the pace of the upstreams that serve a request.
func (m *Model) paceOf(r *request) *pace {
	p, known := m.paces[r.poolKey()]
	if !known {
		p = newPace()
		m.paces[r.poolKey()] = p
	}
	return p
}

// sawFirst learns from a first token, or from its absence, some time after so many prompt tokens were queued.
func (p *pace) sawFirst(queued int, took time.Duration) {
	if queued >= leastPrompt {
		p.prefill, p.seen = mix(p.prefill, took/time.Duration(queued)), true
	}
}

// sawEnd learns from the end of an answer some time after its first token.
func (p *pace) sawEnd(tokens int, took time.Duration) {
	if tokens > 1 {
		p.decode = mix(p.decode, took/time.Duration(tokens))
	}
}

func mix(old, seen time.Duration) time.Duration {
	return max(1, old+(seen-old)/paceWeight)
}

// first is the expected time to the first token behind so many prompt tokens.
func (p *pace) first(queued int) time.Duration { return time.Duration(queued) * p.prefill }

// rest is the expected time of an answer after its first token.
func (p *pace) rest(r *request) time.Duration {
	return time.Duration(r.MaxTokens-r.delivered) * p.decode
}

// whole is the expected time of a request on an idle upstream that holds nothing of it.
func (p *pace) whole(r *request) time.Duration { return p.first(r.PromptTokens) + p.rest(r) }
