package cache

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/roll"
)

// estimates holds the costs observed in transfers and attempts.
type estimates struct {
	// prefillRate is the speed of prefill by model, in prompt tokens a second.
	prefillRate map[ident.ModelName]float64
	// blockBytes is the average size of a block on a link.
	blockBytes float64
	// hitRate is the share of hits among the lookups of contexts that this entry did not know to be stored.
	hitRate float64
	// lookupDuration is the average time to read a manifest.
	lookupDuration time.Duration
}

const (
	// initialHitRate is assumed before any lookup. The rate never falls below minHitRate, so that entries
	// notice when others begin to export.
	initialHitRate        = 0.5
	minHitRate            = 0.05
	initialLookupDuration = 2 * time.Millisecond
	// maxModels bounds the models whose prefill rate is stored.
	maxModels = 1024
	// slowSmoothingFactor is the divisor of each new observation for values that vary a lot; see smoothingFactor.
	slowSmoothingFactor = 16
)

func newEstimates() estimates {
	return estimates{
		prefillRate: map[ident.ModelName]float64{}, blockBytes: initialBlockBytes, hitRate: initialHitRate,
		lookupDuration: initialLookupDuration,
	}
}

// observePrefill updates the prefill rate of a model; the wait in the engine is included.
func (e *estimates) observePrefill(msg roll.AttemptMsg) {
	if msg.Failed || msg.Computed < BlockTokens || msg.First <= 0 {
		return
	}
	observed := float64(msg.Computed) / msg.First.Seconds()
	rate, known := e.prefillRate[msg.Model]
	switch {
	case known:
		e.prefillRate[msg.Model] = rate + (observed-rate)/slowSmoothingFactor
	case len(e.prefillRate) < maxModels:
		e.prefillRate[msg.Model] = observed
	}
}

// prefillDuration returns how long a model is expected to take for a number of prompt tokens.
func (e *estimates) prefillDuration(model ident.ModelName, tokens int) time.Duration {
	rate, known := e.prefillRate[model]
	if !known {
		rate = initialPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

func (e *estimates) observeBlockBytes(blocks int, bytes int64) {
	if blocks > 0 && bytes > 0 {
		e.blockBytes += (float64(bytes)/float64(blocks) - e.blockBytes) / smoothingFactor
	}
}

func (e *estimates) observeLookup(took time.Duration, countHit, hit bool) {
	if took > 0 {
		e.lookupDuration += (took - e.lookupDuration) / slowSmoothingFactor
	}
	if !countHit {
		return
	}
	observed := 0.0
	if hit {
		observed = 1
	}
	e.hitRate = max(minHitRate, e.hitRate+(observed-e.hitRate)/slowSmoothingFactor)
}
