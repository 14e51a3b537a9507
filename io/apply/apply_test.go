package apply_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/io/apply"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
)

func rulesText(n int) string {
	return fmt.Sprintf("serve model m version v%d  # asked by: test\n", n)
}

// startEntries starts entries without upstreams and waits until each is ready and lists all members.
func startEntries(t *testing.T, entries int, options ...bench.Option) (*bench.Cluster, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	options = append([]bench.Option{
		bench.WithRules(rulesText(0)),
		bench.WithSettings(func(s *config.Settings) { s.LogTimeout = config.Duration(300 * time.Millisecond) }),
	}, options...)
	c, err := bench.Start(options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for range entries {
		if _, err := c.AddEntry("dunedin"); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range c.Entries() {
		joined := bench.Wait(ctx, func() bool {
			s, err := c.Status(ctx, e)
			return err == nil && s.Ready && len(s.Members) == entries
		})
		if !joined {
			t.Fatal("an entry does not list all others as members")
		}
	}
	return c, ctx
}

func faultLog(ctx context.Context, t *testing.T, c *bench.Cluster, f fakes.LogFaults) {
	t.Helper()
	if err := bench.SetFaults(ctx, c.LogURL(), f); err != nil {
		t.Fatal(err)
	}
}

func applyFile(
	ctx context.Context, t *testing.T, e *bench.Entry, text string, options ...apply.Option,
) apply.Report {
	t.Helper()
	r, err := apply.NewApplier(http.DefaultClient, e.Peer, "operator", options...).Apply(ctx, text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestProposalIsAcceptedWhenLogAnswerIsLost loses the answer to every append: a proposal that was
// appended must be reported as accepted.
func TestProposalIsAcceptedWhenLogAnswerIsLost(t *testing.T) {
	c, ctx := startEntries(t, 3)
	faultLog(ctx, t, c, fakes.LogFaults{LoseAnswers: 1})
	r := applyFile(ctx, t, c.Entries()[0], rulesText(1))
	if diff := cmp.Diff(ledger.Accepted, r.Verdict); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]ident.EntryID{}, r.Unconfirmed); diff != "" {
		t.Errorf("waiting (-want +got):\n%s", diff)
	}
}

// TestOutcomeIsFoundByIDAfterLogOutage proposes during an outage of the log and retries by id through other entries
// afterwards: the proposal must take effect once, and its id must not be accepted for another file.
func TestOutcomeIsFoundByIDAfterLogOutage(t *testing.T) {
	c, ctx := startEntries(t, 3)
	before, err := c.Status(ctx, c.Entries()[0])
	if err != nil {
		t.Fatal(err)
	}
	faultLog(ctx, t, c, fakes.LogFaults{Outage: true})
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r := applyFile(short, t, c.Entries()[0], rulesText(1))
	if diff := cmp.Diff(ledger.NotKnownYet, r.Verdict); diff != "" {
		t.Fatalf("verdict in the outage (-want +got):\n%s", diff)
	}
	for _, e := range c.Entries() {
		s, err := c.Status(ctx, e)
		if err != nil || !s.Ready || s.Version != before.Version {
			t.Errorf("%s in the outage: ready %v, version %d, error %v", e.ID, s.Ready, s.Version, err)
		}
	}
	faultLog(ctx, t, c, fakes.LogFaults{})
	second := applyFile(ctx, t, c.Entries()[1], rulesText(1), apply.WithID(r.ID), apply.WithBase(r.Base))
	if diff := cmp.Diff(ledger.Accepted, second.Verdict); diff != "" {
		t.Errorf("verdict after the outage (-want +got):\n%s", diff)
	}
	third := applyFile(ctx, t, c.Entries()[2], rulesText(1), apply.WithID(r.ID), apply.WithBase(r.Base))
	if diff := cmp.Diff(second.Version, third.Version); diff != "" {
		t.Errorf("version of the same proposal (-want +got):\n%s", diff)
	}
	other := applyFile(ctx, t, c.Entries()[2], rulesText(2), apply.WithID(r.ID), apply.WithBase(r.Base))
	if diff := cmp.Diff(ledger.IDReused, other.Verdict); diff != "" {
		t.Errorf("verdict on another file with the same id (-want +got):\n%s", diff)
	}
}

// racer is one of several operators that propose concurrently.
type racer struct {
	ctx    context.Context
	entry  *bench.Entry
	n      int
	base   int64
	report apply.Report
	err    error
}

func (r *racer) operator() string { return fmt.Sprint("operator-", r.n) }

func (r *racer) run() {
	a := apply.NewApplier(http.DefaultClient, r.entry.Peer, r.operator(), apply.WithBase(r.base))
	r.report, r.err = a.Apply(r.ctx, rulesText(r.n))
}

// TestConcurrentOperatorsGetTheWinner proposes 12 files on the same base: exactly one must be accepted, and every
// report must name its operator.
func TestConcurrentOperatorsGetTheWinner(t *testing.T) {
	c, ctx := startEntries(t, 3)
	status, err := c.Status(ctx, c.Entries()[0])
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	var racers []*racer
	for n := range 12 {
		r := &racer{ctx: ctx, entry: c.Entries()[n%3], n: n + 1, base: status.Version}
		racers = append(racers, r)
		running.Go(r.run)
	}
	running.Wait()
	var winners, named []string
	for _, r := range racers {
		if r.err != nil {
			t.Fatal(r.err)
		}
		if r.report.Verdict == ledger.Accepted {
			winners = append(winners, r.operator())
		}
		named = append(named, r.report.Winner)
	}
	if len(winners) != 1 {
		t.Fatalf("accepted: %v", winners)
	}
	for _, name := range named {
		if diff := cmp.Diff(winners[0], name); diff != "" {
			t.Errorf("winner (-want +got):\n%s", diff)
		}
	}
}

// TestUnreachableEntriesAreReported pauses one entry and kills another. The ping interval is so long that neither is
// removed from the roster before the wait ends.
func TestUnreachableEntriesAreReported(t *testing.T) {
	c, ctx := startEntries(t, 4, bench.WithSettings(func(s *config.Settings) {
		s.LogTimeout, s.PingInterval = config.Duration(300*time.Millisecond), config.Duration(time.Minute)
	}))
	c.Entries()[2].Pause()
	c.Entries()[3].Kill()
	short, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r := applyFile(short, t, c.Entries()[0], rulesText(1))
	if diff := cmp.Diff(ledger.Accepted, r.Verdict); diff != "" {
		t.Fatalf("verdict (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]ident.EntryID{c.Entries()[2].ID, c.Entries()[3].ID}, r.Unconfirmed); diff != "" {
		t.Errorf("waiting (-want +got):\n%s", diff)
	}
}

// TestNewEntryStartsFromPeers starts entries during an outage of the log: one with peers must take their version, one
// without must not become ready.
func TestNewEntryStartsFromPeers(t *testing.T) {
	var peers []string
	c, ctx := startEntries(t, 2, bench.WithSettings(func(s *config.Settings) {
		s.LogTimeout, s.Peers = config.Duration(300*time.Millisecond), peers
	}))
	r := applyFile(ctx, t, c.Entries()[0], rulesText(1))
	faultLog(ctx, t, c, fakes.LogFaults{Outage: true})
	alone, err := c.AddEntry("dunedin")
	if err != nil {
		t.Fatal(err)
	}
	peers = []string{c.Entries()[0].Peer, c.Entries()[1].Peer}
	joined, err := c.AddEntry("dunedin")
	if err != nil {
		t.Fatal(err)
	}
	inForce := bench.Wait(ctx, func() bool {
		s, err := c.Status(ctx, joined)
		return err == nil && s.Ready && s.Version == r.Version
	})
	if !inForce {
		t.Error("the new entry did not adopt its peers' version")
	}
	s, err := c.Status(ctx, alone)
	if err != nil || s.Ready || s.Version != 0 {
		t.Errorf("an entry without log and peers: ready %v, version %d, error %v", s.Ready, s.Version, err)
	}
}
