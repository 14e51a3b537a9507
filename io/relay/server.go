package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cicadavalve/io/link"
)

const (
	// defaultIdle is how long a caller's connection may stay unused where no configuration says so.
	defaultIdle = 15 * time.Second
	// defaultHeader is how long the head of a request may take where no configuration says so.
	defaultHeader = 3 * time.Second
	// mostHeader bounds the head of a request before the configuration's own limit is applied, in bytes.
	mostHeader = 64 << 10
)

// Server serves callers with limits that may change while it runs.
type Server struct {
	http *http.Server
	idle atomic.Int64
}

// NewServer serves a handler.
func NewServer(h http.Handler) *Server {
	s := &Server{}
	s.SetIdle(defaultIdle)
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeader, IdleTimeout: defaultIdle, MaxHeaderBytes: mostHeader,
		ConnState: func(c net.Conn, state http.ConnState) {
			if held, ok := c.(*callerConn); ok {
				held.unused.Store(state == http.StateIdle)
			}
		},
	}
	return s
}

// SetIdle changes how long a connection may stay unused.
func (s *Server) SetIdle(d time.Duration) {
	if d > 0 {
		s.idle.Store(int64(d))
	}
}

// HTTP is the server beneath.
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

// callerConn applies the idle time of the moment.
type callerConn struct {
	net.Conn
	server *Server
	unused atomic.Bool
}

// SetReadDeadline implements [net.Conn].
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.unused.Load() && !t.IsZero() && time.Until(t) > time.Second {
		t = time.Now().Add(time.Duration(c.server.idle.Load()))
	}
	return c.Conn.SetReadDeadline(t)
}
