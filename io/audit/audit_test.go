package audit_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/audit"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/entry"
	"cicadavalve/io/fakes"
	"cicadavalve/io/logsvc"
	"cicadavalve/io/peer"
)

const (
	testRules = `
route model m class interactive  # asked by: test
serve model m version v1  # asked by: test
`
	requests = 8
)

// run starts two entries, sends requests and waits until the log has their journals. It returns the status of each
// entry and the number of steps that it shows for its last request, and kills the entries.
func run(t *testing.T) (ctx context.Context, r *audit.Reader, before []peer.Status, steps []int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	c, err := bench.Start(bench.WithRules(testRules), bench.WithSettings(func(s *config.Settings) {
		s.JournalInterval = config.Duration(200 * time.Millisecond)
		s.JournalRate = 1 << 20
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	engine := fakes.EngineSettings{
		Model: "m", Version: "v1", PrefillRate: 200000, StepDuration: time.Millisecond, MaxBatch: 16, CacheBlocks: 64, Seed: 1,
	}
	if _, err := c.AddEngine("dunedin", engine); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := c.AddEntry("dunedin"); err != nil {
			t.Fatal(err)
		}
	}
	r = audit.NewReader(logsvc.NewClient(c.LogURL()+"/", nil))
	for _, e := range c.Entries() {
		offer(ctx, t, e)
		steps = append(steps, len(why(ctx, t, e, fmt.Sprintf("request-%s-%d", e.ID, requests-1))))
		waitJournal(ctx, t, r, e)
		s, err := c.Status(ctx, e)
		if err != nil {
			t.Fatal(err)
		}
		before = append(before, s)
	}
	for _, e := range c.Entries() {
		e.Kill()
	}
	return ctx, r, before, steps
}

func offer(ctx context.Context, t *testing.T, e *bench.Entry) {
	t.Helper()
	for i := range requests {
		id := fmt.Sprintf("request-%s-%d", e.ID, i)
		served := bench.Wait(ctx, func() bool {
			a, err := bench.CallWithID(ctx, e, bench.Token, id, `{"model":"m","prompt":"p","max_tokens":2}`)
			return err == nil && a.Status == http.StatusOK
		})
		if !served {
			t.Fatalf("%s was not served", id)
		}
	}
}

func why(ctx context.Context, t *testing.T, e *bench.Entry, id string) (steps []entry.Step) {
	t.Helper()
	if err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "why", id, &steps); err != nil {
		t.Fatal(err)
	}
	return steps
}

// waitJournal waits until the log has the last step of the entry's last request, which follows its answer.
func waitJournal(ctx context.Context, t *testing.T, r *audit.Reader, e *bench.Entry) {
	t.Helper()
	id := fmt.Sprintf("request-%s-%d", e.ID, requests-1)
	if !bench.Wait(ctx, func() bool {
		known, err := r.Entry(ctx, e.ID)
		if err != nil {
			return false
		}
		document, err := known.Show("why", id)
		list, ok := document.([]entry.Step)
		return err == nil && ok && len(list) > 0 && list[len(list)-1].Msg.Type == "sched.GoneMsg"
	}) {
		t.Fatal("the journal was not written to the log in time")
	}
}

// TestLogRestoresKilledEntries compares the state that entries report with the state restored from the log after they
// were killed.
func TestLogRestoresKilledEntries(t *testing.T) {
	ctx, r, before, steps := run(t)
	status, err := r.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	type agreed struct {
		Version int64
		Digest  uint64
		Text    string
	}
	if diff := cmp.Diff(agreed{before[0].Version, before[0].Digest, before[0].Text}, agreed{status.Version, status.Digest, status.Text}); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(before[1].Members, status.Members); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
	for i, s := range before {
		restored, err := r.Entry(ctx, s.Entry)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.Digest, restored.Status().Digest); diff != "" {
			t.Errorf("%s: digest (-want +got):\n%s", s.Entry, diff)
		}
		if diff := cmp.Diff([]ident.UpstreamID{"engine-0"}, servers(t, restored)); diff != "" {
			t.Errorf("%s: upstreams that get new work (-want +got):\n%s", s.Entry, diff)
		}
		document, err := restored.Show("why", fmt.Sprintf("request-%s-%d", s.Entry, requests-1))
		if list, ok := document.([]entry.Step); err != nil || !ok || len(list) < steps[i] {
			t.Errorf("%s: %d steps of a request from the log, %d from the entry, error %v", s.Entry, len(list), steps[i], err)
		}
	}
}

func servers(t *testing.T, e *audit.Entry) (ids []ident.UpstreamID) {
	t.Helper()
	document, err := e.Show("upstreams", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range document.([]sched.UpstreamView) {
		if u.NewWork {
			ids = append(ids, u.Upstream)
		}
	}
	return ids
}

// TestLogWithoutJournalReturnsError requests an entry of which the log has no journal.
func TestLogWithoutJournalReturnsError(t *testing.T) {
	c, err := bench.Start(bench.WithRules(testRules))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = audit.NewReader(logsvc.NewClient(c.LogURL()+"/", nil)).Entry(t.Context(), "entry-9")
	if diff := cmp.Diff("entry entry-9: the log holds no journal of this entry", fmt.Sprint(err)); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}
