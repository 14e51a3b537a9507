package apply_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/io/apply"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
)

const (
	historyEntries   = 3
	historyRetention = 40
	outageDuration   = 2500 * time.Millisecond
	runTimeout       = 90 * time.Second
	// checkTimeout bounds the search for a linearisation; a search that does not end is a failure.
	checkTimeout = time.Minute
)

// proposal is one operator's proposal, from its first request until its outcome is known. Times are in ns.
type proposal struct {
	invoked, returned int64
	report            apply.Report
	// confirmed is when Apply returned the entries on which the version was in force.
	confirmed int64
}

// versionRead is one read of an entry's version.
type versionRead struct {
	invoked, returned int64
	version           int64
}

// incarnation is one run of an entry with the versions read from it.
type incarnation struct {
	entry   *bench.Entry
	started int64
	stop    context.CancelFunc
	reads   []versionRead
}

// history runs real entries under faults and records what operators and readers observe.
type history struct {
	t       *testing.T
	cluster *bench.Cluster
	ctx     context.Context
	start   time.Time
	rng     *rand.Rand

	mu        sync.Mutex
	proposals []*proposal
	// live are the entries that operators may contact; all holds the killed ones too.
	live, all []*incarnation
	running   sync.WaitGroup
	// stopping keeps the operators from starting another proposal.
	stopping atomic.Bool
}

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *history) peers() (addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, in := range h.live {
		addresses = append(addresses, in.entry.Peer)
	}
	return addresses
}

// addEntry starts an entry and a reader of its version.
func (h *history) addEntry() {
	h.t.Helper()
	started := h.now()
	e, err := h.cluster.AddEntry("dunedin")
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(h.ctx)
	in := &incarnation{entry: e, started: started, stop: stop}
	h.mu.Lock()
	h.live, h.all = append(h.live, in), append(h.all, in)
	h.mu.Unlock()
	h.running.Go((&versionReader{h, ctx, in}).run)
}

// versionReader polls one entry's version until its context ends.
type versionReader struct {
	h   *history
	ctx context.Context
	in  *incarnation
}

func (r *versionReader) run() {
	for r.ctx.Err() == nil {
		invoked := r.h.now()
		requestCtx, cancel := context.WithTimeout(r.ctx, time.Second)
		s, err := r.h.cluster.Status(requestCtx, r.in.entry)
		cancel()
		if err == nil && s.Version > 0 {
			r.in.reads = append(r.in.reads, versionRead{invoked, r.h.now(), s.Version})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// operator applies one file after another, each through random entries, until the run stops.
type operator struct {
	h   *history
	n   int
	rng *rand.Rand
}

func (o *operator) run() {
	for i := 0; !o.h.stopping.Load(); i++ {
		p := &proposal{invoked: o.h.now()}
		text := rulesText(o.n*1000 + i)
		options := []apply.Option{}
		for o.h.ctx.Err() == nil {
			r, err := o.propose(text, options)
			p.report, p.returned, p.confirmed = r, o.h.now(), o.h.now()
			if err == nil && r.Verdict != ledger.NotKnownYet {
				break
			}
			if r.ID != "" {
				options = []apply.Option{apply.WithID(r.ID), apply.WithBase(r.Base)}
			}
		}
		o.h.mu.Lock()
		o.h.proposals = append(o.h.proposals, p)
		o.h.mu.Unlock()
		time.Sleep(time.Duration(o.rng.IntN(50)) * time.Millisecond)
	}
}

// propose applies a file through a random live entry, within 1.5 s.
func (o *operator) propose(text string, options []apply.Option) (apply.Report, error) {
	o.h.mu.Lock()
	entry := o.h.live[o.rng.IntN(len(o.h.live))].entry
	o.h.mu.Unlock()
	ctx, cancel := context.WithTimeout(o.h.ctx, 1500*time.Millisecond)
	defer cancel()
	return apply.NewApplier(http.DefaultClient, entry.Peer, fmt.Sprint("operator-", o.n), options...).Apply(ctx, text)
}

// injectFault causes one random fault, ends it, and leaves the log losing 30 % of the answers to appends.
func (h *history) injectFault() {
	h.t.Helper()
	switch h.rng.IntN(5) {
	case 0:
		e := h.live[h.rng.IntN(len(h.live))].entry
		e.Pause()
		time.Sleep(time.Duration(200+h.rng.IntN(600)) * time.Millisecond)
		e.Resume()
	case 1:
		faultLog(h.ctx, h.t, h.cluster, fakes.LogFaults{Outage: true})
		if h.rng.IntN(2) == 0 {
			h.replaceEntry()
		}
		time.Sleep(outageDuration)
	case 2:
		h.replaceEntry()
	case 3:
		faultLog(h.ctx, h.t, h.cluster, fakes.LogFaults{LoseAnswers: 0.5, DelayMs: 50})
		time.Sleep(time.Second)
	case 4:
		faultLog(h.ctx, h.t, h.cluster, fakes.LogFaults{ReadOutage: true, LoseAnswers: 0.5})
		time.Sleep(outageDuration)
	}
	faultLog(h.ctx, h.t, h.cluster, fakes.LogFaults{LoseAnswers: 0.3})
	time.Sleep(300 * time.Millisecond)
}

// replaceEntry kills a random entry and starts a new one.
func (h *history) replaceEntry() {
	h.t.Helper()
	h.mu.Lock()
	i := h.rng.IntN(len(h.live))
	in := h.live[i]
	h.live = append(h.live[:i:i], h.live[i+1:]...)
	h.mu.Unlock()
	in.stop()
	in.entry.Kill()
	h.addEntry()
}

// runHistory lets three operators apply files while faults are injected one after another.
func runHistory(t *testing.T, seed uint64, faults int) *history {
	ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
	t.Cleanup(cancel)
	h := &history{t: t, ctx: ctx, start: time.Now(), rng: rand.New(rand.NewPCG(seed, 0))}
	c, err := bench.Start(bench.WithRules(rulesText(0)),
		bench.WithLog(fakes.LogSettings{AppendsPerSecond: 300, Retain: historyRetention, Seed: seed}),
		bench.WithSettings(func(s *config.Settings) {
			s.LogTimeout, s.Peers, s.SnapshotRecords = config.Duration(300*time.Millisecond), h.peers(), 4
		}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	h.cluster = c
	for range historyEntries {
		h.addEntry()
	}
	var operators sync.WaitGroup
	for n := range 3 {
		o := &operator{h: h, n: n + 1, rng: rand.New(rand.NewPCG(seed, uint64(n+1)))}
		operators.Go(o.run)
	}
	for range faults {
		h.injectFault()
	}
	h.stopping.Store(true)
	operators.Wait()
	h.converge()
	for _, in := range h.all {
		in.stop()
	}
	h.running.Wait()
	return h
}

// converge waits until each live entry is ready with the newest accepted version or a later one.
func (h *history) converge() {
	h.t.Helper()
	newest := int64(0)
	for _, p := range h.proposals {
		newest = max(newest, p.report.Version)
	}
	for _, in := range h.live {
		converged := bench.Wait(h.ctx, func() bool {
			s, err := h.cluster.Status(h.ctx, in.entry)
			return err == nil && s.Ready && s.Version >= newest
		})
		if !converged {
			h.t.Errorf("%s did not reach version %d", in.entry.ID, newest)
		}
	}
}

// operation is the input of both models.
type operation struct {
	// entry is empty for a proposal.
	entry ident.EntryID
	write bool
	base  int64
	// verdict and version are what the operator or reader received.
	verdict ledger.Verdict
	version int64
}

// proposalModel is a single register with compare-and-set, shared by all entries.
var proposalModel = porcupine.Model{
	Init: func() any { return int64(1) },
	Step: func(state, input, _ any) (bool, any) {
		op, version := input.(operation), state.(int64)
		if op.verdict == ledger.Accepted {
			return op.base == version && op.version > version, op.version
		}
		return op.base != version && op.version == version, version
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// entryModel is the register of one entry: accepted versions may be written in any order, and the version never
// decreases.
var entryModel = porcupine.Model{
	Init: func() any { return int64(1) },
	Step: func(state, input, _ any) (bool, any) {
		op, version := input.(operation), state.(int64)
		if op.write {
			return true, max(version, op.version)
		}
		return op.version == version, version
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// proposalOperations returns the proposals of all operators.
func (h *history) proposalOperations() (ops []porcupine.Operation) {
	for i, p := range h.proposals {
		op := operation{base: p.report.Base, verdict: p.report.Verdict, version: p.report.Version}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Call: p.invoked, Return: p.returned})
	}
	return ops
}

// confirmedAt returns when a version must have reached an incarnation: when Apply reported it in force on the entry,
// or the start of the incarnation if Apply had reported it on all entries by then. Otherwise it is math.MaxInt64.
func (h *history) confirmedAt(in *incarnation, version int64) (at int64) {
	at = math.MaxInt64
	for _, p := range h.proposals {
		if p.report.Verdict != ledger.Accepted || p.report.Version < version {
			continue
		}
		if len(p.report.Unconfirmed) == 0 && p.confirmed <= in.started {
			at = min(at, in.started)
		}
		for _, id := range p.report.InForce {
			if id == in.entry.ID {
				at = min(at, p.confirmed)
			}
		}
	}
	return at
}

// entryOperations returns the accepted versions as writes, and the reads of one incarnation.
func (h *history) entryOperations(in *incarnation) (ops []porcupine.Operation) {
	last := int64(0)
	for _, r := range in.reads {
		ops = append(ops, porcupine.Operation{
			ClientId: 0, Input: operation{entry: in.entry.ID, version: r.version}, Call: r.invoked, Return: r.returned,
		})
		last = r.returned
	}
	for i, p := range h.proposals {
		if p.report.Verdict != ledger.Accepted || p.invoked > last {
			continue
		}
		op := operation{entry: in.entry.ID, write: true, version: p.report.Version}
		ops = append(ops, porcupine.Operation{
			ClientId: i + 1, Input: op, Call: p.invoked, Return: h.confirmedAt(in, op.version),
		})
	}
	return ops
}

func (h *history) check() {
	h.t.Helper()
	verdicts := map[ledger.Verdict]int{}
	for _, p := range h.proposals {
		verdicts[p.report.Verdict]++
	}
	reads := 0
	for _, in := range h.all {
		reads += len(in.reads)
		if r := porcupine.CheckOperationsTimeout(entryModel, h.entryOperations(in), checkTimeout); r != porcupine.Ok {
			h.t.Errorf("register of %s: %s", in.entry.ID, r)
		}
	}
	if r := porcupine.CheckOperationsTimeout(proposalModel, h.proposalOperations(), checkTimeout); r != porcupine.Ok {
		h.t.Errorf("proposals: %s", r)
	}
	h.t.Logf("%d proposals %v, %d entries, %d reads", len(h.proposals), verdicts, len(h.all), reads)
}

// TestConfigurationHistory checks that proposals are linearisable as compare-and-set, and that no entry's version
// decreases or lags behind what Apply reported.
func TestConfigurationHistory(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed, 5).check()
		})
	}
}

// TestSoakConfiguration runs the same checks for longer, one seed after another.
func TestSoakConfiguration(t *testing.T) {
	if os.Getenv("CICADAVALVE_SOAK") == "" {
		t.Skip("set CICADAVALVE_SOAK=1 for the long run")
	}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed-", 100+seed), func(t *testing.T) { runHistory(t, 100+seed, 15).check() })
	}
}
