package bench

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// linkTimeout bounds the opening of a connection to an upstream.
const linkTimeout = 500 * time.Millisecond

// links are the connections of an entry to upstreams.
type links struct {
	dialer net.Dialer
	broken atomic.Bool
}

func newLinks() *links { return &links{dialer: net.Dialer{Timeout: linkTimeout}} }

func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: c, links: l}, nil
}

// linkConn is one of them.
type linkConn struct {
	net.Conn
	links *links
}

// Write implements [net.Conn]. While the links are broken, nothing of what it is given arrives.
func (c *linkConn) Write(b []byte) (n int, err error) {
	if c.links.broken.Load() {
		_ = c.Close()
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements [net.Conn].
func (c *linkConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if c.links.broken.Load() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}
