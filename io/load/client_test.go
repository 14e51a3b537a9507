package load

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/once"
	"cicadavalve/io/fakes"
)

// brokenReader reads a text and then fails instead of ending.
type brokenReader struct{ io.Reader }

// Read implements [io.Reader].
func (r brokenReader) Read(b []byte) (n int, err error) {
	if n, err = r.Reader.Read(b); errors.Is(err, io.EOF) {
		err = errors.New("connection reset")
	}
	return n, err
}

// TestShortStreamsAreNoticed reads streams that end as complete and are not.
func TestShortStreamsAreNoticed(t *testing.T) {
	t.Parallel()
	it := item{prompt: "p", stream: Stream{MaxTokens: 3}}
	token := func(i int) string {
		return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", fakes.Token(it.prompt, "v1", i))
	}
	const last, done = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}],\"system_fingerprint\":\"v1\"}\n\n", "data: [DONE]\n\n"
	whole := token(0) + token(1) + token(2) + last + done
	for name, c := range map[string]struct {
		body io.Reader
		code string
	}{
		"whole":               {strings.NewReader(whole), ""},
		"token missing":       {strings.NewReader(token(0) + token(1) + last + done), "wrong_answer"},
		"token twice":         {strings.NewReader(token(0) + token(1) + token(1) + token(2) + last + done), "wrong_answer"},
		"no last event":       {strings.NewReader(token(0) + token(1) + token(2) + done), "wrong_answer"},
		"no marker":           {strings.NewReader(token(0) + token(1) + token(2) + last), "broken"},
		"within an event":     {strings.NewReader(whole[:len(whole)/2]), "broken"},
		"event after the end": {strings.NewReader(whole + token(2)), "wrong_answer"},
		"broken after it":     {brokenReader{strings.NewReader(whole)}, "broken"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := outcome{item: it}
			o.readStream(c.body, time.Now())
			if o.code != c.code || o.correct != (c.code == "") {
				t.Errorf("code %q, correct %v, want code %q", o.code, o.correct, c.code)
			}
		})
	}
}

// TestShortRepliesAreNoticed answers calls with replies that are not those of their service.
func TestShortRepliesAreNoticed(t *testing.T) {
	t.Parallel()
	it := item{org: "one", key: "k", prompt: "hello"}
	reply := func(receipt string) string {
		key := once.Key{Org: it.org, Key: it.key}.Upstream()
		return fmt.Sprintf(`{"service":"booking","path":"new","key":%q,"run":1,"receipt":%q}`, key, receipt)
	}
	whole := reply("5 bytes")
	chunk := func(text string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
	}
	for name, c := range map[string]struct{ answer, code string }{
		"whole":            {chunk(whole) + "0\r\n\r\n", ""},
		"other receipt":    {chunk(reply("4 bytes")) + "0\r\n\r\n", "wrong_answer"},
		"no last chunk":    {chunk(whole), "broken"},
		"two replies":      {chunk(whole+whole) + "0\r\n\r\n", "broken"},
		"cut in its midst": {chunk(whole[:len(whole)/2]) + "0\r\n\r\n", "broken"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+c.answer)
				_ = conn.Close()
			}))
			defer s.Close()
			r := NewRunner(Preset{Service: "booking"}, nil, []string{s.Listener.Addr().String()})
			r.directory.entries, r.directory.expiresAt = r.directory.seeds, time.Now().Add(time.Hour)
			var o outcome
			if retry := r.attemptCall(t.Context(), it, &o); o.code != c.code || o.correct != (c.code == "") || retry != (c.code == "broken") {
				t.Errorf("code %q, correct %v, retry %v, want code %q", o.code, o.correct, retry, c.code)
			}
		})
	}
}
