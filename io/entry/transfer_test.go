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
	promptCount  = 8
	promptBlocks = 3
	// engineCacheBlocks holds less than two prompts, so that an engine evicts each prompt before it is repeated.
	engineCacheBlocks = 5
)

// Rates of prefill in tokens per second and of the links in bytes per second, at which an import of a prompt is faster
// than prefilling it.
const (
	slowPrefill, slowLinks = 20000, 4 << 20
	fastPrefill, fastLinks = 100000, 16 << 20
)

// startStoreCluster starts two entries, two engines whose caches are too small for the prompts, and two stores.
func startStoreCluster(t *testing.T, prefillRate, linkRate float64) (*bench.Cluster, context.Context) {
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
	settings.PrefillRate, settings.CacheBlocks = prefillRate, engineCacheBlocks
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

func longPrompt(i int) string {
	return strings.Repeat(fmt.Sprintf("span %05d, ", i), promptBlocks*4096/12+1)
}

// sendRound sends each prompt to both entries concurrently, once per token. Each answer must be the complete answer of
// one of the versions.
func sendRound(ctx context.Context, t *testing.T, c *bench.Cluster, tokens []string, versions ...ident.Version) {
	t.Helper()
	for i := range promptCount {
		var pending sync.WaitGroup
		for _, e := range c.Entries() {
			for _, token := range tokens {
				pending.Go(func() { sendLongPrompt(ctx, t, e, token, longPrompt(i), versions) })
			}
		}
		pending.Wait()
	}
}

func sendLongPrompt(ctx context.Context, t *testing.T, e *bench.Entry, token, prompt string, versions []ident.Version) {
	a, err := bench.Call(ctx, e, token, "/v1/completions", "", completionBody(prompt, 4))
	if err != nil || a.Status != http.StatusOK {
		t.Errorf("%.10s: status %d, body %s, error %v", prompt, a.Status, a.Body, err)
		return
	}
	got := answerText(t, a)
	for _, v := range versions {
		if got == fullAnswer(prompt, v, 4) {
			return
		}
	}
	t.Errorf("%.10s (-want +got):\n%s", prompt, cmp.Diff(fullAnswer(prompt, versions[0], 4), got))
}

// counterSum returns the sum of a counter over the entries.
func counterSum(c *bench.Cluster, name string) (n int64) {
	for _, e := range c.Entries() {
		n += e.Meter().Snapshot().Counters[name]
	}
	return n
}

// blockFaults returns the numbers of wrong blocks that the engines imported, by cause, and of blocks that they refused.
func blockFaults(c *bench.Cluster) (causes map[string]int, refused int) {
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

// sendRoundsUntil sends rounds until the condition is reached, and then checks that no engine imported a wrong block.
func sendRoundsUntil(
	ctx context.Context, t *testing.T, c *bench.Cluster, tokens []string, reached func() bool, versions ...ident.Version,
) {
	t.Helper()
	ok := bench.Wait(ctx, func() bool {
		sendRound(ctx, t, c, tokens, versions...)
		return reached() || t.Failed()
	})
	if !ok {
		t.Errorf("the condition was not reached: counters %v", c.Entries()[0].Meter().Snapshot().Counters)
	}
	checkBlocks(t, c)
}

func checkBlocks(t *testing.T, c *bench.Cluster) {
	t.Helper()
	causes, _ := blockFaults(c)
	if diff := cmp.Diff(map[string]int{}, causes); diff != "" {
		t.Errorf("wrong blocks imported by cause (-want +got):\n%s", diff)
	}
	for _, s := range c.Stores() {
		if diff := cmp.Diff(0, s.Stats().ReusedNames); diff != "" {
			t.Errorf("blocks of %s written under a name in use (-want +got):\n%s", s.ID, diff)
		}
	}
}

func importsReach(c *bench.Cluster, atLeast int64) func() bool {
	return func() bool { return counterSum(c, "imports") >= atLeast }
}

// TestRepeatedPromptsUnderStoreFaults lets both entries export the same prompts concurrently and then injects a fault
// into the stores. Every answer must stay complete, and no engine may import a wrong block.
func TestRepeatedPromptsUnderStoreFaults(t *testing.T) {
	cases := map[string]struct {
		faults fakes.StoreFaults
		// counter is the name of the entries' counter that shows that the fault took effect.
		counter string
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
			c, ctx := startStoreCluster(t, slowPrefill, slowLinks)
			oneOrg := []string{bench.Token}
			if name != "full" {
				sendRoundsUntil(ctx, t, c, oneOrg, importsReach(c, promptCount), "v1")
			}
			for _, s := range c.Stores() {
				if err := bench.SetFaults(ctx, s.Address, tc.faults); err != nil {
					t.Fatal(err)
				}
			}
			before := counterSum(c, tc.counter)
			sendRoundsUntil(ctx, t, c, oneOrg, func() bool { return counterSum(c, tc.counter) > before }, "v1")
			if _, refused := blockFaults(c); name == "corrupt blocks" && refused == 0 {
				t.Error("no engine refused a corrupt block")
			}
		})
	}
}

// TestConcurrentExports sends new prompts to both entries and repeats each while its first answers end, until exports
// of one prompt have run concurrently with each other and with imports of the same blocks.
func TestConcurrentExports(t *testing.T) {
	const prompts, copies, rounds = 40, 3, 10
	c, ctx := startStoreCluster(t, fastPrefill, fastLinks)
	var concurrent int64
	for round := range rounds {
		before := counterSum(c, "exports")
		var pending sync.WaitGroup
		for _, e := range c.Entries() {
			for n := range copies {
				pending.Go(func() {
					for i := range prompts + n {
						sendLongPrompt(ctx, t, e, bench.Token, longPrompt(round*prompts+max(0, i-n)), []ident.Version{"v1"})
					}
				})
			}
		}
		pending.Wait()
		if concurrent = counterSum(c, "exports") - before - prompts; concurrent > 0 && counterSum(c, "imports") > 0 {
			break
		}
	}
	if concurrent <= 0 || counterSum(c, "imports") == 0 {
		t.Errorf("%d more exports than prompts in the last round, %d imports", concurrent, counterSum(c, "imports"))
	}
	checkBlocks(t, c)
}

// TestRepeatedPromptsAfterStoreLoss kills a store that holds exported prompts, and replays the entries' journals.
func TestRepeatedPromptsAfterStoreLoss(t *testing.T) {
	c, ctx := startStoreCluster(t, slowPrefill, slowLinks)
	sendRoundsUntil(ctx, t, c, []string{bench.Token}, importsReach(c, promptCount), "v1")
	c.Stores()[0].Kill()
	sendRoundsUntil(ctx, t, c, []string{bench.Token}, func() bool {
		return counterSum(c, "recomputed_instead_store_failed") > 0
	}, "v1")
	for _, e := range c.Entries() {
		checkReplay(ctx, t, e)
	}
}

// checkReplay replays an entry's journal and checks that every decision is the recorded one.
func checkReplay(ctx context.Context, t *testing.T, e *bench.Entry) {
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

func TestRepeatedPromptsOfTwoOrganisations(t *testing.T) {
	c, ctx := startStoreCluster(t, slowPrefill, slowLinks)
	sendRoundsUntil(ctx, t, c, []string{bench.Token, otherToken}, importsReach(c, 2*promptCount), "v1")
}

// TestRepeatedPromptsAcrossVersionChange switches to another version while every engine holds both. Context cached for
// one version must not be used for the other.
func TestRepeatedPromptsAcrossVersionChange(t *testing.T) {
	c, ctx := startStoreCluster(t, slowPrefill, slowLinks)
	for _, e := range c.Engines() {
		if err := bench.Post(ctx, e.Address, "/order", fakes.Order{Action: "load", Model: "m", Version: "v2", Fence: 1}); err != nil {
			t.Fatal(err)
		}
	}
	oneOrg := []string{bench.Token}
	sendRoundsUntil(ctx, t, c, oneOrg, importsReach(c, promptCount), "v1")
	if err := c.Apply(ctx, c.Entries()[0], strings.Replace(testRules, "version v1", "version v2", 1)); err != nil {
		t.Fatal(err)
	}
	sendRoundsUntil(ctx, t, c, oneOrg, importsReach(c, counterSum(c, "imports")+promptCount), "v1", "v2")
	for _, e := range c.Entries() {
		if !bench.Wait(ctx, func() bool { return answersWith(ctx, t, e, "v2") }) {
			t.Fatal("the entry does not answer with the new version")
		}
	}
	sendRoundsUntil(ctx, t, c, oneOrg, importsReach(c, counterSum(c, "imports")+promptCount), "v2")
}
