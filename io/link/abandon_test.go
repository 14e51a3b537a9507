package link_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/io/link"
)

// TestAbandonedRequestIsNotDelivered abandons a long request while its upstream reads nothing, as behind a full link. The upstream must not
// receive the rest afterwards.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	t.Parallel()
	body := bytes.Repeat([]byte("x"), 512<<10)
	pool := link.NewPool()
	client := &http.Client{Transport: link.NewTransport(&http.Transport{DialContext: link.Dial})}
	tests := map[string]func(ctx context.Context, addr string){
		"pool": func(ctx context.Context, addr string) {
			answer, err := pool.Do(ctx, addr, link.Request{Method: http.MethodPost, Target: "/", Host: "a", Body: body, HasBody: true})
			if err == nil {
				answer.Close()
			}
			var abandoned *link.AbandonedError
			if !errors.As(err, &abandoned) || abandoned.Unacked == 0 {
				t.Errorf("error %v without a number of unacknowledged bytes", err)
			}
		},
		"transport": func(ctx context.Context, addr string) {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", bytes.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			if response, err := client.Do(r); err == nil {
				_ = response.Body.Close()
			}
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
				return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
			}}
			l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			ctx, abandon := context.WithCancel(t.Context())
			time.AfterFunc(200*time.Millisecond, abandon)
			send(ctx, l.Addr().String())
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if got, err := io.ReadAll(r.Body); err == nil {
				t.Errorf("the whole request was delivered, with %d bytes", len(got))
			}
		})
	}
}
