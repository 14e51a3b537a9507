package load

import "cicadavalve/core/ident"

// Origin classifies a prompt by how much of it an engine had cached.
type Origin string

// The origins of prompts.
const (
	// OriginNew is a prompt sent for the first time.
	OriginNew Origin = "new"
	// OriginCached is a returning prompt of which at least half of the tokens were cached.
	OriginCached Origin = "kept"
	// OriginRecomputed is a returning prompt of which less than half was cached.
	OriginRecomputed Origin = "recomputed"
)

// OriginGroup has the times to first token of the prompts of one model and origin.
type OriginGroup struct {
	Model      ident.ModelName `json:"model"`
	Origin     Origin          `json:"origin"`
	FirstToken Quantiles       `json:"first_token"`
}

type originKey struct {
	model  ident.ModelName
	origin Origin
}

// promptOrigin returns the origin of the request's prompt.
func (o outcome) promptOrigin() Origin {
	switch {
	case !o.item.returning:
		return OriginNew
	case 2*o.cachedTokens >= o.promptTokens:
		return OriginCached
	}
	return OriginRecomputed
}

func (r *Report) addOrigin(o outcome) {
	k := originKey{o.item.stream.Model, o.promptOrigin()}
	if r.origins[k] == nil {
		r.origins[k] = newHistogram()
	}
	_ = r.origins[k].RecordValue(o.firstToken.Microseconds())
}

// addOriginGroups fills in Origins, ordered by stream and origin.
func (r *Report) addOriginGroups() {
	for _, s := range r.preset.Streams {
		for _, origin := range []Origin{OriginNew, OriginCached, OriginRecomputed} {
			if h := r.origins[originKey{s.Model, origin}]; h != nil {
				r.Origins = append(r.Origins, OriginGroup{s.Model, origin, quantiles(h)})
			}
		}
	}
}
