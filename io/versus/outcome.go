package versus

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/io/load"
	"cicadavalve/io/stand"
)

// Outcome is what one policy reached.
type Outcome struct {
	Policy string `json:"policy"`
	// FirstToken and BetweenTokens are of the interactive class.
	FirstToken    load.Quantiles `json:"interactive_first_token"`
	BetweenTokens load.Quantiles `json:"interactive_between_tokens"`
	// Goodput is whole answers a second, GoodputInTime those whose first token met the interactive target.
	Goodput         float64 `json:"goodput_per_second"`
	GoodputInTime   float64 `json:"goodput_in_time_per_second"`
	RecomputedShare float64 `json:"recomputed_share"`
	// MostWhileCold is the most requests that any cold engine ever had, ColdBears what each bears.
	MostWhileCold int `json:"most_while_cold"`
	ColdBears     int `json:"cold_bears"`
	// MostAtTurn is the most requests that any engine had when the scenario turned it cold without a word.
	MostAtTurn int `json:"most_when_turned_cold"`
	// StartedDrained counts the requests begun in the drained zone from 3 s after the rule on.
	StartedDrained int `json:"started_in_drained_zone"`
	// StartedBad counts the requests begun on the bad version.
	StartedBad int `json:"started_on_bad_version"`
	// Stores is how many KV stores there were.
	Stores int `json:"stores"`
	// LinkBytes went over the links of the stores.
	LinkBytes int64 `json:"link_bytes"`
	// Kept counts the entries' imports, exports and recomputations in their place, by cause; it is empty for
	// entries of other processes.
	Kept     map[string]int64 `json:"kept_context,omitempty"`
	Requests int              `json:"requests"`
	Whole    int              `json:"whole"`
	Codes    map[string]int   `json:"codes"`
	// Origins are the first-token times by what the prompts were computed from.
	Origins []load.OriginGroup `json:"origins"`
}

// Result is a whole comparison.
type Result struct {
	Preset   string   `json:"preset"`
	Scenario Scenario `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Rate     float64  `json:"rate_per_second"`
	LengthMs int64    `json:"length_ms"`
	// InProcess is true where entries, engines and load share one process.
	InProcess bool      `json:"in_process"`
	Entries   int       `json:"entries"`
	Engines   int       `json:"engines"`
	Outcomes  []Outcome `json:"outcomes"`
}

func outcome(policy string, r *load.Report) Outcome {
	took := (time.Duration(r.ElapsedMs) * time.Millisecond).Seconds()
	o := Outcome{
		Policy: policy, RecomputedShare: r.RecomputedShare, Requests: r.Requests, Whole: r.Whole, Codes: r.Codes,
		Origins: r.Origins,
		Goodput: float64(r.Whole) / took, GoodputInTime: float64(r.InTime) / took,
	}
	for _, class := range r.Classes {
		if class.Class == ident.Interactive {
			o.FirstToken, o.BetweenTokens = class.FirstToken, class.BetweenTokens
		}
	}
	return o
}

// observe adds what the engines counted themselves.
func (o *Outcome) observe(engines []stand.EngineStats) {
	o.ColdBears = coldBears
	for _, s := range engines {
		o.MostWhileCold = max(o.MostWhileCold, s.MostWhileCold)
		o.StartedBad += s.Started[newVersion]
	}
}
