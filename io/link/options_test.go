package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cicadavalve/io/link"
)

// TestConnectionsBearASilentUpstream reads how long a connection waits for a silent peer. The user timeout also ends keep-alive
// probing, whatever their count.
func TestConnectionsBearASilentUpstream(t *testing.T) {
	const silence, deadAfter = 2 * time.Second, 3 * time.Second
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := link.Dial(context.Background(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int, unit time.Duration) (d time.Duration) {
		controlErr := raw.Control(func(fd uintptr) {
			n, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			if err != nil {
				t.Error(err)
			}
			d = time.Duration(n) * unit
		})
		if controlErr != nil {
			t.Error(controlErr)
		}
		return d
	}
	probing := option(unix.TCP_KEEPIDLE, time.Second) + option(unix.TCP_KEEPCNT, option(unix.TCP_KEEPINTVL, time.Second))
	user := option(unix.TCP_USER_TIMEOUT, time.Millisecond)
	if ends := min(probing, user); ends < silence || ends > deadAfter {
		t.Errorf("a silent connection ends after %v (keep-alive %v, user timeout %v), want %v to %v", ends, probing, user, silence, deadAfter)
	}
}
