package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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

// Server serves callers with timeouts that may change while it runs.
type Server struct {
	http                       *http.Server
	idleTimeout, headerTimeout atomic.Int64
}

// NewServer returns a server for a handler; [Server.Serve] starts it.
func NewServer(h http.Handler) *Server {
	s := &Server{}
	s.SetIdleTimeout(defaultIdleTimeout)
	s.SetHeaderTimeout(defaultHeaderTimeout)
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeader,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if own, ok := c.(*callerConn); ok {
				ctx = link.WithCaller(ctx, own.Conn)
			}
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*callerConn); ok {
				conn.observe(state)
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

// SetHeaderTimeout changes how long the header of a request may take; values that are not positive are ignored.
func (s *Server) SetHeaderTimeout(d time.Duration) {
	if d > 0 {
		s.headerTimeout.Store(int64(d))
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

// phase is what the next read deadline of a connection is for.
type phase int32

const (
	// inHeader is the phase before and within the header of a request.
	inHeader phase = iota
	// inRequest is the phase after it, in which the handler sets deadlines.
	inRequest
	// betweenRequests is the phase in which the connection is idle.
	betweenRequests
)

// callerConn applies the server's current timeouts.
type callerConn struct {
	net.Conn
	server *Server
	phase  atomic.Int32
}

// connKey is the key of a request's [callerConn] in its context.
type connKey struct{}

// resetOnClose sets whether the connection of a request ends with a reset, also if this process is killed.
func resetOnClose(r *http.Request, reset bool) (err error) {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return errors.New("connection of another server")
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.Newf("%T can't be reset", c.Conn)
	}
	linger := -1 // The default: what was written is sent, and then the end.
	if reset {
		linger = 0
	}
	return tcp.SetLinger(linger)
}

// observe follows the state that the server reports.
func (c *callerConn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.phase.Store(int32(inRequest))
	case http.StateIdle:
		c.phase.Store(int32(betweenRequests))
	}
}

// SetReadDeadline implements [net.Conn]. The server sets the deadline of an idle connection once, and then that of the
// next header.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || time.Until(t) <= time.Second {
		return c.Conn.SetReadDeadline(t)
	}
	switch phase(c.phase.Load()) {
	case inHeader:
		t = time.Now().Add(time.Duration(c.server.headerTimeout.Load()))
	case betweenRequests:
		t = time.Now().Add(time.Duration(c.server.idleTimeout.Load()))
		c.phase.Store(int32(inHeader))
	}
	return c.Conn.SetReadDeadline(t)
}
