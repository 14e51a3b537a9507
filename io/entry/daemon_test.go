package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"cicadavalve/core/ident"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
	"cicadavalve/io/peer"
)

const testRules = `
route model m class interactive  # asked by: test
serve model m version v1  # asked by: test
route service booking runs once  # asked by: test
route service lookup runs repeatable  # asked by: test
`

func engineSettings() fakes.EngineSettings {
	return fakes.EngineSettings{
		Model: "m", Version: "v1", PrefillRate: 200000, StepDuration: time.Millisecond, MaxBatch: 16, CacheBlocks: 64, Seed: 1,
	}
}

// startCluster starts two engines, one app engine and the given number of entries, and waits until all are ready.
func startCluster(t *testing.T, entries int, options ...bench.Option) (*bench.Cluster, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	c, err := bench.Start(append([]bench.Option{bench.WithRules(testRules)}, options...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for range 2 {
		if _, err := c.AddEngine("dunedin", engineSettings()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.AddApp("dunedin", "booking"); err != nil {
		t.Fatal(err)
	}
	for range entries {
		e, err := c.AddEntry("dunedin")
		if err != nil {
			t.Fatal(err)
		}
		waitServing(ctx, t, e)
		waitReports(ctx, t, c, e)
	}
	return c, ctx
}

// waitReports waits until an entry has a load report from every engine and so can send requests to each.
func waitReports(ctx context.Context, t *testing.T, c *bench.Cluster, e *bench.Entry) {
	t.Helper()
	if !bench.Wait(ctx, func() bool {
		var views []sched.UpstreamView
		err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "upstreams", "", &views)
		reported := 0
		for _, v := range views {
			reported += min(len(v.Loaded), 1)
		}
		return err == nil && reported == len(c.Engines())
	}) {
		t.Fatal("the entry did not get a load report from every engine")
	}
}

// waitMember waits until an entry has folded its own join record.
func waitMember(ctx context.Context, t *testing.T, c *bench.Cluster, e *bench.Entry) {
	t.Helper()
	if !bench.Wait(ctx, func() bool {
		status, err := c.Status(ctx, e)
		return err == nil && slices.ContainsFunc(status.Members, func(m roster.Member) bool { return m.PeerAddress == e.Peer })
	}) {
		t.Fatal("the entry did not become a member")
	}
}

// waitServing waits until an entry has answered both a completion and a call.
func waitServing(ctx context.Context, t *testing.T, e *bench.Entry) {
	t.Helper()
	n := 0
	serving := bench.Wait(ctx, func() bool {
		n++
		a, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody("ready?", 1))
		b, err2 := bench.Call(ctx, e, bench.Token, "/v1/call/booking/x", fmt.Sprintf("ready-%s-%s-%d", e.ID, e.Caller, n), "{}")
		return err == nil && err2 == nil && a.Status == http.StatusOK && b.Status == http.StatusOK
	})
	if !serving {
		t.Fatal("the entry did not answer a completion and a call")
	}
}

func completionBody(prompt string, tokens int) string {
	raw, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens})
	return string(raw)
}

func answerText(t *testing.T, a bench.Answer) string {
	t.Helper()
	var b struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(a.Body, &b); err != nil || len(b.Choices) != 1 {
		t.Fatalf("status %d, body %s: %v", a.Status, a.Body, err)
	}
	return b.Choices[0].Text
}

// fullAnswer returns the complete text that a stand-in engine generates for a prompt.
func fullAnswer(prompt string, version ident.Version, tokens int) (text string) {
	for i := range tokens {
		text += fakes.Token(prompt, version, i)
	}
	return text
}

func TestCompletionIsComplete(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("run", func(t *testing.T) {
		c, ctx := startCluster(t, 2)
		for _, e := range c.Entries() {
			a, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody("hello", 9))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(fullAnswer("hello", "v1", 9), answerText(t, a)); diff != "" {
				t.Errorf("answer of %s (-want +got):\n%s", e.ID, diff)
			}
		}
	})
}

func TestInvalidRequestReachesNoUpstream(t *testing.T) {
	c, ctx := startCluster(t, 1)
	e := c.Entries()[0]
	waitMember(ctx, t, c, e)
	before := c.Engines()[0].Stats().Completions + c.Engines()[1].Stats().Completions + c.Apps()[0].Stats().Runs
	type refusal struct {
		Status int
		Code   string
		NotRun bool
	}
	cases := []struct {
		token, path, key, body string
		want                   refusal
	}{
		{"wrong", "/v1/completions", "", completionBody("x", 1), refusal{401, "unauthenticated", true}},
		{bench.Token, "/v1/completions", "", "{", refusal{400, "bad_request", true}},
		{bench.Token, "/v1/completions", "", `{"model":"m"}`, refusal{400, "bad_request", true}},
		{bench.Token, "/v1/completions", "", completionBody("x", -1), refusal{400, "bad_request", true}},
		{bench.Token, "/v1/completions", "", `{"model":"nope","prompt":"x"}`, refusal{404, "unknown_model", true}},
		{bench.Token, "/v1/call/nope/x", "k", "{}", refusal{404, "unknown_service", true}},
		{bench.Token, "/v1/call/booking/x", "", "{}", refusal{400, "idempotency_key_required", true}},
		{bench.Token, "/v1/completions", "", string(make([]byte, 5<<20)), refusal{413, "body_too_large", true}},
	}
	for _, tc := range cases {
		a, err := bench.Call(ctx, e, tc.token, tc.path, tc.key, tc.body)
		if err != nil {
			t.Fatal(err)
		}
		code, notRun := a.Refusal()
		if diff := cmp.Diff(tc.want, refusal{a.Status, code, notRun}); diff != "" {
			t.Errorf("%s %.40s (-want +got):\n%s", tc.path, tc.body, diff)
		}
	}
	after := c.Engines()[0].Stats().Completions + c.Engines()[1].Stats().Completions + c.Apps()[0].Stats().Runs
	if diff := cmp.Diff(before, after); diff != "" {
		t.Errorf("requests that reached the upstreams (-want +got):\n%s", diff)
	}
}

func TestBrokenStreamIsResumedWithoutLoss(t *testing.T) {
	c, ctx := startCluster(t, 1)
	if err := bench.SetFaults(ctx, c.Engines()[0].Address, fakes.EngineFaults{DropShare: 1}); err != nil {
		t.Fatal(err)
	}
	for i := range 12 {
		prompt := fmt.Sprintf("prompt %d", i)
		a, err := bench.Call(ctx, c.Entries()[0], bench.Token, "/v1/completions", "", completionBody(prompt, 8))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(fullAnswer(prompt, "v1", 8), answerText(t, a)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
}
