package abtest

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/io/fakes"
	"cicadavalve/io/load"
)

// Outcome is the result of the run of one policy.
type Outcome struct {
	Policy string `json:"policy"`
	// FirstToken and BetweenTokens are the token times of the interactive class.
	FirstToken    load.Quantiles `json:"interactive_first_token"`
	BetweenTokens load.Quantiles `json:"interactive_between_tokens"`
	// Goodput is correct answers per second. GoodputInTime excludes interactive ones whose first token was late.
	Goodput         float64 `json:"goodput_per_second"`
	GoodputInTime   float64 `json:"goodput_in_time_per_second"`
	RecomputedShare float64 `json:"recomputed_share"`
	// MaxWhileCold is the maximum number of concurrent requests on any cold engine; MaxColdRequests is the number
	// above which a cold engine crashes.
	MaxWhileCold    int `json:"most_while_cold"`
	MaxColdRequests int `json:"cold_bears"`
	// MaxWhenTurnedCold is MaxWhileCold as read right after the scenario turned engines cold. Entries are not notified,
	// so it includes the requests that these engines were already running.
	MaxWhenTurnedCold int `json:"most_when_turned_cold"`
	// StartedDrained is the number of requests started in the drained zone later than 3 s after the rule.
	StartedDrained int `json:"started_in_drained_zone"`
	// StartedBad is the number of requests started on the bad version.
	StartedBad int `json:"started_on_bad_version"`
	// Stores is the number of KV stores.
	Stores int `json:"stores"`
	// LinkBytes is the number of bytes moved over the stores' links.
	LinkBytes int64 `json:"link_bytes"`
	// ContextCounters has the entries' counters of imports, exports, and recomputations in place of an import, by name.
	// It is empty for entries in other processes.
	ContextCounters map[string]int64 `json:"kept_context,omitempty"`
	Requests        int              `json:"requests"`
	Whole           int              `json:"whole"`
	Codes           map[string]int   `json:"codes"`
	// Origins are the times to first token by model and origin of the prompt.
	Origins []load.OriginGroup `json:"origins"`
}

// Result is the result of a comparison.
type Result struct {
	Preset   string   `json:"preset"`
	Scenario Scenario `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Rate     float64  `json:"rate_per_second"`
	LengthMs int64    `json:"length_ms"`
	// InProcess is true if entries, engines and load generator share one process.
	InProcess bool      `json:"in_process"`
	Entries   int       `json:"entries"`
	Engines   int       `json:"engines"`
	Outcomes  []Outcome `json:"outcomes"`
}

func newOutcome(policy string, r *load.Report) Outcome {
	seconds := (time.Duration(r.ElapsedMs) * time.Millisecond).Seconds()
	o := Outcome{
		Policy: policy, RecomputedShare: r.RecomputedShare, Requests: r.Requests, Whole: r.Whole, Codes: r.Codes,
		Origins: r.Origins,
		Goodput: float64(r.Whole) / seconds, GoodputInTime: float64(r.InTime) / seconds,
	}
	for _, class := range r.Classes {
		if class.Class == ident.Interactive {
			o.FirstToken, o.BetweenTokens = class.FirstToken, class.BetweenTokens
		}
	}
	return o
}

// addEngineStats adds the engines' own counters.
func (o *Outcome) addEngineStats(engines []fakes.EngineStats) {
	o.MaxColdRequests = maxColdRequests
	for _, s := range engines {
		o.MaxWhileCold = max(o.MaxWhileCold, s.MaxWhileCold)
		o.StartedBad += s.Started[newVersion]
	}
}
