package fakes_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/engine"
	"cicadavalve/io/fakes"
	"cicadavalve/io/store"
)

const blockBytes = 4096

// newPrefilledEngine starts an engine that has prefilled and cached a prompt, and returns it with its address.
func newPrefilledEngine(t *testing.T, salt string, version ident.Version, prompt string) (e *fakes.Engine, address string) {
	t.Helper()
	e = fakes.NewEngine(fakes.EngineSettings{Model: "m", Version: version, PrefillRate: 1e6, StepDuration: time.Millisecond, MaxBatch: 1, CacheBlocks: 8, Seed: 1})
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() { _ = e.Run(ctx) }()
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	address = strings.TrimPrefix(s.URL, "http://")
	body := engine.Completion{RequestID: "1", Model: "m", Version: version, Prompt: prompt, MaxTokens: 1, CacheSalt: salt}
	client := engine.NewHTTPClient(time.Second, 1)
	if err := client.Complete(ctx, engine.Target{Address: address}, body, func(engine.Event) error { return nil }); err != nil {
		t.Fatal(err)
	}
	return e, address
}

// TestEngineCountsWrongBlocksByCause imports blocks of another organisation, version or prompt, and a corrupt one.
// The orders have no checksum, so the engine caches these blocks and must count each under its cause.
func TestEngineCountsWrongBlocksByCause(t *testing.T) {
	ctx := t.Context()
	kvStore := fakes.NewStore(fakes.StoreSettings{MemoryBytes: 1 << 24, LinkRate: 1 << 30, DiskRate: 1 << 30})
	s := httptest.NewServer(kvStore.Handler())
	t.Cleanup(s.Close)
	storeAddress := strings.TrimPrefix(s.URL, "http://")
	prompt := strings.Repeat("a", blockBytes)
	client, stores := engine.NewHTTPClient(time.Second, 1), store.NewHTTPClient(time.Second)
	_, source := newPrefilledEngine(t, "one", "v1", prompt)
	export := engine.Export{Store: storeAddress, CacheSalt: "one", Model: "m", Version: "v1", Prompt: prompt, Names: []string{"b"}, DeadlineMs: 1000}
	if done, err := client.Export(ctx, source, export); err != nil || len(done.Blocks) != 1 {
		t.Fatalf("export: %+v, %v", done, err)
	}
	if err := stores.Put(ctx, storeAddress, "garbage", []byte("garbage")); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		salt    string
		version ident.Version
		prompt  string
		block   string
		want    map[string]int
	}{
		"right":        {"one", "v1", prompt, "b", map[string]int{}},
		"organisation": {"two", "v1", prompt, "b", map[string]int{"organisation": 1}},
		"version":      {"one", "v2", prompt, "b", map[string]int{"version": 1}},
		"prompt":       {"one", "v1", strings.Repeat("b", blockBytes), "b", map[string]int{"prompt": 1}},
		"corrupt":      {"one", "v1", prompt, "garbage", map[string]int{"corrupt": 1}},
		"absent":       {"one", "v1", prompt, "none", map[string]int{}},
	}
	for name, tc := range cases {
		e, address := newPrefilledEngine(t, tc.salt, tc.version, "another prompt")
		_, err := client.Import(ctx, address, engine.Import{
			Store: storeAddress, CacheSalt: tc.salt, Model: "m", Version: tc.version, Prompt: tc.prompt,
			Blocks: []engine.Block{{Name: tc.block}}, DeadlineMs: 1000,
		})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(tc.want, e.Stats().WrongCauses); diff != "" {
			t.Errorf("%s: wrong blocks by cause (-want +got):\n%s", name, diff)
		}
	}
}
