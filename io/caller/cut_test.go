package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cicadavalve/io/caller"
	"cicadavalve/io/engine"
)

// repeater is a backend whose replies are what it was sent.
type repeater struct{ echo }

func (r *repeater) Complete(_ context.Context, c caller.Completion, emit func(string) error) (caller.Answer, error) {
	return caller.Answer{}, emit(c.Prompt)
}

func (r *repeater) Call(_ context.Context, c caller.Call) (engine.Reply, error) {
	return engine.Reply{Status: http.StatusOK, Body: c.Body}, nil
}

// startServer serves a backend and returns its address.
func startServer(t *testing.T, backend caller.Backend) (addr string) {
	t.Helper()
	s := httptest.NewServer(caller.NewServer(backend, 1<<20, slog.New(slog.DiscardHandler)))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestRepliesStateTheirLength asks as a caller of HTTP/1.0, to whom a reply without a length ends with the connection, also if the
// process is gone midway.
func TestRepliesStateTheirLength(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 100_000)
	addr := startServer(t, &repeater{})
	for path, body := range map[string]string{
		"/v1/call/s/p": long, "/v1/completions": `{"model":"m","prompt":"` + long + `"}`, "/v1/none": "",
	} {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer t\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		if err != nil || int64(len(got)) != response.ContentLength {
			t.Errorf("%s: %d bytes, the length is stated as %d, error %v", path, len(got), response.ContentLength, err)
		}
	}
}

// TestCutCallIsNotRun breaks the bodies of calls off.
func TestCutCallIsNotRun(t *testing.T) {
	t.Parallel()
	for name, body := range map[string]string{
		"length":  "Content-Length: 5\r\n\r\nhell",
		"chunks":  "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"no end":  "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
		"nothing": "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := &echo{}
			conn, err := net.Dial("tcp4", startServer(t, backend))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /v1/call/s/p HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\n%s", body)
			_ = conn.(*net.TCPConn).CloseWrite()
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if answer, _ := io.ReadAll(conn); strings.Contains(string(answer), " 200 ") || backend.ran {
				t.Errorf("ran %v, answer %q", backend.ran, answer)
			}
		})
	}
}
