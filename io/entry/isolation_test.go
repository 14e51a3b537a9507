package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

const otherToken = "token-two"

func twoOrgs() bench.Option {
	return bench.WithTokens(map[string]ident.OrgID{bench.Token: bench.Org, otherToken: "two"})
}

// cachedTokens sends a completion and returns the number of prompt tokens that were served from cached context.
func cachedTokens(ctx context.Context, t *testing.T, e *bench.Entry, token, prompt string) int {
	t.Helper()
	a, err := bench.Call(ctx, e, token, "/v1/completions", "", completionBody(prompt, 2))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(200, a.Status); diff != "" {
		t.Fatalf("%s: status (-want +got):\n%s", a.Body, diff)
	}
	var b struct {
		Usage struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(a.Body, &b); err != nil {
		t.Fatalf("status %d, body %s: %v", a.Status, a.Body, err)
	}
	return b.Usage.CachedTokens
}

// TestOrganisationsShareNoCachedContext sends one prompt twice for each of two organisations, with one engine left, so
// that both use the same cache.
func TestOrganisationsShareNoCachedContext(t *testing.T) {
	c, ctx := startCluster(t, 1, twoOrgs())
	waitRouting(ctx, t, c, c.Entries()[0])
	c.Engines()[1].Kill()
	e := c.Entries()[0]
	prompt := strings.Repeat("the same prompt ", 512)
	var got []int
	for _, token := range []string{bench.Token, bench.Token, otherToken, otherToken} {
		got = append(got, cachedTokens(ctx, t, e, token, prompt))
	}
	if diff := cmp.Diff([]int{0, 2048, 0, 2048}, got); diff != "" {
		t.Errorf("cached tokens (-want +got):\n%s", diff)
	}
}

// TestOrganisationsShareNoResult sends calls of two organisations with the same idempotency key: each must run once.
func TestOrganisationsShareNoResult(t *testing.T) {
	c, ctx := startCluster(t, 1, twoOrgs())
	before := c.Apps()[0].Stats().Runs
	bodies := map[string]string{bench.Token: `{"of":"one"}`, otherToken: `{"of":"two"}`}
	for _, token := range []string{bench.Token, otherToken, bench.Token} {
		a, err := bench.Call(ctx, c.Entries()[0], token, "/v1/call/booking/x", "same-key", bodies[token])
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(200, a.Status); diff != "" {
			t.Errorf("%s: status (-want +got):\n%s", a.Body, diff)
		}
	}
	if diff := cmp.Diff(before+2, c.Apps()[0].Stats().Runs); diff != "" {
		t.Errorf("runs after calls of two organisations (-want +got):\n%s", diff)
	}
}

// TestOrganisationsShareNoUpstreamKey sends calls of two organisations with the same key to an upstream that answers a
// repeated key with its first answer: neither may get the other's answer.
func TestOrganisationsShareNoUpstreamKey(t *testing.T) {
	c, ctx := startCluster(t, 1, twoOrgs())
	if err := bench.SetFaults(ctx, c.Apps()[0].Address, fakes.AppFaults{Deduplicate: true}); err != nil {
		t.Fatal(err)
	}
	bodies := map[string]string{bench.Token: "one", otherToken: "the other"}
	for _, token := range []string{bench.Token, otherToken} {
		a, err := bench.Call(ctx, c.Entries()[0], token, "/v1/call/booking/x", "same-key", bodies[token])
		if err != nil {
			t.Fatal(err)
		}
		var reply fakes.AppReply
		if err := json.Unmarshal(a.Body, &reply); err != nil {
			t.Fatalf("status %d, body %s: %v", a.Status, a.Body, err)
		}
		if diff := cmp.Diff(fmt.Sprintf("%d bytes", len(bodies[token])), reply.Receipt); diff != "" {
			t.Errorf("%s: receipt (-want +got):\n%s", token, diff)
		}
	}
}

// TestOrganisationsShareNoRequestID sends concurrent requests of two organisations with the same request id.
func TestOrganisationsShareNoRequestID(t *testing.T) {
	c, ctx := startCluster(t, 1, twoOrgs())
	var pending sync.WaitGroup
	for i := range 16 {
		token := []string{bench.Token, otherToken}[i%2]
		prompt := fmt.Sprintf("%s, prompt %d", token, i)
		pending.Go(func() {
			a, err := bench.CallWithID(ctx, c.Entries()[0], token, "same-id", completionBody(prompt, 50))
			if err != nil {
				t.Error(err)
				return
			}
			if diff := cmp.Diff(fullAnswer(prompt, "v1", 50), answerText(t, a)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
	pending.Wait()
}

// syncBuffer is a buffer for log lines that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestPromptIsNotDisclosed sends a marked prompt through successful, failing and refused requests. The mark must not
// appear in refusals, logs, debug variables or metrics.
func TestPromptIsNotDisclosed(t *testing.T) {
	const canary = "CANARY-7f31"
	logged := &syncBuffer{}
	log := slog.New(slog.NewJSONHandler(logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
	c, ctx := startCluster(t, 1, bench.WithLogger(log))
	e := c.Entries()[0]
	bodies := []struct{ path, key, body string }{
		{"/v1/completions", "", completionBody(canary, 8)},
		{"/v1/completions", "", `{"model":"m","prompt":"` + canary},
		{"/v1/completions", "", `{"model":"m","prompt":{"` + canary + `":1}}`},
		{"/v1/completions", "", `{"model":"none","prompt":"` + canary + `"}`},
		{"/v1/chat/completions", "", `{"model":"m","messages":[{"role":"user","content":"` + canary + `"}]}`},
		{"/v1/call/booking/x", "canary-key", canary},
		{"/v1/call/booking/x", "canary-key", canary + " again"},
		{"/v1/call/none/x", "canary-key", canary},
	}
	faults := []fakes.EngineFaults{
		{}, {DropShare: 1}, {CrossShare: 1}, {GapShare: 1}, {Refuse: true}, {AnswerVersion: "v0"},
	}
	refusals := ""
	for _, f := range faults {
		for _, engine := range c.Engines() {
			if err := bench.SetFaults(ctx, engine.Address, f); err != nil {
				t.Fatal(err)
			}
		}
		for _, b := range bodies {
			a, err := bench.Call(ctx, e, bench.Token, b.path, b.key, b.body)
			if err != nil {
				t.Fatal(err)
			}
			if a.Status != 200 {
				refusals += string(a.Body)
			}
		}
	}
	vars, err := bench.Get(ctx, "http://"+e.Caller+"/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := json.Marshal(e.Meter().Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"refusals": refusals, "log": logged.text(), "debug vars": string(vars), "meter": string(metrics),
	} {
		if text == "" || strings.Contains(text, canary) {
			t.Errorf("%s: empty or contains the prompt: %s", name, text)
		}
	}
}
