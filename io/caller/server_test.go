package caller_test

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/caller"
)

// badInput is a request that must be refused before it reaches an upstream.
type badInput struct {
	method, path, token, body string
	header, value             string
}

// TestBadInputIsRefusedAsNotRun sends invalid requests: each must get a JSON refusal with not_run set and must not
// reach the backend.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	const good = `{"model":"m","prompt":"p"}`
	post := func(body string) badInput {
		return badInput{method: http.MethodPost, path: "/v1/completions", token: "t", body: body}
	}
	with := func(header, value string) badInput {
		in := post(good)
		in.header, in.value = header, value
		return in
	}
	for name, c := range map[string]struct {
		in     badInput
		status int
		code   string
	}{
		"unknown token":     {badInput{http.MethodPost, "/v1/completions", "x", good, "", ""}, 401, "unauthenticated"},
		"token on a call":   {badInput{http.MethodPost, "/v1/call/s/p", "x", good, "", ""}, 401, "unauthenticated"},
		"half a body":       {post(`{"model":"m","pro`), 400, "bad_request"},
		"another type":      {post(`{"model":"m","prompt":7}`), 400, "bad_request"},
		"no model":          {post(`{"prompt":"p"}`), 400, "bad_request"},
		"no prompt":         {post(`{"model":"m"}`), 400, "bad_request"},
		"negative tokens":   {post(`{"model":"m","prompt":"p","max_tokens":-1}`), 400, "bad_request"},
		"too large":         {post(`{"model":"m","prompt":"` + strings.Repeat("p", 2000) + `"}`), 413, "body_too_large"},
		"unknown class":     {with("X-Class", "urgent"), 400, "bad_request"},
		"negative deadline": {with("X-Deadline-Ms", "-5"), 400, "bad_request"},
		"long request id":   {with("X-Request-Id", strings.Repeat("i", 300)), 400, "bad_request"},
		"unknown path":      {badInput{http.MethodPost, "/v1/nothing", "t", good, "", ""}, 404, "unknown_path"},
		"wrong method":      {badInput{http.MethodGet, "/v1/completions", "t", "", "", ""}, 404, "unknown_path"},
	} {
		t.Run(name, func(t *testing.T) {
			backend := &echo{}
			w := httptest.NewRecorder()
			caller.NewServer(backend, 1000, slog.New(slog.DiscardHandler)).ServeHTTP(w, c.in.request())
			var body caller.RefusalBody
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
				t.Fatalf("%s: %v", w.Body, err)
			}
			got := []any{w.Code, string(body.Error.Code), body.Error.NotRun, body.Error.Message != "", backend.ran}
			if diff := cmp.Diff([]any{c.status, c.code, true, true, false}, got); diff != "" {
				t.Errorf("status, code, not_run, message, ran (-want +got):\n%s", diff)
			}
		})
	}
}

func (in badInput) request() *http.Request {
	r := httptest.NewRequest(in.method, in.path, strings.NewReader(in.body))
	r.Header.Set("Authorization", "Bearer "+in.token)
	if in.header != "" {
		r.Header.Set(in.header, in.value)
	}
	return r
}
