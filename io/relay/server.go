package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cicadavalve/io/link"
)

const (
	// defaultIdleTimeout is how long a caller's connection may stay idle before a configuration sets the limit.
	defaultIdleTimeout = 15 * time.Second
	// defaultHeaderTimeout bounds the read of a request header.
	defaultHeaderTimeout = 3 * time.Second
	// maxHeader bounds a request header before the limit of the configuration is applied, in bytes.
	maxHeader = 64 << 10
)

// Server serves callers with an idle timeout that may change while it runs.
type Server struct {
	http        *http.Server
	idleTimeout atomic.Int64
}

// NewServer returns a server for a handler; [Server.Serve] starts it.
func NewServer(h http.Handler) *Server {
	s := &Server{}
	s.SetIdleTimeout(defaultIdleTimeout)
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeader,
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*callerConn); ok {
				conn.idle.Store(state == http.StateIdle)
			}
		},
	}
	return s
}

// SetIdleTimeout changes how long a connection may stay idle; values that are not positive are ignored.
func (s *Server) SetIdleTimeout(d time.Duration) {
	if d > 0 {
		s.idleTimeout.Store(int64(d))
	}
}

// HTTP returns the underlying server.
func (s *Server) HTTP() *http.Server { return s.http }

// Serve accepts connections until the server is shut down.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{Listener: l, server: s}) }

type listener struct {
	net.Listener
	server *Server
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetKeepAliveConfig(link.KeepAlive()); err != nil {
			_ = c.Close()
			return l.Accept()
		}
	}
	return &callerConn{Conn: c, server: l.server}, nil
}

// callerConn applies the server's current idle timeout.
type callerConn struct {
	net.Conn
	server *Server
	idle   atomic.Bool
}

// SetReadDeadline implements [net.Conn].
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.idle.Load() && !t.IsZero() && time.Until(t) > time.Second {
		t = time.Now().Add(time.Duration(c.server.idleTimeout.Load()))
	}
	return c.Conn.SetReadDeadline(t)
}
