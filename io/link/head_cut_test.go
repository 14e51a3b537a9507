package link

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
)

// cutHeads are heads of answers, without the empty line that ends them.
var cutHeads = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Signed: s\r\nContent-Length: 120\r\n",
	"chunks":  "HTTP/1.1 200 OK\r\nX-Signed: s\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n",
	"neither": "HTTP/1.1 200 OK\r\nX-Signed: s\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\n",
	"folded":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Signed: s\r\nX-Note: a\r\n b\r\n\tc\r\nContent-Length: 0\r\n",
	"interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Signed: s\r\nContent-Length: 0\r\n",
	"bare":    "HTTP/1.1 200 OK\nRequest-Id: %s\nX-Signed: s\nContent-Length: 0\n",
	"long":    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Long: " + strings.Repeat("x", readBuffer) + "\r\nContent-Length: 0\r\n",
}

// TestHeadThatEndsEarlyIsNoAnswer lets an upstream end its connection at each byte of a head, in an orderly way or by a reset, in its first
// answer of a connection or in the second.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			cut, isReset := 0, false
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			serve := func(c net.Conn) {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := r.Header.Get("Request-Id")
					if strings.HasPrefix(id, "whole") {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
						continue
					}
					mu.Lock()
					n, isReset := cut, isReset
					mu.Unlock()
					_, _ = c.Write([]byte(fmt.Sprintf(head, id)[:n]))
					if isReset {
						reset(c.(*net.TCPConn))
					}
					return
				}
			}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serve(c)
				}
			}()
			whole, step := len(fmt.Sprintf(head, "cut-000")), 1
			if name == "long" {
				step = 97
			}
			pool, addr := NewPool(), l.Addr().String()
			// An exchange whose context ends keeps no connection.
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			do := func(id string) (a *Answer, err error) {
				return pool.Do(ctx, addr, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Request-Id": {id}}, IDHeader: "Request-Id", ID: id})
			}
			for _, kept := range []bool{false, true} {
				for _, reset := range []bool{false, true} {
					for n := 0; n <= whole; n += step {
						mu.Lock()
						cut, isReset = n, reset
						mu.Unlock()
						if kept {
							a, err := do(fmt.Sprint("whole", n))
							if err != nil {
								t.Fatal(err)
							}
							if _, err := io.Copy(io.Discard, a); err != nil {
								t.Fatal(err)
							}
							a.Close()
						}
						if a, err := do(fmt.Sprintf("cut-%03d", n%1000)); err == nil {
							t.Errorf("head cut after %d of %d bytes (kept %v, reset %v): status %d", n, whole, kept, reset, a.Status)
							a.Close()
						}
					}
				}
			}
			if _, reused := pool.Counts(); reused == 0 {
				t.Error("no connection was kept")
			}
		})
	}
}
