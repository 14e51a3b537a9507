package link

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
)

func newTestServer(t testing.TB) (addr string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// exchange makes one exchange and reads its answer whole.
func exchange(t testing.TB, p *Pool, addr string) {
	t.Helper()
	a, err := p.Do(t.Context(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if body, err := io.ReadAll(a); err != nil || string(body) != "ok" {
		t.Fatalf("body %q, error %v", body, err)
	}
}

// TestIdleConnectionsAreReused makes exchanges one after the other, each of which finds its predecessor's connection idle.
func TestIdleConnectionsAreReused(t *testing.T) {
	p, addr := NewPool(), newTestServer(t)
	for range 100 {
		exchange(t, p, addr)
	}
	if opened, reused := p.Counts(); opened != 1 || reused != 99 {
		t.Errorf("%d connections opened and %d reused", opened, reused)
	}
	p.Forget(addr)
}

func BenchmarkExchange(b *testing.B) {
	p, addr := NewPool(), newTestServer(b)
	for b.Loop() {
		exchange(b, p, addr)
	}
	p.Forget(addr)
}

// endlessReader reads a start and then a unit again and again, and counts what is read.
type endlessReader struct {
	start, unit []byte
	read        int
}

// Read implements [io.Reader].
func (r *endlessReader) Read(b []byte) (n int, err error) {
	if r.read < len(r.start) {
		n = copy(b, r.start[r.read:])
	} else if len(r.unit) == 0 {
		return 0, io.EOF
	} else {
		for n < len(b) {
			n += copy(b[n:], r.unit[(r.read+n-len(r.start))%len(r.unit):])
		}
	}
	r.read += n
	return n, nil
}

// maxRead is the most that may be read before an answer: heads, and bodies to discard with their chunk sizes, to which
// net/http allows half of the bytes and a little more.
const maxRead = maxForeignAnswers * (maxHead + readBuffer + 3*maxDrained)

// checkAnswer reads an answer out of bytes. It reports an answer to another request, one that is taken for complete with
// another length than it states, and reads without a bound. On a kept connection, only the id tells whose answer it is.
func checkAnswer(t *testing.T, start, unit []byte, kept bool) {
	t.Helper()
	source := &endlessReader{start: start, unit: unit}
	head := &headReader{Reader: source}
	server, client := net.Pipe()
	defer func() { _, _ = server.Close(), client.Close() }()
	c := &conn{Conn: client, reader: bufio.NewReaderSize(head, readBuffer), source: head}
	if kept {
		c.watch = &watch{}
	}
	a, err := NewPool().readAnswer(c, Request{Method: http.MethodGet, IDHeader: "Request-Id", ID: "r"})
	if source.read > maxRead+len(start) {
		t.Fatalf("%d bytes were read", source.read)
	}
	if err != nil {
		if !errors.Is(err, ErrGarbled) && !errors.Is(err, ErrBroken) {
			t.Fatalf("error of no kind: %v", err)
		}
		return
	}
	if id := a.Header.Get("Request-Id"); a.Status < http.StatusOK || id != "r" && (kept || id != "") {
		t.Fatalf("status %d, answer to %q", a.Status, id)
	}
	a.writer = &writer{conn: c, done: make(chan struct{})}
	close(a.writer.done)
	n, err := io.Copy(io.Discard, io.LimitReader(a, maxDrained))
	if hasBody := a.Status != http.StatusNoContent && a.Status != http.StatusNotModified; err == nil && a.complete && hasBody && a.Length >= 0 && n != a.Length {
		t.Fatalf("%d bytes of %d taken for the whole body", n, a.Length)
	}
}

// FuzzAnswer reads answers out of any bytes, after which others repeat without end.
func FuzzAnswer(f *testing.F) {
	signed := "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n"
	for _, seed := range [][2]string{
		{"", "x"}, {"HTTP/1.1 200 ", "x"}, {signed, "X-More: a\r\n"}, {signed + "X: ", "x"}, {"", "HTTP/1.1 103 A\r\n\r\n"},
		{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x"}, {signed + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{signed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: a\r\n"}, {signed + "Transfer-Encoding: chunked\r\n\r\n", "1"},
		{signed + "Content-Length: 5\r\n\r\nhello", "x"}, {signed + "Content-Length: 5\r\n\r\nhel", ""}, {signed + "\r\nhello", ""},
		{"HTTP/1.1 204 A\r\n\r\n", "x"}, {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		f.Add([]byte(seed[0]), []byte(seed[1]))
	}
	f.Fuzz(func(t *testing.T, start, unit []byte) {
		checkAnswer(t, start, unit, false)
		checkAnswer(t, start, unit, true)
	})
}
