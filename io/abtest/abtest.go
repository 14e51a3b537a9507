// Package abtest compares routing policies by running the same load on entries with each of them.
package abtest

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
	"cicadavalve/io/fakes"
	"cicadavalve/io/load"
)

// Scenario names the load pattern or incident of a run.
type Scenario string

// The scenarios.
const (
	Steady     Scenario = "steady"
	Return     Scenario = "return"
	Overload   Scenario = "overload"
	Cold       Scenario = "cold"
	Zone       Scenario = "zone"
	BadVersion Scenario = "bad-version"
	// LongGaps gives the engines small caches, so that prompts return after they were evicted. SlowLink also slows
	// the links of the KV stores during the incident; without stores it equals LongGaps.
	LongGaps    Scenario = "long-gaps"
	SlowLink    Scenario = "slow-link"
	EngineDeath Scenario = "engine-death"
)

// Scenarios lists every scenario.
func Scenarios() []Scenario {
	return []Scenario{Steady, Return, Overload, Cold, Zone, BadVersion, LongGaps, SlowLink, EngineDeath}
}

// UnlimitedMemory names the run of the affinity policy on engines whose cache never evicts.
const UnlimitedMemory = "affinity_unlimited_memory"

// WithoutStores names the run of the affinity policy without KV stores.
const WithoutStores = "affinity_without_stores"

// Policies returns the names of the runs of a comparison, in order.
func Policies() []string {
	return []string{
		route.NameAffinity, route.NameRandom, route.NameRoundRobin, route.NameLeastOutstanding, route.NamePrefixHash,
		UnlimitedMemory, WithoutStores,
	}
}

const (
	entries              = 3
	zones                = 3
	enginesPerZone       = 4
	returnShare          = 0.9
	overloadFactor       = 2
	cacheBlocks          = 64
	smallCacheBlocks     = 24
	unlimitedCacheBlocks = 1 << 20
	stores               = 2
	storeMemory          = 64 << 20
	storeDisk            = 256 << 20
	storeLinkRate        = 64 << 20
	storeDiskRate        = 32 << 20
	maxColdRequests      = 4
	weightLoadDuration   = 200 * time.Millisecond
	// coldDuration is how long an entry treats a new engine as cold; settleDelay is longer.
	coldDuration = 1500 * time.Millisecond
	settleDelay  = 3 * time.Second
	// moveDwell is short enough that a version move makes progress within a run.
	moveDwell = time.Second
	// firstTokenTarget is the maximum time to first token for an interactive answer to count as in time.
	firstTokenTarget = 1500 * time.Millisecond
)

// Plan describes a comparison.
type Plan struct {
	Preset   load.Preset
	Scenario Scenario
	Seed     uint64
	// Rate is in requests per second. The scenario [Overload] multiplies it by overloadFactor.
	Rate   float64
	Length time.Duration
	// Policies are the names of the runs, out of [Policies].
	Policies []string
}

// Run runs the plan's load with each policy in turn. All entries and engines run in this process.
//
//	plan := abtest.Plan{Preset: p, Scenario: abtest.Return, Seed: 1, Rate: 40, Length: 10 * time.Second, Policies: abtest.Policies()}
//	result, err := plan.Run(ctx)
func (p Plan) Run(ctx context.Context) (res Result, err error) {
	defer func() { err = errors.Wrapf(err, "compare %s", p.Scenario) }()
	if err := p.check(); err != nil {
		return res, err
	}
	res = p.result(Fleet{Entries: make([]FleetEntry, entries), Engines: make([]FleetEngine, zones*enginesPerZone)})
	res.InProcess = true
	for _, policy := range p.Policies {
		o, err := p.runPolicy(ctx, policy)
		if err != nil {
			return res, err
		}
		res.Outcomes = append(res.Outcomes, o)
	}
	return res, nil
}

// RunFleet runs the plan's load on a fleet, whose processes use one policy.
func (p Plan) RunFleet(ctx context.Context, f Fleet) (res Result, err error) {
	defer func() { err = errors.Wrapf(err, "compare %s", p.Scenario) }()
	p.Policies = []string{f.Policy}
	if err := p.check(); err != nil {
		return res, err
	}
	res = p.result(f)
	if err := f.apply(ctx, p.rules()); err != nil {
		return res, err
	}
	o, err := p.runLoad(ctx, f)
	res.Outcomes = []Outcome{o}
	return res, err
}

func (p Plan) check() error {
	if !slices.Contains(Scenarios(), p.Scenario) {
		return errors.Newf("scenario: expected one of %v", Scenarios())
	}
	for _, policy := range p.Policies {
		if !slices.Contains(Policies(), policy) {
			return errors.Newf("policies: expected some of %v, not %s", Policies(), policy)
		}
	}
	return nil
}

func (p Plan) result(f Fleet) Result {
	return Result{
		Preset: p.Preset.Name, Scenario: p.Scenario, Seed: p.Seed, Rate: p.effectiveRate(), LengthMs: p.Length.Milliseconds(),
		Entries: len(f.Entries), Engines: len(f.Engines),
	}
}

// effectiveRate returns the requests per second of the scenario.
func (p Plan) effectiveRate() float64 {
	if p.Scenario == Overload {
		return p.Rate * overloadFactor
	}
	return p.Rate
}

func (p Plan) runPolicy(ctx context.Context, policy string) (o Outcome, err error) {
	c, err := p.start(policy)
	if err != nil {
		return o, err
	}
	defer c.Close()
	o, err = p.runLoad(ctx, newFleet(policy, c))
	o.ContextCounters = contextCounters(c)
	return o, err
}

// contextCounters sums the entries' counters of imports, exports and recomputations, by name.
func contextCounters(c *bench.Cluster) (sum map[string]int64) {
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

// tokens returns the bearer token of each organisation.
func (p Plan) tokens() map[ident.OrgID]string {
	tokens := map[ident.OrgID]string{}
	for _, org := range p.Preset.Orgs {
		tokens[org] = "token-" + string(org)
	}
	return tokens
}

// runLoad runs the load and the scenario's incident on a fleet, and collects the outcome.
func (p Plan) runLoad(ctx context.Context, f Fleet) (o Outcome, err error) {
	if err := p.settle(ctx, f); err != nil {
		return o, err
	}
	inc := &incident{plan: p, fleet: f, done: make(chan struct{})}
	running, stop := context.WithCancel(ctx)
	defer stop()
	go inc.run(running)
	report := load.NewRunner(p.Preset, p.tokens(), f.callerAddresses(), p.options()...).Run(ctx)
	stop()
	<-inc.done
	o = newOutcome(f.Policy, report)
	o.addEngineStats(f.stats(ctx))
	o.MaxWhenTurnedCold = inc.maxWhenTurnedCold
	o.LinkBytes = f.linkBytes(ctx)
	o.StartedDrained, o.Stores = inc.startedLate-inc.startedEarly, len(f.Stores)
	return o, inc.err
}

func (p Plan) options() []load.Option {
	options := []load.Option{
		load.WithSeed(p.Seed), load.WithRate(p.effectiveRate()), load.WithDuration(p.Length),
		load.WithFirstTokenTarget(ident.Interactive, firstTokenTarget),
	}
	if p.Scenario == Return {
		options = append(options, load.WithReturnShare(returnShare))
	}
	return options
}

// start starts a cluster for the run of a policy. If it fails, the cluster is closed.
func (p Plan) start(policy string) (c *bench.Cluster, err error) {
	orgs := map[string]ident.OrgID{}
	for org, token := range p.tokens() {
		orgs[token] = org
	}
	blocks, useStores := p.cacheSize(), policy == route.NameAffinity
	switch policy {
	case UnlimitedMemory:
		policy, blocks = route.NameAffinity, unlimitedCacheBlocks
	case WithoutStores:
		policy = route.NameAffinity
	}
	c, err = bench.Start(bench.WithTokens(orgs), bench.WithRules(p.rules()),
		bench.WithSettings(func(s *config.Settings) {
			s.Policy, s.UseStores = policy, useStores
			s.MaxColdDuration, s.MoveDwell = config.Duration(coldDuration), config.Duration(moveDwell)
		}))
	if err != nil {
		return nil, err
	}
	if err = p.populate(c, blocks); err != nil {
		c.Close()
	}
	return c, err
}

// populate adds the weight store, engines, KV stores, app engine and entries to a cluster.
func (p Plan) populate(c *bench.Cluster, blocks int) (err error) {
	weights, err := c.AddWeights(weightLoadDuration)
	if err != nil {
		return err
	}
	for i := range zones * enginesPerZone {
		s := fakes.EngineSettings{
			Model: p.Preset.Streams[i%len(p.Preset.Streams)].Model, Version: "v1",
			PrefillRate: 20000, StepDuration: 8 * time.Millisecond, SequenceDuration: 200 * time.Microsecond, MaxBatch: 16,
			CacheBlocks: blocks, ColdDuration: time.Second, MaxColdRequests: maxColdRequests, LoadLag: 200 * time.Millisecond,
			Seed: p.Seed + uint64(i), WeightsURL: weights,
		}
		if _, err := c.AddEngine(zoneName(i/len(p.Preset.Streams)), s); err != nil {
			return err
		}
	}
	for i := range stores {
		s := fakes.StoreSettings{
			MemoryBytes: storeMemory, DiskBytes: storeDisk, LinkRate: storeLinkRate, DiskRate: storeDiskRate,
		}
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

// cacheSize returns the size of an engine's prefix cache, in blocks.
func (p Plan) cacheSize() int {
	if p.Scenario == LongGaps || p.Scenario == SlowLink {
		return smallCacheBlocks
	}
	return cacheBlocks
}

func zoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("az-%d", i%zones)) }

// rules returns the operator's file of the plan.
func (p Plan) rules() (text string) {
	for _, s := range p.Preset.Streams {
		text += fmt.Sprintf("route model %s class %s  # asked by: compare\n", s.Model, s.Class)
		text += fmt.Sprintf("serve model %s version v1  # asked by: compare\n", s.Model)
	}
	return text + fmt.Sprintf("route service %s runs once  # asked by: compare\n", p.Preset.Service) +
		"bears upstream engine-* cold 4  # asked by: compare\n"
}

// settle waits until every entry serves every model and all engines are warm, and then for settleDelay.
func (p Plan) settle(ctx context.Context, f Fleet) (err error) {
	token := p.tokens()[p.Preset.Orgs[0]]
	for _, e := range f.Entries {
		for _, s := range p.Preset.Streams {
			if !bench.Wait(ctx, func() bool { return e.serves(ctx, token, s.Model) }) {
				return errors.Newf("entry %s does not serve %s", e.Caller, s.Model)
			}
		}
	}
	if !bench.Wait(ctx, func() bool { return f.allWarm(ctx) }) {
		return errors.New("the engines did not warm up")
	}
	sleep(ctx, settleDelay)
	return nil
}

// allWarm reports whether no engine is cold. An engine that does not answer counts as warm.
func (f Fleet) allWarm(ctx context.Context) bool {
	return !slices.ContainsFunc(f.stats(ctx), func(s fakes.EngineStats) bool { return s.Cold })
}
