// Package versus runs the same load against entries with different routing policies.
package versus

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/load"
	"cicadavalve/io/stand"
)

// Scenario is what happens during a run.
type Scenario string

// The scenarios.
const (
	Steady      Scenario = "steady"
	Return      Scenario = "return"
	Overload    Scenario = "overload"
	Cold        Scenario = "cold"
	Zone        Scenario = "zone"
	EngineDeath Scenario = "engine-death"
	// LongGaps has returns that outlast the engines' memory; under SlowLink the stores' links slow down besides.
	LongGaps Scenario = "long-gaps"
	SlowLink Scenario = "slow-link"
)

// Scenarios lists every scenario.
func Scenarios() []Scenario {
	return []Scenario{Steady, Return, Overload, Cold, Zone, EngineDeath, LongGaps, SlowLink}
}

// Unlimited names the run of the system's own policy on engines whose memory holds everything.
const Unlimited = "affinity_unlimited_memory"

// WithoutStores names the run of the system's own policy without KV stores.
const WithoutStores = "affinity_without_stores"

// Policies lists the runs of a comparison in order.
func Policies() []string {
	return []string{
		route.NameAffinity, route.NameRandom, route.NameRoundRobin, route.NameLeastOutstanding, route.NamePrefixHash, Unlimited,
		WithoutStores,
	}
}

const (
	entries        = 3
	stores         = 2
	zones          = 3
	enginesPerZone = 4
	returnShare    = 0.9
	overloadFactor = 2
	engineBlocks   = 64
	fewBlocks      = 24
	plentyOfBlocks = 1 << 20
	storeMemory    = 64 << 20
	storeDisk      = 256 << 20
	storeLinkRate  = 64 << 20
	storeDiskRate  = 32 << 20
	// settleTime outlasts the time for which entries take an engine for cold.
	settleTime = 6 * time.Second
)

// Plan is one comparison.
type Plan struct {
	Preset   load.Preset
	Scenario Scenario
	Seed     uint64
	// Rate is requests a second, before the scenario changes it.
	Rate   float64
	Length time.Duration
	// Policies are the runs to make, out of [Policies].
	Policies []string
}

// Outcome is what one policy reached.
type Outcome struct {
	Policy string `json:"policy"`
	// FirstToken and BetweenTokens are of the interactive class.
	FirstToken    load.Quantiles `json:"interactive_first_token"`
	BetweenTokens load.Quantiles `json:"interactive_between_tokens"`
	// Goodput is whole answers a second.
	Goodput         float64 `json:"goodput_per_second"`
	RecomputedShare float64 `json:"recomputed_share"`
	// LinkBytes went over the links of the stores.
	LinkBytes int64 `json:"link_bytes"`
	// Kept counts the entries' imports, exports and recomputations in their place, by cause.
	Kept     map[string]int64 `json:"kept_context"`
	Requests int              `json:"requests"`
	Whole    int              `json:"whole"`
	Codes    map[string]int   `json:"codes"`
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

// Run offers the plan's load to each policy in turn.
//
//	plan := versus.Plan{Preset: p, Scenario: versus.Return, Seed: 1, Rate: 40, Length: 10 * time.Second, Policies: versus.Policies()}
//	result, err := plan.Run(ctx)
func (p Plan) Run(ctx context.Context) (res Result, err error) {
	defer func() { err = errors.Wrapf(err, "compare %s", p.Scenario) }()
	if !slices.Contains(Scenarios(), p.Scenario) {
		return res, errors.Newf("scenario: expected one of %v", Scenarios())
	}
	if p.Scenario == Overload {
		p.Rate *= overloadFactor
	}
	res = Result{
		Preset: p.Preset.Name, Scenario: p.Scenario, Seed: p.Seed, Rate: p.Rate, LengthMs: p.Length.Milliseconds(),
		InProcess: true, Entries: entries, Engines: zones * enginesPerZone,
	}
	for _, policy := range p.Policies {
		if !slices.Contains(Policies(), policy) {
			return res, errors.Newf("policies: expected some of %v", Policies())
		}
		o, err := p.runPolicy(ctx, policy)
		if err != nil {
			return res, err
		}
		res.Outcomes = append(res.Outcomes, o)
	}
	return res, nil
}

func (p Plan) runPolicy(ctx context.Context, policy string) (o Outcome, err error) {
	c, tokens, err := p.start(policy)
	if err != nil {
		return o, err
	}
	defer c.Close()
	if err := p.settle(ctx, c, tokens); err != nil {
		return o, err
	}
	var addresses []string
	for _, e := range c.Entries() {
		addresses = append(addresses, e.Caller)
	}
	options := []load.Option{load.WithSeed(p.Seed), load.WithRate(p.Rate), load.WithLength(p.Length)}
	if p.Scenario == Return {
		options = append(options, load.WithReturnShare(returnShare))
	}
	happening := &incident{plan: p, c: c, done: make(chan struct{})}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go happening.run(ctx)
	report := load.NewRunner(p.Preset, tokens, addresses, options...).Run(ctx)
	stop()
	<-happening.done
	o = outcome(policy, report)
	for _, s := range c.Stores() {
		o.LinkBytes += s.Stats().LinkBytes
	}
	o.Kept = keptCounters(c)
	return o, happening.err
}

func keptCounters(c *bench.Cluster) (sum map[string]int64) {
	sum = map[string]int64{}
	for _, e := range c.Entries() {
		for name, n := range e.Meter().Snapshot().Counters {
			if strings.HasPrefix(name, "import") || strings.HasPrefix(name, "export") || strings.HasPrefix(name, "recomputed") {
				sum[name] += n
			}
		}
	}
	return sum
}

func outcome(policy string, r *load.Report) Outcome {
	o := Outcome{
		Policy: policy, RecomputedShare: r.RecomputedShare, Requests: r.Requests, Whole: r.Whole, Codes: r.Codes,
		Goodput: float64(r.Whole) / (time.Duration(r.ElapsedMs) * time.Millisecond).Seconds(),
	}
	for _, class := range r.Classes {
		if class.Class == ident.Interactive {
			o.FirstToken, o.BetweenTokens = class.FirstToken, class.BetweenTokens
		}
	}
	return o
}

// start runs engines, app engines and entries with a policy.
func (p Plan) start(policy string) (c *bench.Cluster, tokens map[ident.OrgID]string, err error) {
	tokens = map[ident.OrgID]string{}
	orgs := map[string]ident.OrgID{}
	for _, org := range p.Preset.Orgs {
		tokens[org] = "token-" + string(org)
		orgs[tokens[org]] = org
	}
	blocks, useStores := engineBlocks, policy == route.NameAffinity
	if p.longGaps() {
		blocks = fewBlocks
	}
	switch policy {
	case Unlimited:
		policy, blocks = route.NameAffinity, plentyOfBlocks
	case WithoutStores:
		policy = route.NameAffinity
	}
	c, err = bench.Start(bench.WithTokens(orgs), bench.WithRules(p.rules()),
		bench.WithSettings(func(s *config.Settings) { s.Policy, s.UseStores = policy, useStores }))
	if err != nil {
		return nil, nil, err
	}
	if err = p.fill(c, blocks); err != nil {
		c.Close()
	}
	return c, tokens, err
}

func (p Plan) fill(c *bench.Cluster, blocks int) (err error) {
	for i := range zones * enginesPerZone {
		s := stand.EngineSettings{
			Model: p.Preset.Streams[i%len(p.Preset.Streams)].Model, Version: "v1",
			PrefillRate: 20000, StepTime: 8 * time.Millisecond, SequenceTime: 200 * time.Microsecond, MaxBatch: 16,
			CacheBlocks: blocks, ColdTime: time.Second, ColdBears: 4, LoadLag: 200 * time.Millisecond, Seed: p.Seed + uint64(i),
		}
		if _, err := c.AddEngine(zoneName(i/len(p.Preset.Streams)), s); err != nil {
			return err
		}
	}
	for i := range stores {
		s := stand.StoreSettings{MemoryBytes: storeMemory, DiskBytes: storeDisk, LinkRate: storeLinkRate, DiskRate: storeDiskRate}
		if _, err := c.AddStore(zoneName(i), s); err != nil {
			return err
		}
	}
	if _, err := c.AddApp(zoneName(0), p.Preset.Service); err != nil {
		return err
	}
	for i := range entries {
		if _, err := c.AddEntry(zoneName(i)); err != nil {
			return err
		}
	}
	return nil
}

// longGaps reports whether prompts return after their engine has evicted them.
func (p Plan) longGaps() bool { return p.Scenario == LongGaps || p.Scenario == SlowLink }

func zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("az-%d", i%zones)) }

func (p Plan) rules() (text string) {
	for _, s := range p.Preset.Streams {
		text += fmt.Sprintf("route model %s class %s  # asked by: compare\n", s.Model, s.Class)
		text += fmt.Sprintf("serve model %s version v1  # asked by: compare\n", s.Model)
	}
	return text + fmt.Sprintf("route service %s runs once  # asked by: compare\n", p.Preset.Service) +
		"bears upstream engine-* cold 4  # asked by: compare\n"
}

// settle waits until every entry serves every model and the engines are warm.
func (p Plan) settle(ctx context.Context, c *bench.Cluster, tokens map[ident.OrgID]string) (err error) {
	for _, e := range c.Entries() {
		for _, s := range p.Preset.Streams {
			body := fmt.Sprintf(`{"model":%q,"prompt":"ready?","max_tokens":1}`, s.Model)
			if !bench.Wait(ctx, func() bool {
				a, err := bench.Call(ctx, e, tokens[p.Preset.Orgs[0]], "/v1/completions", "", body)
				return err == nil && a.Status == 200
			}) {
				return errors.Newf("entry %s did not come to serve %s", e.ID, s.Model)
			}
		}
	}
	if !bench.Wait(ctx, func() bool {
		return !slices.ContainsFunc(c.Engines(), func(e *bench.Engine) bool { return e.Stats().Cold })
	}) {
		return errors.New("the engines did not warm up")
	}
	time.Sleep(settleTime)
	return nil
}
