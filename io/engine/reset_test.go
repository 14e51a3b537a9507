package engine_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/sched"
	"cicadavalve/io/engine"
)

// earlyUpstream replies to each call before it has read the body, and then ends the connection as finish does. It returns its address.
func earlyUpstream(t *testing.T, reply string, finish func(c *net.TCPConn)) (addr string) {
	t.Helper()
	u, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.Close() })
	go func() {
		for {
			c, err := u.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.ReadFull(c, make([]byte, 32<<10))
				_, _ = fmt.Fprint(c, reply)
				time.Sleep(20 * time.Millisecond)
				finish(c.(*net.TCPConn))
			}()
		}
	}()
	return u.Addr().String()
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// halfClose ends one direction of a connection and reads the rest of the request.
func halfClose(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// endAndReset ends a connection in an orderly way, and resets it when more of the request arrives.
func endAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(20 * time.Millisecond)
	reset(c)
}

// TestResetReplyIsNotRecorded has a service begin its reply to a long call before it has read the call, and break off. The error of a
// reset may reach the write of the call alone; what was read by then must not be the reply to all calls with its key.
func TestResetReplyIsNotRecorded(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		size   int
		reply  string
		finish func(*net.TCPConn)
		whole  bool
		count  int
	}{
		"connection/reset":       {16 << 20, head + "\r\nbroken", reset, false, 20},
		"connection/ends":        {16 << 20, head + "\r\nbroken", endAndReset, false, 5},
		"connection/ends early":  {256 << 10, head + "\r\nbroken", endAndReset, false, 5},
		"connection/half closed": {16 << 20, head + "\r\nwhole", halfClose, true, 5},
		"connection/reads on":    {256 << 10, head + "\r\nwhole", halfClose, true, 5},
		"length/cut":             {16 << 20, head + "Content-Length: 7\r\n\r\nbroken", reset, false, 5},
		"chunks/cut":             {16 << 20, head + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n", reset, false, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, wrong := earlyUpstream(t, c.reply, c.finish), 0
			client := engine.NewHTTPClient(time.Second, 4)
			defer client.CloseIdle()
			for i := range c.count {
				reply, err := client.Call(t.Context(), engine.Target{Address: addr, FreshConnection: i%2 > 0}, engine.Call{
					Service: "booking", Path: "new", Key: "key", ContentType: "text/plain", Body: make([]byte, c.size),
				})
				switch {
				case c.whole && (err != nil || string(reply.Body) != "whole"):
					t.Log(err)
					wrong++
				case !c.whole && err == nil:
					wrong++
				case !c.whole:
					if diff := cmp.Diff(sched.CauseBroken, engine.Cause(err)); diff != "" {
						t.Errorf("cause (-want +got):\n%s", diff)
					}
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d replies were not judged whole %v", wrong, c.count, c.whole)
			}
		})
	}
}
