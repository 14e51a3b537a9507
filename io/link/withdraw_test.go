package link_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"cicadavalve/io/link"
)

// TestWithdrawnRequestIsNotWritten opens a connection for a request that is then not approved.
func TestWithdrawnRequestIsNotWritten(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	received := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			received <- -1
			return
		}
		b, _ := io.ReadAll(c)
		received <- len(b)
	}()
	r := link.Request{Method: "GET", Target: "/", Host: "a", Approve: func() bool { return false }}
	if _, err := link.NewPool().Do(context.Background(), l.Addr().String(), r); !errors.Is(err, link.ErrWithdrawn) {
		t.Errorf("error %v, want ErrWithdrawn", err)
	}
	if n := <-received; n != 0 {
		t.Errorf("%d bytes were written", n)
	}
}
