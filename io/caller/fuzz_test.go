package caller_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cicadavalve/core/ident"
	"cicadavalve/io/caller"
	"cicadavalve/io/engine"
)

// echo is a backend that answers every request at once; it records the last completion and whether any request
// reached it.
type echo struct {
	caller.Backend
	last caller.Completion
	ran  bool
}

func (e *echo) Org(token string) (org ident.OrgID, known bool) { return "one", token == "t" }

func (e *echo) Complete(_ context.Context, c caller.Completion, emit func(string) error) (caller.Answer, error) {
	e.last, e.ran = c, true
	return caller.Answer{}, emit("x")
}

func (e *echo) Call(context.Context, caller.Call) (engine.Reply, error) {
	e.ran = true
	return engine.Reply{Status: http.StatusOK}, nil
}

// FuzzBody sends arbitrary bodies and headers. Each request must reach the backend validated or be refused with
// not_run set, and a refusal must be JSON that does not echo the body.
func FuzzBody(f *testing.F) {
	f.Add("/v1/completions", `{"model":"m","prompt":"secret","max_tokens":3}`, "interactive", "100")
	f.Add("/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`, "", "")
	f.Add("/v1/completions", `{"model":1e999}`, "urgent", "-1")
	f.Add("/v1/call/booking/x", "\xff\x00", "deferred", "99999999999")
	f.Fuzz(func(t *testing.T, path, body, class, deadline string) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " ?#%\r\n\x00\x7f") {
			return
		}
		b := &echo{}
		req, err := http.NewRequest(http.MethodPost, "http://entry"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer t")
		req.Header.Set("X-Class", class)
		req.Header.Set("X-Deadline-Ms", deadline)
		w := httptest.NewRecorder()
		caller.NewServer(b, 1<<16, slog.New(slog.DiscardHandler)).ServeHTTP(w, req)
		checkAnswer(t, b, w, body)
	})
}

func checkAnswer(t *testing.T, b *echo, w *httptest.ResponseRecorder, body string) {
	t.Helper()
	if b.ran {
		if w.Code != http.StatusOK {
			t.Fatalf("the backend answered, but the response has status %d", w.Code)
		}
		if b.last.Model != "" && (b.last.Prompt == "" || b.last.MaxTokens <= 0) {
			t.Fatalf("an invalid request reached the backend: %+v", b.last)
		}
		return
	}
	if w.Header().Get("Content-Type") != "application/json" {
		return // The router redirected or rejected the path itself.
	}
	var refusal struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not_run"`
		} `json:"error"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil || refusal.Error.Code == "" || !refusal.Error.NotRun {
		t.Fatalf("status %d, refusal %s: %v", w.Code, w.Body, err)
	}
	if len(body) > 64 && strings.Contains(w.Body.String(), body) {
		t.Fatal("the refusal echoes the body")
	}
}
