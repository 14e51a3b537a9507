package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/sched"
	"cicadavalve/io/engine"
)

// upstream is a TCP server that records the requests it reads and lets answer reply to each.
type upstream struct {
	listener net.Listener
	// answer replies to the n-th request of a connection, counted from 1, and reports whether to keep the connection.
	answer   func(conn net.Conn, n int) bool
	mu       sync.Mutex
	requests []string
	running  sync.WaitGroup
}

func startUpstream(t *testing.T, answer func(net.Conn, int) bool) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: listener, answer: answer}
	u.running.Go(u.run)
	t.Cleanup(func() {
		_ = listener.Close()
		u.running.Wait()
	})
	return u
}

func (u *upstream) run() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.running.Go((&connection{u, conn}).run)
	}
}

type connection struct {
	upstream *upstream
	conn     net.Conn
}

func (c *connection) run() {
	defer func() { _ = c.conn.Close() }()
	r := bufio.NewReader(c.conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		c.upstream.mu.Lock()
		c.upstream.requests = append(c.upstream.requests, req.Method+" "+req.URL.Path)
		c.upstream.mu.Unlock()
		if !c.upstream.answer(c.conn, n) {
			return
		}
	}
}

func (u *upstream) received() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.requests...)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func sendCall(t *testing.T, c *engine.HTTPClient, u *upstream, path, body string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := c.Call(ctx, engine.Target{Address: u.listener.Addr().String()}, engine.Call{
		Service: "booking", Path: path, Key: "key", ContentType: "text/plain", Body: []byte(body),
	})
	return err
}

// TestCallIsNotResentAfterReusedConnectionBreaks closes a reused connection after the second request was read:
// net/http must not resend the call, which may have run.
func TestCallIsNotResentAfterReusedConnectionBreaks(t *testing.T) {
	for _, body := range []string{"load of compost", ""} {
		u := startUpstream(t, func(conn net.Conn, n int) bool {
			if n == 1 {
				_, _ = io.WriteString(conn, okResponse)
			}
			return n == 1
		})
		c := engine.NewHTTPClient(time.Second, 4)
		if err := sendCall(t, c, u, "first", body); err != nil {
			t.Fatal(err)
		}
		err := sendCall(t, c, u, "second", body)
		if diff := cmp.Diff(sched.CauseBroken, engine.Cause(err)); diff != "" {
			t.Errorf("cause (-want +got):\n%s", diff)
		}
		want := []string{"POST /call/booking/first", "POST /call/booking/second"}
		if diff := cmp.Diff(want, u.received()); diff != "" {
			t.Errorf("requests with body %q (-want +got):\n%s", body, diff)
		}
		c.CloseIdle()
	}
}

// TestCallIsNotResentAfterIdleConnectionCloses sends calls to an upstream that closes each connection after one
// reply, so that the next call may be written to a closing connection: none may be read twice.
func TestCallIsNotResentAfterIdleConnectionCloses(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		_, _ = io.WriteString(conn, okResponse)
		return false
	})
	c := engine.NewHTTPClient(time.Second, 4)
	defer c.CloseIdle()
	var want []string
	for i := range 50 {
		path := fmt.Sprintf("call-%d", i)
		if err := sendCall(t, c, u, path, "x"); err != nil && engine.Cause(err) != sched.CauseBroken {
			t.Fatal(err)
		}
		want = append(want, "POST /call/booking/"+path)
	}
	count := map[string]int{}
	for _, call := range u.received() {
		count[call]++
	}
	for _, call := range want {
		if count[call] > 1 {
			t.Errorf("%s was read %d times", call, count[call])
		}
	}
}

func TestCallFollowsNoRedirect(t *testing.T) {
	for _, body := range []string{"load of compost", ""} {
		for _, status := range []int{301, 302, 303, 307, 308} {
			u := startUpstream(t, func(conn net.Conn, _ int) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Moved\r\nLocation: /call/booking/again\r\nContent-Length: 0\r\n\r\n", status)
				return true
			})
			c := engine.NewHTTPClient(time.Second, 4)
			_ = sendCall(t, c, u, "first", body)
			if diff := cmp.Diff([]string{"POST /call/booking/first"}, u.received()); diff != "" {
				t.Errorf("requests after status %d with body %q (-want +got):\n%s", status, body, diff)
			}
			c.CloseIdle()
		}
	}
}

// TestOversizedReplyIsAnError guards against returning the first part of a reply over the limit as the whole.
func TestOversizedReplyIsAnError(t *testing.T) {
	const size = 2 << 20
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = io.WriteString(conn, strings.Repeat("x", size))
		return false
	})
	c := engine.NewHTTPClient(time.Second, 4)
	defer c.CloseIdle()
	err := sendCall(t, c, u, "large", "x")
	if diff := cmp.Diff(sched.CauseBroken, engine.Cause(err)); err == nil || diff != "" {
		t.Errorf("error %v, cause (-want +got):\n%s", err, diff)
	}
}
