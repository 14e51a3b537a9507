package roll_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/roll"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
)

const (
	simTick         = 100 * time.Millisecond
	simRate         = 60.0 // requests per second over all entries
	simPeakRate     = 600.0
	simEngines      = 6
	simLoadDuration = 200 * time.Millisecond
	simLease        = 4 * time.Second
)

var simStart = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

// quality returns an attempt's probability of failure and the factor on its latencies.
type quality func(s *sim, class ident.Class) (fail, slow float64)

func good(*sim, ident.Class) (fail, slow float64) { return 0.003, 1 }

// simEngine is an engine in simulated time that checks fencing numbers unless ignoresFence is set.
type simEngine struct {
	loaded       []sched.Loaded
	fence        int64
	ignoresFence bool
	// loadEnds holds when each running load ends, and loading the version of the last one.
	loadEnds []time.Time
	loading  sched.Loaded
}

// endedAttempt is an attempt and the entry that ran it.
type endedAttempt struct {
	entry   int
	attempt roll.AttemptMsg
}

// sim runs several models against one log in simulated time.
type sim struct {
	rng    *rand.Rand
	rate   float64
	now    time.Time
	text   string
	models []*roll.Model
	paused []bool
	outage bool
	log    []ledger.Entry
	first  int64
	// readLag is the delay of log reads in ticks, and logEnds the log's end offset after each tick.
	readLag int
	logEnds []int64
	engines []*simEngine
	// attempts holds the attempts by the tick in which they end.
	attempts map[int][]endedAttempt
	tick     int
	// stalls slows all attempts for a moment every few seconds.
	stalls    bool
	bad       quality
	cached    map[string]bool
	maxLoads  int
	started   map[ident.Version]int
	stoppedAt []time.Time
	newAfter  int
	lateAt    time.Time
}

func newSim(seed uint64, entries int, by time.Duration, bad quality) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: simStart, rate: simRate, bad: bad, attempts: map[int][]endedAttempt{},
		cached: map[string]bool{}, started: map[ident.Version]int{}, stoppedAt: make([]time.Time, entries),
		paused: make([]bool, entries),
	}
	s.text = moveRules(by)
	for range simEngines {
		s.engines = append(s.engines, &simEngine{loaded: []sched.Loaded{{Model: "m", Version: "v1"}}})
	}
	for i := range entries {
		s.models = append(s.models, s.newModel(fmt.Sprintf("boot-%d", i), i))
	}
	return s
}

func moveRules(by time.Duration) string {
	return "route model m class interactive # a\nserve model m version v1 # a\n" +
		"move model m from v1 to v2 by " + simStart.Add(by).Format(time.RFC3339) + " share 2% # a\n"
}

func (s *sim) newModel(boot string, i int) *roll.Model {
	m := roll.NewModel(ident.EntryID(fmt.Sprintf("entry-%d", i)), ident.BootID(boot),
		roll.WithMinDwell(time.Second), roll.WithWeightLease(simLease), roll.WithUnloadGrace(20*time.Second),
		roll.WithKeepInterval(10*time.Second))
	m.Update(s.now, sched.RulesMsg{Version: 1, Text: s.text})
	m.Update(s.now, roll.MembersMsg{Members: []roster.Member{{Entry: "entry-0", Incarnation: "boot-0"},
		{Entry: "entry-1", Incarnation: "boot-1"}, {Entry: "entry-2", Incarnation: "boot-2"}}})
	return m
}

func (s *sim) step() {
	s.now = s.now.Add(simTick)
	s.tick++
	s.finishLoads()
	for i, m := range s.models {
		if s.paused[i] {
			continue
		}
		if s.tick%5 == 1 {
			s.run(m.Update(s.now, s.upstreams()))
		}
		for id, e := range s.engines {
			s.run(m.Update(s.now, sched.LoadMsg{Upstream: engineID(id), Load: sched.Load{Loaded: e.loaded}}))
		}
		if !s.outage {
			from, to := max(m.Next()-s.first, 0), s.visible()
			s.run(m.Update(s.now, ledger.BatchMsg{
				Stream: ledger.StreamVerdict, First: s.first, Entries: slices.Clone(s.log[min(from, to):to]),
			}))
		}
		s.run(m.Update(s.now, sched.TickMsg{}))
		if s.stoppedAt[i].IsZero() && m.Moves()[0].Stopped {
			s.stoppedAt[i] = s.now
		}
	}
	s.offerTraffic()
	s.logEnds = append(s.logEnds, s.first+int64(len(s.log)))
}

// visible returns how many of the log's records can be read now.
func (s *sim) visible() int64 {
	if s.readLag == 0 {
		return int64(len(s.log))
	}
	if len(s.logEnds) < s.readLag {
		return 0
	}
	return s.logEnds[len(s.logEnds)-s.readLag] - s.first
}

func engineID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("engine-%d", i)) }

func (s *sim) upstreams() (msg sched.UpstreamsMsg) {
	for i := range s.engines {
		msg.Upstreams = append(msg.Upstreams, sched.Upstream{ID: engineID(i), Role: sched.RoleEngine})
	}
	return msg
}

func (s *sim) run(cmds []ident.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case roll.AppendCmd:
			if !s.outage {
				s.log = append(s.log, ledger.Entry{Offset: s.first + int64(len(s.log)), Record: cmd.Record})
			}
		case roll.OrderCmd:
			s.order(cmd)
		case roll.LateCmd:
			s.lateAt = s.now
		}
	}
}

// order starts a load, or unloads at once, unless the fencing number is old.
func (s *sim) order(cmd roll.OrderCmd) {
	for id, e := range s.engines {
		if engineID(id) != cmd.Task.Upstream || cmd.Fence < e.fence && !e.ignoresFence {
			continue
		}
		e.fence = max(e.fence, cmd.Fence)
		target := sched.Loaded{Model: cmd.Task.Model, Version: cmd.Task.Version}
		if cmd.Task.Action == roll.ActionUnload {
			e.loaded = slices.DeleteFunc(slices.Clone(e.loaded), func(l sched.Loaded) bool { return l == target })
			s.endOrder(cmd.Fence)
			continue
		}
		e.loadEnds, e.loading = append(e.loadEnds, s.now.Add(simLoadDuration)), target
	}
	loads := 0
	for _, e := range s.engines {
		loads += len(e.loadEnds)
	}
	s.maxLoads = max(s.maxLoads, loads)
}

func (s *sim) finishLoads() {
	for _, e := range s.engines {
		before := len(e.loadEnds)
		e.loadEnds = slices.DeleteFunc(e.loadEnds, func(end time.Time) bool { return !s.now.Before(end) })
		if len(e.loadEnds) < before {
			if !slices.Contains(e.loaded, e.loading) {
				e.loaded = append(slices.Clone(e.loaded), e.loading)
			}
			s.endOrder(e.fence)
		}
	}
}

// endOrder sends the end of an order to all entries that are not paused; only its sender acts on it.
func (s *sim) endOrder(fence int64) {
	for i, m := range s.models {
		if !s.paused[i] {
			s.run(m.Update(s.now, roll.OrderedMsg{Fence: fence, Answered: true}))
		}
	}
}

// offerTraffic sends requests to random entries and delivers the attempts that end now.
func (s *sim) offerTraffic() {
	for range s.poisson(s.rate * simTick.Seconds()) {
		s.request()
	}
	for _, a := range s.attempts[s.tick] {
		if !s.paused[a.entry] {
			s.run(s.models[a.entry].Update(s.now, a.attempt))
		}
	}
	delete(s.attempts, s.tick)
}

func (s *sim) request() {
	i := s.rng.IntN(len(s.models))
	if s.paused[i] {
		return
	}
	org, root := ident.OrgID(fmt.Sprintf("org-%d", s.rng.IntN(10))), s.rng.Uint64N(400)
	class := ident.Interactive
	if s.rng.Float64() < 0.3 {
		class = ident.Deferred
	}
	v := s.models[i].Version(org, "m", root, "v1")
	s.started[v]++
	if v == "v2" && !slices.ContainsFunc(s.stoppedAt, time.Time.IsZero) {
		s.newAfter++
	}
	fail, slow := good(s, class)
	if v == "v2" {
		fail, slow = s.bad(s, class)
	}
	if s.stalls && s.tick%37 < 3 {
		slow *= 5
	}
	computed := 4000
	if k := fmt.Sprint(org, root, v); s.cached[k] {
		computed = 200
	} else {
		s.cached[k] = true
	}
	first := time.Duration((20 + float64(computed)*0.02) * slow * s.logNormal(0.5) * float64(time.Millisecond))
	between := time.Duration(10 * slow * s.logNormal(0.25) * float64(time.Millisecond))
	end := s.tick + 1 + int((first+20*between)/simTick)
	s.attempts[end] = append(s.attempts[end], endedAttempt{i, roll.AttemptMsg{
		Org: org, Model: "m", Class: class, Version: v, Failed: s.rng.Float64() < fail,
		Computed: computed, First: first, Between: between,
	}})
}

func (s *sim) logNormal(sigma float64) float64 { return math.Exp(s.rng.NormFloat64() * sigma) }

func (s *sim) poisson(mean float64) (n int) {
	for p := s.rng.Float64(); p > math.Exp(-mean); p *= s.rng.Float64() {
		n++
	}
	return n
}

// until runs the simulation until a condition holds, at most for limit, and reports whether it holds.
func (s *sim) until(limit time.Duration, holds func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); s.step() {
		if holds() {
			return true
		}
	}
	return holds()
}

func (s *sim) phases() (p []roll.Phase) {
	for _, m := range s.models {
		p = append(p, m.Moves()[0].Phase)
	}
	return p
}

func (s *sim) allIn(want roll.Phase) bool {
	return !slices.ContainsFunc(s.phases(), func(p roll.Phase) bool { return p != want })
}

// fatal fails the test and logs the state of every entry.
func (s *sim) fatal(t *testing.T, what string) {
	t.Helper()
	for i, m := range s.models {
		t.Logf("entry %d: %+v", i, m.Moves())
	}
	t.Fatal(what)
}
