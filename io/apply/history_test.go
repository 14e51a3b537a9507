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
	"cicadavalve/io/stand"
)

const (
	historyEntries = 3
	historyRetain  = 40
	outage         = 2500 * time.Millisecond
	runLimit       = 90 * time.Second
	// checkLimit bounds the search for an order; a search that does not end is a failure.
	checkLimit = time.Minute
)

// proposed is one operator's proposal from its first asking until it is settled.
type proposed struct {
	call, ret int64
	report    apply.Report
	// confirmed is when the applier ended that told where the version was in force.
	confirmed int64
}

// seenAt is one reading of an entry's version.
type seenAt struct {
	call, ret int64
	version   int64
}

// incarnation is one run of an entry with what was read from it.
type incarnation struct {
	entry   *bench.Entry
	started int64
	stop    context.CancelFunc
	reads   []seenAt
}

// history is a run of real entries under faults.
type history struct {
	t     *testing.T
	c     *bench.Cluster
	ctx   context.Context
	begin time.Time
	rng   *rand.Rand

	mu        sync.Mutex
	proposals []*proposed
	// live are the entries that operators may ask; all holds the ended ones too.
	live, all []*incarnation
	running   sync.WaitGroup
	// ending keeps the operators from beginning another proposal.
	ending atomic.Bool
}

func (h *history) now() int64 { return time.Since(h.begin).Nanoseconds() }

func (h *history) peers() (addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, in := range h.live {
		addresses = append(addresses, in.entry.Peer)
	}
	return addresses
}

// add starts an entry and a reader of its version.
func (h *history) add() {
	h.t.Helper()
	started := h.now()
	e, err := h.c.AddEntry("dunedin")
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(h.ctx)
	in := &incarnation{entry: e, started: started, stop: stop}
	h.mu.Lock()
	h.live, h.all = append(h.live, in), append(h.all, in)
	h.mu.Unlock()
	h.running.Go((&reader{h, ctx, in}).run)
}

// reader reads one entry's version until its context ends.
type reader struct {
	h   *history
	ctx context.Context
	in  *incarnation
}

func (r *reader) run() {
	for r.ctx.Err() == nil {
		call := r.h.now()
		asking, cancel := context.WithTimeout(r.ctx, time.Second)
		s, err := r.h.c.Status(asking, r.in.entry)
		cancel()
		if err == nil && s.Version > 0 {
			r.in.reads = append(r.in.reads, seenAt{call, r.h.now(), s.Version})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// operator applies one file after another through entries that it draws, until the run ends.
type operator struct {
	h   *history
	n   int
	rng *rand.Rand
}

func (o *operator) run() {
	for i := 0; !o.h.ending.Load(); i++ {
		p := &proposed{call: o.h.now()}
		text := rulesText(o.n*1000 + i)
		options := []apply.Option{}
		for o.h.ctx.Err() == nil {
			r, err := o.ask(text, options)
			p.report, p.ret, p.confirmed = r, o.h.now(), o.h.now()
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

// ask asks any live entry for a limited time.
func (o *operator) ask(text string, options []apply.Option) (apply.Report, error) {
	o.h.mu.Lock()
	entry := o.h.live[o.rng.IntN(len(o.h.live))].entry
	o.h.mu.Unlock()
	ctx, cancel := context.WithTimeout(o.h.ctx, 1500*time.Millisecond)
	defer cancel()
	return apply.NewApplier(http.DefaultClient, entry.Peer, fmt.Sprint("operator-", o.n), options...).Apply(ctx, text)
}

// fault brings about one fault and ends it again.
func (h *history) fault() {
	h.t.Helper()
	switch h.rng.IntN(5) {
	case 0:
		e := h.live[h.rng.IntN(len(h.live))].entry
		e.Pause()
		time.Sleep(time.Duration(200+h.rng.IntN(600)) * time.Millisecond)
		e.Resume()
	case 1:
		faultLog(h.ctx, h.t, h.c, stand.LogFaults{Outage: true})
		if h.rng.IntN(2) == 0 {
			h.replace()
		}
		time.Sleep(outage)
	case 2:
		h.replace()
	case 3:
		faultLog(h.ctx, h.t, h.c, stand.LogFaults{LoseAnswers: 0.5, DelayMs: 50})
		time.Sleep(time.Second)
	case 4:
		faultLog(h.ctx, h.t, h.c, stand.LogFaults{ReadOutage: true, LoseAnswers: 0.5})
		time.Sleep(outage)
	}
	faultLog(h.ctx, h.t, h.c, stand.LogFaults{LoseAnswers: 0.3})
	time.Sleep(300 * time.Millisecond)
}

// replace kills an entry and starts a new one.
func (h *history) replace() {
	h.t.Helper()
	h.mu.Lock()
	i := h.rng.IntN(len(h.live))
	in := h.live[i]
	h.live = append(h.live[:i:i], h.live[i+1:]...)
	h.mu.Unlock()
	in.stop()
	in.entry.Kill()
	h.add()
}

// runHistory lets three operators apply files while faults follow each other.
func runHistory(t *testing.T, seed uint64, faults int) *history {
	ctx, cancel := context.WithTimeout(t.Context(), runLimit)
	t.Cleanup(cancel)
	h := &history{t: t, ctx: ctx, begin: time.Now(), rng: rand.New(rand.NewPCG(seed, 0))}
	c, err := bench.Start(bench.WithRules(rulesText(0)),
		bench.WithLog(stand.LogSettings{AppendsPerSecond: 300, Retain: historyRetain, Seed: seed}),
		bench.WithSettings(func(s *config.Settings) {
			s.LogTimeout, s.Peers, s.SnapshotRecords = config.Duration(300*time.Millisecond), h.peers(), 4
		}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	h.c = c
	for range historyEntries {
		h.add()
	}
	var operators sync.WaitGroup
	for n := range 3 {
		o := &operator{h: h, n: n + 1, rng: rand.New(rand.NewPCG(seed, uint64(n+1)))}
		operators.Go(o.run)
	}
	for range faults {
		h.fault()
	}
	h.ending.Store(true)
	operators.Wait()
	h.converge()
	for _, in := range h.all {
		in.stop()
	}
	h.running.Wait()
	return h
}

// converge waits until each live entry serves from the newest accepted version.
func (h *history) converge() {
	h.t.Helper()
	newest := int64(0)
	for _, p := range h.proposals {
		newest = max(newest, p.report.Version)
	}
	for _, in := range h.live {
		reached := bench.Wait(h.ctx, func() bool {
			s, err := h.c.Status(h.ctx, in.entry)
			return err == nil && s.Ready && s.Version >= newest
		})
		if !reached {
			h.t.Errorf("%s did not come to serve from version %d", in.entry.ID, newest)
		}
	}
}

// operation is the input of both models.
type operation struct {
	// entry is empty for a proposal.
	entry ident.EntryID
	write bool
	base  int64
	// verdict and version are what the operator or the reader was told.
	verdict ledger.Verdict
	version int64
}

// proposalModel is one register with compare-and-set, over all entries.
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

// entryModel is the register of one entry: it takes accepted versions in any order, and no version reverts.
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

// proposalOperations are the proposals of all operators.
func (h *history) proposalOperations() (ops []porcupine.Operation) {
	for i, p := range h.proposals {
		op := operation{base: p.report.Base, verdict: p.report.Verdict, version: p.report.Version}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Call: p.call, Return: p.ret})
	}
	return ops
}

// known is when a version must have reached an incarnation, or the end of time: an applier told
// so of it or, before it started, of every entry.
func (h *history) known(in *incarnation, version int64) (at int64) {
	at = math.MaxInt64
	for _, p := range h.proposals {
		if p.report.Verdict != ledger.Accepted || p.report.Version < version {
			continue
		}
		if len(p.report.Waiting) == 0 && p.confirmed <= in.started {
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

// entryOperations are the accepted versions and the reads of one incarnation.
func (h *history) entryOperations(in *incarnation) (ops []porcupine.Operation) {
	last := int64(0)
	for _, r := range in.reads {
		ops = append(ops, porcupine.Operation{
			ClientId: 0, Input: operation{entry: in.entry.ID, version: r.version}, Call: r.call, Return: r.ret,
		})
		last = r.ret
	}
	for i, p := range h.proposals {
		if p.report.Verdict != ledger.Accepted || p.call > last {
			continue
		}
		op := operation{entry: in.entry.ID, write: true, version: p.report.Version}
		ops = append(ops, porcupine.Operation{ClientId: i + 1, Input: op, Call: p.call, Return: h.known(in, op.version)})
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
		if r := porcupine.CheckOperationsTimeout(entryModel, h.entryOperations(in), checkLimit); r != porcupine.Ok {
			h.t.Errorf("register of %s: %s", in.entry.ID, r)
		}
	}
	if r := porcupine.CheckOperationsTimeout(proposalModel, h.proposalOperations(), checkLimit); r != porcupine.Ok {
		h.t.Errorf("proposals: %s", r)
	}
	h.t.Logf("%d proposals %v, %d entries, %d reads", len(h.proposals), verdicts, len(h.all), reads)
}

func TestHistoryOfConfiguration(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed, 5).check()
		})
	}
}

// TestSoakConfiguration is the long run; it goes one seed after another.
func TestSoakConfiguration(t *testing.T) {
	if os.Getenv("CICADAVALVE_SOAK") == "" {
		t.Skip("set CICADAVALVE_SOAK=1 for the long run")
	}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed-", 100+seed), func(t *testing.T) { runHistory(t, 100+seed, 15).check() })
	}
}
