package load

import "cicadavalve/core/ident"

// Origin is what a prompt's first token had to be computed from.
type Origin string

// The origins.
const (
	// OriginNew is a prompt that was never sent before.
	OriginNew Origin = "new"
	// OriginKept is a prompt that came back and was found kept for the most part.
	OriginKept Origin = "kept"
	// OriginRecomputed is a prompt that came back and was not.
	OriginRecomputed Origin = "recomputed"
)

// OriginGroup is what the prompts of one model and origin saw.
type OriginGroup struct {
	Model      ident.ModelName `json:"model"`
	Origin     Origin          `json:"origin"`
	FirstToken Quantiles       `json:"first_token"`
}

type originKey struct {
	model  ident.ModelName
	origin Origin
}

// origin tells what an answer's prompt was computed from.
func (o outcome) origin() Origin {
	switch {
	case !o.item.returning:
		return OriginNew
	case 2*o.cached >= o.prompt:
		return OriginKept
	}
	return OriginRecomputed
}

func (r *Report) addOrigin(o outcome) {
	k := originKey{o.item.stream.Model, o.origin()}
	if r.origins[k] == nil {
		r.origins[k] = newHistogram()
	}
	_ = r.origins[k].RecordValue(o.first.Microseconds())
}

// closeOrigins lists the origins of each model in order.
func (r *Report) closeOrigins() {
	for _, s := range r.preset.Streams {
		for _, origin := range []Origin{OriginNew, OriginKept, OriginRecomputed} {
			if h := r.origins[originKey{s.Model, origin}]; h != nil {
				r.Origins = append(r.Origins, OriginGroup{s.Model, origin, quantiles(h)})
			}
		}
	}
}
