package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// exchangeEarly sends a long request to an upstream that answers it early, without a length.
func exchangeEarly(ctx context.Context, t *testing.T, size int, finish func(*net.TCPConn)) (a *Answer) {
	t.Helper()
	addr := earlyUpstream(t, []string{"HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n", "one", "two"}, finish)
	a, err := NewPool().Do(ctx, addr, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size), HasBody: true, IDHeader: "Request-Id", ID: "r",
	})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestWaitForTheEndIsBoundedByTheExchange ends the context of an exchange while its end is confirmed.
func TestWaitForTheEndIsBoundedByTheExchange(t *testing.T) {
	t.Parallel()
	const timeout = 200 * time.Millisecond
	for name, size := range map[string]int{"written": bufferedBody, "still written": longBody} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			began := time.Now()
			a := exchangeEarly(ctx, t, size, stopReading)
			defer a.Close()
			_, err := io.ReadAll(a)
			if waited := time.Since(began); err == nil || waited > timeout+endTimeout/2 {
				t.Errorf("ended after %v with error %v, want an error after %v", waited, err, timeout)
			}
		})
	}
}

// TestEndThatWasNotConfirmedStaysSo reads an answer again after its end was not confirmed. The pending error of the connection
// is reported once only.
func TestEndThatWasNotConfirmedStaysSo(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		size   int
		finish func(*net.TCPConn)
	}{
		"ends early": {bufferedBody, endAndReset}, "reset": {longBody, reset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := exchangeEarly(t.Context(), t, c.size, c.finish)
			defer a.Close()
			if _, err := io.ReadAll(a); err == nil {
				t.Fatal("the end was confirmed")
			}
			time.Sleep(endTimeout)
			if _, err := a.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				t.Error("the next read reports a complete answer")
			}
		})
	}
}

// TestAnswerToASlowUploadIsComplete has an upstream answer early, end its direction, and read the whole request steadily but
// for longer than the wait for its end.
func TestAnswerToASlowUploadIsComplete(t *testing.T) {
	t.Parallel()
	a := exchangeEarly(t.Context(), t, longBody, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		for b := make([]byte, 1<<20); ; time.Sleep(100 * time.Millisecond) {
			if _, err := io.ReadFull(c, b); err != nil {
				return
			}
		}
	})
	defer a.Close()
	if body, err := io.ReadAll(a); err != nil {
		t.Errorf("answer %q ended with %v; nothing was reset", body, err)
	}
}

// TestChunksOfOldAnswersAreMalformed has an upstream send chunks in an answer of HTTP/1.0, whose framing is faulty by RFC 9112,
// section 6.1, and end the connection before the last chunk.
func TestChunksOfOldAnswersAreMalformed(t *testing.T) {
	t.Parallel()
	addr := earlyUpstream(t, []string{"HTTP/1.0 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n"}, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	a, err := NewPool().Do(t.Context(), addr, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 80<<10), HasBody: true, IDHeader: "Request-Id", ID: "r",
	})
	if err != nil {
		return
	}
	defer a.Close()
	if body, err := io.ReadAll(a); err == nil {
		t.Errorf("answer %q, framed by %s, is complete", body, a.Framing)
	}
}
