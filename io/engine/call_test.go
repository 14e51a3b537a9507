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

// upstream counts the requests it reads and does to each connection what answer says.
type upstream struct {
	on net.Listener
	// answer writes the answer to the n-th request of a connection and reports whether to keep the connection.
	answer func(conn net.Conn, n int) bool
	mu     sync.Mutex
	calls  []string
	open   sync.WaitGroup
}

func startUpstream(t *testing.T, answer func(net.Conn, int) bool) *upstream {
	t.Helper()
	on, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{on: on, answer: answer}
	u.open.Go(u.run)
	t.Cleanup(func() {
		_ = on.Close()
		u.open.Wait()
	})
	return u
}

func (u *upstream) run() {
	for {
		conn, err := u.on.Accept()
		if err != nil {
			return
		}
		u.open.Go((&connection{u, conn}).run)
	}
}

type connection struct {
	u    *upstream
	conn net.Conn
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
		c.u.mu.Lock()
		c.u.calls = append(c.u.calls, req.Method+" "+req.URL.Path)
		c.u.mu.Unlock()
		if !c.u.answer(c.conn, n) {
			return
		}
	}
}

func (u *upstream) seen() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.calls...)
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func callOnce(t *testing.T, c *engine.HTTPClient, u *upstream, path, body string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := c.Call(ctx, engine.Target{Address: u.on.Addr().String()}, engine.Call{
		Service: "booking", Path: path, Key: "key", ContentType: "text/plain", Body: []byte(body),
	})
	return err
}

func TestCallOnAReusedConnectionThatBreaksIsSentOnce(t *testing.T) {
	for _, body := range []string{"load of compost", ""} {
		u := startUpstream(t, func(conn net.Conn, n int) bool {
			if n == 1 {
				_, _ = io.WriteString(conn, whole)
			}
			return n == 1
		})
		c := engine.NewHTTPClient(time.Second, 4)
		if err := callOnce(t, c, u, "first", body); err != nil {
			t.Fatal(err)
		}
		err := callOnce(t, c, u, "second", body)
		if diff := cmp.Diff(sched.CauseBroken, engine.Cause(err)); diff != "" {
			t.Errorf("cause (-want +got):\n%s", diff)
		}
		want := []string{"POST /call/booking/first", "POST /call/booking/second"}
		if diff := cmp.Diff(want, u.seen()); diff != "" {
			t.Errorf("requests with body %q (-want +got):\n%s", body, diff)
		}
		c.CloseIdle()
	}
}

func TestCallAfterAnIdleConnectionWasClosedIsSentOnce(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		_, _ = io.WriteString(conn, whole)
		return false
	})
	c := engine.NewHTTPClient(time.Second, 4)
	defer c.CloseIdle()
	var want []string
	for i := range 50 {
		path := fmt.Sprintf("call-%d", i)
		if err := callOnce(t, c, u, path, "x"); err != nil && engine.Cause(err) != sched.CauseBroken {
			t.Fatal(err)
		}
		want = append(want, "POST /call/booking/"+path)
	}
	count := map[string]int{}
	for _, call := range u.seen() {
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
			_ = callOnce(t, c, u, "first", body)
			if diff := cmp.Diff([]string{"POST /call/booking/first"}, u.seen()); diff != "" {
				t.Errorf("requests after status %d with body %q (-want +got):\n%s", status, body, diff)
			}
			c.CloseIdle()
		}
	}
}

func TestReplyThatIsTooLargeIsNotCutShort(t *testing.T) {
	const size = 2 << 20
	u := startUpstream(t, func(conn net.Conn, _ int) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = io.WriteString(conn, strings.Repeat("x", size))
		return false
	})
	c := engine.NewHTTPClient(time.Second, 4)
	defer c.CloseIdle()
	err := callOnce(t, c, u, "large", "x")
	if diff := cmp.Diff(sched.CauseBroken, engine.Cause(err)); err == nil || diff != "" {
		t.Errorf("error %v, cause (-want +got):\n%s", err, diff)
	}
}
