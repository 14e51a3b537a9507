package link

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// longBody does not fit the buffers of a connection, so that it is still being written when its answer ends.
	longBody = 16 << 20
	// bufferedBody fits them, so that its write ends before it is received.
	bufferedBody = 512 << 10
)

// earlyUpstream answers each request before it has read the body, and then ends the connection as finish does.
func earlyUpstream(t *testing.T, answer []string, finish func(c *net.TCPConn)) (addr string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = c.Close() }()
				_, _ = io.ReadFull(c, make([]byte, 64<<10))
				for i, piece := range answer {
					time.Sleep(time.Duration(5*i) * time.Millisecond)
					_, _ = fmt.Fprint(c, piece)
				}
				time.Sleep(10 * time.Millisecond)
				finish(c.(*net.TCPConn))
			})
		}
	})
	return l.Addr().String()
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// endAndReset ends a connection in an orderly way, and resets it when more of the request arrives, as the system does for a process
// that has ended.
func endAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(20 * time.Millisecond)
	reset(c)
}

// halfClose ends one direction of a connection, and reads the rest of the request.
func halfClose(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// stopReading ends one direction of a connection, and reads no more of the other.
func stopReading(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(4 * endTimeout)
}

// earlyAnswer is an answer to a request of a size that ends in some way before the request was read.
type earlyAnswer struct {
	size   int
	answer []string
	finish func(*net.TCPConn)
	// complete is whether the answer, of the content "onetwo", is.
	complete bool
	// count is how often it is played.
	count int
}

// earlyAnswers returns answers that begin with a status line and headers.
func earlyAnswers(head string) map[string]earlyAnswer {
	plain := []string{head + "\r\n", "one", "two"}
	return map[string]earlyAnswer{
		"connection/reset":         {longBody, plain, reset, false, 20},
		"connection/ends":          {longBody, plain, endAndReset, false, 5},
		"connection/ends early":    {bufferedBody, plain, endAndReset, false, 5},
		"connection/half closed":   {longBody, plain, halfClose, true, 5},
		"connection/reads on":      {bufferedBody, plain, halfClose, true, 5},
		"connection/stops reading": {longBody, plain, stopReading, false, 2},
		"connection/stops early":   {bufferedBody, plain, stopReading, false, 2},
		"length/reads on":          {longBody, []string{head + "Content-Length: 6\r\n\r\n", "one", "two"}, halfClose, true, 5},
		"length/cut":               {longBody, []string{head + "Content-Length: 7\r\n\r\n", "one", "two"}, reset, false, 20},
		"chunks/cut":               {longBody, []string{head + "Transfer-Encoding: chunked\r\n\r\n", "3\r\none\r\n", "3\r\ntwo\r\n"}, reset, false, 20},
	}
}

// TestResetAnswerIsNotComplete has an upstream answer a long request before it has read it. The reset that follows may reach the
// write of the request instead of the read of the answer.
func TestResetAnswerIsNotComplete(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n"
	cases := earlyAnswers(head)
	cases["length/reset"] = earlyAnswer{longBody, []string{head + "Content-Length: 6\r\n\r\n", "one", "two"}, reset, true, 20}
	cases["chunks/reset"] = earlyAnswer{longBody, []string{head + "Transfer-Encoding: chunked\r\n\r\n", "3\r\none\r\n", "3\r\ntwo\r\n0\r\n\r\n"}, reset, true, 20}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, wrong := earlyUpstream(t, c.answer, c.finish), 0
			for range c.count {
				a, err := NewPool().Do(t.Context(), addr, Request{
					Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, c.size), HasBody: true, IDHeader: "Request-Id", ID: "r",
				})
				if err != nil {
					// The reset may arrive before the head is read. Its data is lost then.
					if c.complete {
						wrong++
					}
					continue
				}
				body, err := io.ReadAll(a)
				if complete := err == nil; complete != c.complete || c.complete && string(body) != "onetwo" {
					wrong++
				}
				a.Close()
			}
			if wrong > 0 {
				t.Errorf("%d of %d answers were not judged complete %v", wrong, c.count, c.complete)
			}
		})
	}
}

// TestEndOfConnectionNeedsBothDirections ends the body of an answer in an orderly way, with its request in each state.
func TestEndOfConnectionNeedsBothDirections(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	close(ended)
	cases := map[string]struct {
		framing  Framing
		done     chan struct{}
		err      error
		complete bool
	}{
		"connection/written":       {ByConnection, ended, nil, true},
		"connection/reset":         {ByConnection, ended, syscall.ECONNRESET, false},
		"connection/still written": {ByConnection, make(chan struct{}), nil, false},
		"length/reset":             {ByLength, ended, syscall.ECONNRESET, true},
		"length/still written":     {ByLength, make(chan struct{}), nil, true},
		"chunks/reset":             {ByChunks, ended, syscall.ECONNRESET, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := net.Pipe()
			defer func() { _, _ = client.Close(), server.Close() }()
			w := &writer{conn: &conn{Conn: client}, done: c.done, err: c.err}
			if c.done != ended {
				w.body = make([]byte, longBody)
				w.start()
			}
			a := &Answer{Framing: c.framing, Body: http.NoBody, conn: w.conn, writer: w}
			began := time.Now()
			_, err := a.Read(make([]byte, 1))
			if complete := errors.Is(err, io.EOF); complete != c.complete {
				t.Errorf("error %v, want complete %v", err, c.complete)
			}
			if c.err != nil && !c.complete && !errors.Is(err, c.err) {
				t.Errorf("error %v, want that of the write", err)
			}
			if waited := time.Since(began); waited > 4*endTimeout {
				t.Errorf("waited %v for the write", waited)
			}
		})
	}
}
