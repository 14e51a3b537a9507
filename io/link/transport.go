package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Transport is an [http.Transport] whose answers end by their connection only if their requests were received, as those of a
// [Pool] do.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that takes over base, which must have a DialContext.
//
//	client := &http.Client{Transport: link.NewTransport(&http.Transport{DialContext: link.Dial})}
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, addr string) (c net.Conn, err error) {
		if c, err = dial(ctx, network, addr); err != nil {
			return nil, err
		}
		return &endConn{Conn: c}, nil
	}
	return &Transport{base}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	s := sending{context: r.Context().Done()}
	trace := &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { s.begin(i.Conn) },
		WroteRequest: func(i httptrace.WroteRequestInfo) { s.end(i.Err) },
	}
	response, err = t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil && framing(response) == ByConnection {
		s.confirm()
	}
	return response, err
}

// sending is the write of a request by an [http.Transport], which may begin anew on another connection.
type sending struct {
	// context is closed when the exchange ends.
	context <-chan struct{}
	mu      sync.Mutex
	conn    *endConn
	// writer is nil before the request has a connection.
	writer *writer
	ended  bool
}

// begin records the connection on which the request is written.
func (s *sending) begin(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn, _ = c.(*endConn); s.conn == nil {
		return
	}
	s.conn.ending.Store(nil)
	s.writer, s.ended = &writer{conn: &conn{Conn: s.conn.Conn}, ended: s.context, done: make(chan struct{})}, false
	s.conn.sending.Store(s.writer)
}

// end records the outcome of the write.
func (s *sending) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer == nil || s.ended {
		return
	}
	s.ended, s.writer.err = true, err
	close(s.writer.done)
}

// confirm makes the end of the connection end the answer only if the request was received.
func (s *sending) confirm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.ending.Store(s.writer)
	}
}

// endConn is a connection whose orderly end may have to be confirmed.
type endConn struct {
	net.Conn
	// ending is the write of the request whose answer ends with the connection, nil if there is none.
	ending atomic.Pointer[writer]
	// sending is the write of the last request.
	sending atomic.Pointer[writer]
}

// Write implements [net.Conn].
func (c *endConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	if w := c.sending.Load(); w != nil {
		w.written.Add(int64(n))
	}
	return n, err
}

// Close implements [net.Conn]. A request that was not received by then has been abandoned.
func (c *endConn) Close() error {
	dropUnreceived(c.Conn)
	return c.Conn.Close()
}

// Read implements [net.Conn].
func (c *endConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if w := c.ending.Load(); w != nil && errors.Is(err, io.EOF) {
		err = w.confirmEnd()
	}
	return n, err
}
