package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/record"
	"cicadavalve/core/replay"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
	"cicadavalve/io/peer"
)

const (
	keptPrompts = 8
	keptBlocks  = 3
	// keptCache is less than two prompts, so that an engine evicts each before it returns.
	keptCache = 5
)

// Rates of the prefill and of the links at which an import of a prompt pays.
const (
	slowPrefill, slowLinks = 20000, 4 << 20
	fastPrefill, fastLinks = 100000, 16 << 20
)

// keptCluster runs two entries before two engines with too little memory and two stores.
func keptCluster(t *testing.T, prefillRate, linkRate float64) (*bench.Cluster, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	c, err := bench.Start(bench.WithRules(testRules), twoOrgs(), bench.WithSettings(func(s *config.Settings) {
		s.HeldTTL = 0
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	settings := engineSettings()
	settings.PrefillRate, settings.CacheBlocks = prefillRate, keptCache
	link := fakes.StoreSettings{MemoryBytes: 64 << 20, DiskBytes: 64 << 20, LinkRate: linkRate, DiskRate: 32 << 20}
	for range 2 {
		if _, err := c.AddEngine("dunedin", settings); err != nil {
			t.Fatal(err)
		}
		if _, err := c.AddStore("dunedin", link); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.AddApp("dunedin", "booking"); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		e, err := c.AddEntry("dunedin")
		if err != nil {
			t.Fatal(err)
		}
		waitServing(ctx, t, e)
	}
	return c, ctx
}

func keptPrompt(i int) string {
	return strings.Repeat(fmt.Sprintf("span %05d, ", i), keptBlocks*4096/12+1)
}

// keptRound asks each prompt at both entries at once, as each of the organisations, and checks the answers,
// which must each be whole and of one of the versions.
func keptRound(ctx context.Context, t *testing.T, c *bench.Cluster, tokens []string, versions ...ident.Version) {
	t.Helper()
	for i := range keptPrompts {
		var pending sync.WaitGroup
		for _, e := range c.Entries() {
			for _, token := range tokens {
				pending.Go(func() { askKept(ctx, t, e, token, keptPrompt(i), versions) })
			}
		}
		pending.Wait()
	}
}

func askKept(ctx context.Context, t *testing.T, e *bench.Entry, token, prompt string, versions []ident.Version) {
	a, err := bench.Call(ctx, e, token, "/v1/completions", "", completionBody(prompt, 4))
	if err != nil || a.Status != http.StatusOK {
		t.Errorf("%.10s: status %d, body %s, error %v", prompt, a.Status, a.Body, err)
		return
	}
	got := answerText(t, a)
	for _, v := range versions {
		if got == wholeAnswer(prompt, v, 4) {
			return
		}
	}
	t.Errorf("%.10s (-want +got):\n%s", prompt, cmp.Diff(wholeAnswer(prompt, versions[0], 4), got))
}

// counted sums a counter over the entries.
func counted(c *bench.Cluster, name string) (n int64) {
	for _, e := range c.Entries() {
		n += e.Meter().Snapshot().Counters[name]
	}
	return n
}

// wrongReads sums the wrong blocks that engines took in, by cause.
func wrongReads(c *bench.Cluster) (causes map[string]int, refused int) {
	causes = map[string]int{}
	for _, e := range c.Engines() {
		s := e.Stats()
		refused += s.RefusedBlocks
		for cause, n := range s.WrongCauses {
			causes[cause] += n
		}
	}
	return causes, refused
}

// keptRounds asks until the sign of what a test is about shows, and then checks that no wrong block was read.
func keptRounds(ctx context.Context, t *testing.T, c *bench.Cluster, tokens []string, sign func() bool, versions ...ident.Version) {
	t.Helper()
	seen := bench.Wait(ctx, func() bool {
		keptRound(ctx, t, c, tokens, versions...)
		return sign() || t.Failed()
	})
	if !seen {
		t.Errorf("what the test is about did not happen: counters %v", c.Entries()[0].Meter().Snapshot().Counters)
	}
	checkReads(t, c)
}

func checkReads(t *testing.T, c *bench.Cluster) {
	t.Helper()
	causes, _ := wrongReads(c)
	if diff := cmp.Diff(map[string]int{}, causes); diff != "" {
		t.Errorf("wrong blocks read by cause (-want +got):\n%s", diff)
	}
	for _, s := range c.Stores() {
		if diff := cmp.Diff(0, s.Stats().ReusedNames); diff != "" {
			t.Errorf("blocks of %s written under a used name (-want +got):\n%s", s.ID, diff)
		}
	}
}

func imports(c *bench.Cluster, atLeast int64) func() bool {
	return func() bool { return counted(c, "imports") >= atLeast }
}

// TestReturningPromptsUnderStoreFaults lets both entries export each prompt at the same time, then brings a
// fault of the stores about: every answer stays whole, and no wrong block is read.
func TestReturningPromptsUnderStoreFaults(t *testing.T) {
	cases := map[string]struct {
		faults fakes.StoreFaults
		// sign is a counter of the entries that shows that the fault was met.
		sign string
	}{
		"calm":            {fakes.StoreFaults{}, "imports"},
		"full":            {fakes.StoreFaults{Full: true}, "exports_dropped_store_full"},
		"corrupt":         {fakes.StoreFaults{Corrupt: true}, "recomputed_instead_gone"},
		"corrupt blocks":  {fakes.StoreFaults{CorruptBlocks: true}, "recomputed_instead_gone"},
		"eviction":        {fakes.StoreFaults{EvictReads: true}, "recomputed_instead_gone"},
		"link that hangs": {fakes.StoreFaults{SlowBy: 1e6}, "recomputed_instead_timeout"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, ctx := keptCluster(t, slowPrefill, slowLinks)
			one := []string{bench.Token}
			if name != "full" {
				keptRounds(ctx, t, c, one, imports(c, keptPrompts), "v1")
			}
			for _, s := range c.Stores() {
				if err := bench.SetFaults(ctx, s.Address, tc.faults); err != nil {
					t.Fatal(err)
				}
			}
			before := counted(c, tc.sign)
			keptRounds(ctx, t, c, one, func() bool { return counted(c, tc.sign) > before }, "v1")
			if _, refused := wrongReads(c); name == "corrupt blocks" && refused == 0 {
				t.Error("no engine met a corrupt block")
			}
		})
	}
}

// TestRacingExports sends fresh prompts again and again while their first answers end on both entries, so
// that exports of one prompt run side by side and others read what they write.
func TestRacingExports(t *testing.T) {
	const prompts, copies = 40, 3
	c, ctx := keptCluster(t, fastPrefill, fastLinks)
	var pending sync.WaitGroup
	for _, e := range c.Entries() {
		for n := range copies {
			pending.Go(func() {
				for i := range prompts + n {
					askKept(ctx, t, e, bench.Token, keptPrompt(max(0, i-n)), []ident.Version{"v1"})
				}
			})
		}
	}
	pending.Wait()
	if counted(c, "exports") <= prompts || counted(c, "imports") == 0 {
		t.Errorf("%d exports and %d imports of %d prompts", counted(c, "exports"), counted(c, "imports"), prompts)
	}
	checkReads(t, c)
}

func TestReturningPromptsWhenAStoreDies(t *testing.T) {
	c, ctx := keptCluster(t, slowPrefill, slowLinks)
	keptRounds(ctx, t, c, []string{bench.Token}, imports(c, keptPrompts), "v1")
	c.Stores()[0].Kill()
	keptRounds(ctx, t, c, []string{bench.Token}, func() bool {
		return counted(c, "recomputed_instead_store_failed") > 0
	}, "v1")
	for _, e := range c.Entries() {
		replayKept(ctx, t, e)
	}
}

// replayKept runs an entry's recorded decisions about kept context again.
func replayKept(ctx context.Context, t *testing.T, e *bench.Entry) {
	t.Helper()
	var segment record.Segment
	if err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "journal", "", &segment); err != nil {
		t.Fatal(err)
	}
	entries, err := segment.Entries()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]replay.Difference(nil), replayAll(t, entries).Differences); diff != "" {
		t.Errorf("differences of the journal of %s (-want +got):\n%s", e.ID, diff)
	}
}

func TestReturningPromptsOfTwoOrganisations(t *testing.T) {
	c, ctx := keptCluster(t, slowPrefill, slowLinks)
	keptRounds(ctx, t, c, []string{bench.Token, otherToken}, imports(c, 2*keptPrompts), "v1")
}

// TestReturningPromptsAcrossAVersionMove puts other weights in force that every engine holds beside the old ones.
func TestReturningPromptsAcrossAVersionMove(t *testing.T) {
	c, ctx := keptCluster(t, slowPrefill, slowLinks)
	for _, e := range c.Engines() {
		if err := bench.Post(ctx, e.Address, "/order", fakes.Order{Action: "load", Model: "m", Version: "v2", Fence: 1}); err != nil {
			t.Fatal(err)
		}
	}
	one := []string{bench.Token}
	keptRounds(ctx, t, c, one, imports(c, keptPrompts), "v1")
	if err := c.Apply(ctx, c.Entries()[0], strings.Replace(testRules, "version v1", "version v2", 1)); err != nil {
		t.Fatal(err)
	}
	keptRounds(ctx, t, c, one, imports(c, counted(c, "imports")+keptPrompts), "v1", "v2")
	for _, e := range c.Entries() {
		if !bench.Wait(ctx, func() bool { return answers(ctx, t, e, "v2") }) {
			t.Fatal("the new version did not come to serve")
		}
	}
	keptRounds(ctx, t, c, one, imports(c, counted(c, "imports")+keptPrompts), "v2")
}
