package cache

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/roll"
)

// estimates are what transfers and attempts have told of costs.
type estimates struct {
	// prefill is the prompt tokens a second by model.
	prefill map[ident.ModelName]float64
	// blockBytes is the size of a block on a link.
	blockBytes float64
	// hits is the share of lookups that found a context that this entry did not export.
	hits float64
	// lookup is the time of reading a manifest.
	lookup time.Duration
}

const (
	// firstHits is the share of hits before any lookup; it never falls below leastHits, so that
	// entries notice when others begin to export.
	firstHits   = 0.5
	leastHits   = 0.05
	firstLookup = 2 * time.Millisecond
	// mostModels bounds the models whose rate is remembered.
	mostModels = 1024
	// slowSmoothing is the weight of what was seen before for figures that vary much.
	slowSmoothing = 16
)

func newEstimates() estimates {
	return estimates{
		prefill: map[ident.ModelName]float64{}, blockBytes: firstBlockBytes, hits: firstHits, lookup: firstLookup,
	}
}

// prefilled learns how fast a model computes prompts, the wait in the engine included.
func (e *estimates) prefilled(msg roll.AttemptMsg) {
	if msg.Failed || msg.Computed < BlockTokens || msg.First <= 0 {
		return
	}
	seen := float64(msg.Computed) / msg.First.Seconds()
	rate, known := e.prefill[msg.Model]
	switch {
	case known:
		e.prefill[msg.Model] = rate + (seen-rate)/slowSmoothing
	case len(e.prefill) < mostModels:
		e.prefill[msg.Model] = seen
	}
}

// prefillTime is how long a model takes for so many tokens.
func (e *estimates) prefillTime(model ident.ModelName, tokens int) time.Duration {
	rate, known := e.prefill[model]
	if !known {
		rate = firstPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

func (e *estimates) moved(blocks int, bytes int64) {
	if blocks > 0 && bytes > 0 {
		e.blockBytes += (float64(bytes)/float64(blocks) - e.blockBytes) / smoothing
	}
}

func (e *estimates) lookedUp(took time.Duration, unknown, hit bool) {
	if took > 0 {
		e.lookup += (took - e.lookup) / slowSmoothing
	}
	if !unknown {
		return
	}
	seen := 0.0
	if hit {
		seen = 1
	}
	e.hits = max(leastHits, e.hits+(seen-e.hits)/slowSmoothing)
}
