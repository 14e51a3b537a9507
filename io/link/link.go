// Package link keeps connections to upstreams and exchanges one request at a time on each.
//
// It differs from net/http's Transport so that an upstream's faults don't reach a caller: an answer to another request
// is discarded, a connection with bytes after a complete answer is closed, no connection carries two requests with one
// id, and the error reports whether any byte of the request may have been sent.
package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"cicadavalve/io/clock"
)

const (
	// dialTimeout bounds the opening of a connection: many round trips, but less than the retransmission timeout of a
	// lost SYN.
	dialTimeout = 600 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection counts as dead.
	unackedTimeout = 2500 * time.Millisecond
	// keepAliveInterval is the interval of TCP keep-alive probes on a connection without traffic.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which the connection counts as dead.
	keepAliveCount = 2
	// defaultIdleTimeout is how long an idle connection is kept if the upstream states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that an upstream states, since the upstream's timer started earlier.
	idleMargin = 1200 * time.Millisecond
	// maxForeignAnswers is how many interim answers and answers to other requests are discarded before the exchange
	// fails.
	maxForeignAnswers = 3
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
	// maxDrained is the maximum size of a body that is read and discarded, in bytes.
	maxDrained = 1 << 20
	// discardTimeout bounds the wait for a body that is discarded. It arrives with its head unless the upstream is at
	// fault; a new connection then costs less than the wait.
	discardTimeout = 50 * time.Millisecond
	// maxHead is the maximum size of the head of an answer, in bytes.
	maxHead = 64 << 10
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("request not sent")
	// ErrWithdrawn means that the request was no longer to be sent once a connection was open. No byte of it was written.
	ErrWithdrawn = errors.New("request withdrawn before it was sent")
	// ErrBroken means that the connection ended before the head of an answer.
	ErrBroken = errors.New("connection broken before the answer")
	// ErrGarbled means that the upstream sent something other than an answer to the request.
	ErrGarbled = errors.New("answer is malformed")
	// errOldFraming means that an answer of HTTP/1.0 has no length.
	errOldFraming = errors.New("answer of HTTP/1.0 without a length")
	errLongHead   = errors.New("head of an answer exceeds the maximum size")
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the request has a body, which may be empty.
	HasBody bool
	// IDHeader names the header whose value the answer repeats; ID is that value.
	IDHeader string
	ID       string
	// Approve, if set, reports whether the request is still to be sent. It is called right before the first byte is written, and may
	// change the values of Header.
	Approve func() bool
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts new connections; reused counts idle connections taken out of the pool.
	opened, reused int
	dial           DialFunc
}

// DialFunc opens a connection, as [Dial] does.
type DialFunc func(ctx context.Context, network, addr string) (c net.Conn, err error)

// Option sets one property of a [Pool].
type Option func(*Pool)

// WithDial sets what opens the connections, in place of [Dial]. They must be sockets.
func WithDial(dial DialFunc) Option {
	return func(p *Pool) { p.dial = dial }
}

// NewPool returns an empty pool.
//
//	p := link.NewPool()
//	answer, err := p.Do(ctx, "10.0.0.1:80", link.Request{Method: "GET", Target: "/", Host: "a"})
func NewPool(options ...Option) *Pool {
	p := &Pool{idle: map[string][]*conn{}, dial: Dial}
	for _, o := range options {
		o(p)
	}
	return p
}

// conn is one connection. It serves one exchange at a time.
type conn struct {
	net.Conn
	// reader reads from source.
	reader *bufio.Reader
	source *headReader
	// expiresAt is when an idle connection must no longer be used.
	expiresAt time.Time
	// watch is that of an idle connection, nil before it was idle.
	watch *watch
	// carried are the requests for which the connection was used.
	carried idRing
	// unacked is how much of the last request was not acknowledged when the exchange was abandoned, in bytes.
	unacked atomic.Int64
}

// Answer is the head of an answer and its body. The caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Framing is what marks the end of the body.
	Framing Framing
	// Opened is set if a connection was opened for the exchange.
	Opened      bool
	pool        *Pool
	conn        *conn
	addr        string
	stop        func() bool
	writer      *writer
	idleTimeout time.Duration
	complete    bool
	err         error
}

// Do sends a request and reads the head of its answer. The context bounds the whole exchange, including the body.
func (p *Pool) Do(ctx context.Context, addr string, r Request) (a *Answer, err error) {
	c, err := p.acquire(ctx, addr, r.ID)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil || r.Approve != nil && !r.Approve() {
		_ = c.Close()
		return nil, ErrWithdrawn
	}
	stop := context.AfterFunc(ctx, c.abandon)
	w := &writer{conn: c, head: head(r), body: r.Body, ended: ctx.Done(), done: make(chan struct{})}
	w.start()
	a, err = p.readAnswer(c, r)
	if err != nil {
		stop()
		c.abandon()
		if ctx.Err() != nil {
			err = &AbandonedError{Unacked: int(c.unacked.Load()), cause: errors.CombineErrors(ctx.Err(), err)}
		}
		return nil, err
	}
	a.addr, a.stop, a.writer, a.Opened = addr, stop, w, c.watch == nil
	return a, nil
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

func head(r Request) []byte {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return []byte(b.String())
}

// writer sends a request concurrently with the read of its answer, since an upstream may answer before it has read a
// long body.
type writer struct {
	conn *conn
	head []byte
	body []byte
	// written is the number of bytes that were written of a long request.
	written atomic.Int64
	// ended is closed when the exchange ends, nil if it does not by itself.
	ended <-chan struct{}
	// done is closed after the write; err is its error then.
	done chan struct{}
	err  error
}

const (
	// maxInlineBody is the longest body that is sent before the answer is read, in bytes: it fits a connection's send and
	// receive windows, so that the write does not block.
	maxInlineBody = 8 << 10
	// writePiece is the size of the pieces in which a longer one is written, in bytes.
	writePiece = 64 << 10
)

func (w *writer) start() {
	if len(w.body) <= maxInlineBody {
		w.run()
		return
	}
	go w.run()
}

func (w *writer) run() {
	defer close(w.done)
	if len(w.body) <= maxInlineBody {
		_, w.err = w.conn.Write(append(w.head, w.body...))
		return
	}
	first := min(len(w.body), writePiece)
	buffers := net.Buffers{w.head, w.body[:first]}
	n, err := buffers.WriteTo(w.conn.Conn)
	w.written.Add(n)
	for rest := w.body[first:]; err == nil && len(rest) > 0; {
		var n int
		n, err = w.conn.Write(rest[:min(len(rest), writePiece)])
		w.written.Add(int64(n))
		rest = rest[n:]
	}
	w.err = err
}

// readAnswer reads the head of the answer to a request, and discards interim answers and answers to other requests.
func (p *Pool) readAnswer(c *conn, r Request) (a *Answer, err error) {
	defer func() {
		switch {
		case err == nil:
		case isNetwork(err):
			err = errors.Mark(err, ErrBroken)
		default:
			err = errors.Mark(err, ErrGarbled)
		}
	}()
	inStep := c.watch == nil
	discarded := false
	for range maxForeignAnswers {
		c.source.begin()
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.source.end()
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		identity := identify(response, r)
		switch {
		case !inStep && isJoined(response), identity == ambiguous:
			return nil, errJoined
		case identity == foreign, identity == anonymous && !inStep:
			if err := discard(response); err != nil {
				return nil, err
			}
			inStep, discarded = false, true
			continue
		}
		if !response.ProtoAtLeast(1, 1) && framing(response) == ByConnection {
			// The parser ignores chunks here, so that their sizes would be passed on as content.
			return nil, errOldFraming
		}
		a = &Answer{
			Status: response.StatusCode, Header: response.Header, Body: response.Body, Length: response.ContentLength,
			Framing: framing(response), pool: p, conn: c, idleTimeout: idleTimeout(response),
		}
		if discarded || identity == anonymous {
			a.idleTimeout = 0
		}
		return a, nil
	}
	return nil, errors.New("only answers to other requests received")
}

// isNetwork reports whether an error means that the connection ended, rather than that the answer is malformed.
func isNetwork(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// idleTimeout returns how long the connection may be kept idle after a response, zero if it must be closed.
func idleTimeout(response *http.Response) time.Duration {
	if response.Close || response.ProtoAtLeast(1, 1) && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return 0
	}
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// Read reads the body. It returns [io.EOF] only at the end of the answer. The connection can be reused only after that.
func (a *Answer) Read(b []byte) (n int, err error) {
	if a.err != nil {
		return 0, a.err
	}
	n, err = a.Body.Read(b)
	if errors.Is(err, io.EOF) && a.Framing == ByConnection && !a.complete {
		err = a.writer.confirmEnd()
	}
	if errors.Is(err, io.EOF) {
		a.complete = true
	} else if err != nil {
		a.err = err
	}
	return n, err
}

// Discard reads what is left of the body, so that the connection can be reused. It gives up on a body that is long or
// slow; the connection can then not be used any more.
func (a *Answer) Discard() (err error) {
	timer := time.AfterFunc(discardTimeout, func() { _ = a.conn.Close() })
	_, err = io.CopyN(io.Discard, a, maxDrained)
	if !timer.Stop() {
		a.complete = false
	}
	if a.complete {
		return nil
	}
	return errors.CombineErrors(errors.New("body is too long or too slow to discard"), err)
}

// Close ends the exchange. It keeps the connection if the request was written and the answer read completely, and
// closes it otherwise.
func (a *Answer) Close() {
	stopped := a.stop()
	switch {
	case !stopped, !a.complete:
		a.conn.abandon()
		return
	case !a.Written(), a.idleTimeout <= 0, a.conn.reader.Buffered() > 0:
		_ = a.conn.Close()
		return
	}
	a.pool.release(a.addr, a.conn, a.idleTimeout)
}

// Written reports whether the whole request has been written.
func (a *Answer) Written() (ok bool) {
	select {
	case <-a.writer.done:
		return a.writer.err == nil
	default:
		return false
	}
}

// acquire returns a connection for a request: an idle one that is still usable and carried none with the same id, or a
// new one.
func (p *Pool) acquire(ctx context.Context, addr, id string) (c *conn, err error) {
	for {
		c := p.pop(addr, id)
		if c == nil {
			break
		}
		if c.unwatch() && clock.Now().Before(c.expiresAt) {
			c.carried.add(id)
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	p.countOpened()
	source := &headReader{Reader: raw}
	c = &conn{Conn: raw, reader: bufio.NewReaderSize(source, readBuffer), source: source}
	c.carried.add(id)
	return c, nil
}

func (p *Pool) countOpened() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
}

// Dial opens a connection that fails if the other side stops responding.
func Dial(ctx context.Context, network, addr string) (c net.Conn, err error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setOptions, KeepAliveConfig: KeepAlive()}
	return dialer.DialContext(ctx, network, addr)
}

// KeepAlive returns the keep-alive settings with which dead connections are detected.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}
}

func setOptions(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(controlErr, err)
}

// pop takes out the connection that has been idle for the shortest time of those that carried no request with an id.
func (p *Pool) pop(addr, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if !c.carried.contains(id) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			p.reused++
			return c
		}
	}
	return nil
}

func (p *Pool) release(addr string, c *conn, idleTimeout time.Duration) {
	c.expiresAt = clock.Now().Add(idleTimeout)
	c.watch = newWatch(p, addr, c)
	p.addIdle(addr, c)
	go c.watch.run()
}

func (p *Pool) addIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

// drop removes a connection that is no longer usable from the idle ones.
func (p *Pool) drop(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = slices.DeleteFunc(p.idle[addr], func(other *conn) bool { return other == c })
	if len(p.idle[addr]) == 0 {
		delete(p.idle, addr)
	}
}

// Sweep closes idle connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// Counts returns how many connections were opened and reused.
func (p *Pool) Counts() (opened, reused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}
