// Package link keeps connections to upstreams and exchanges one request at a time on each.
//
// It differs from net/http's Transport where an upstream's faults must not reach a caller: an answer that belongs
// to another request is read and dropped, bytes after a whole answer end the connection, and the caller learns
// whether any byte of its request may have been sent.
package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTime bounds a new connection: many round trips, and less than the resend of a lost first packet.
	dialTime = 600 * time.Millisecond
	// silentTime is how long sent bytes may stay unacknowledged before a connection counts as dead.
	silentTime = 2500 * time.Millisecond
	// keepAlive is the interval of probes on a connection without traffic.
	keepAlive = time.Second
	// keepAliveCount is how many probes may fail.
	keepAliveCount = 2
	// idleTime is how long an unused connection is kept where the upstream states no time.
	idleTime = 4 * time.Second
	// idleMargin is kept from the time that an upstream states, since its clock started earlier.
	idleMargin = 1200 * time.Millisecond
	// mostForeign is how many answers to other requests are dropped before a connection is given up.
	mostForeign = 3
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
	// mostDrained is how much of an answer to another request is read to get past it, in bytes.
	mostDrained = 1 << 20
)

// The errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken means that the connection ended before the head of an answer.
	ErrBroken = errors.New("connection broken before the answer")
	// ErrGarbled means that the upstream sent what is no answer to the request.
	ErrGarbled = errors.New("answer is malformed")
)

// Request is what goes to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// IDHeader names the header whose value the answer repeats; ID is that value.
	IDHeader string
	ID       string
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts new connections, reused those taken from the pool.
	opened, reused int
}

// NewPool is empty.
//
//	p := link.NewPool()
//	answer, err := p.Do(ctx, "10.0.0.1:80", link.Request{Method: "GET", Target: "/", Host: "a"})
func NewPool() *Pool { return &Pool{idle: map[string][]*conn{}} }

// conn is one connection. It serves one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when it is closed if it stays unused.
	until time.Time
}

// Answer is the head of an answer and its body. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, -1 if unknown.
	Length int64
	pool   *Pool
	conn   *conn
	addr   string
	stop   func() bool
	writer *writer
	keep   time.Duration
	whole  bool
	err    error
}

// Do sends a request and reads the head of its answer. The context ends the whole exchange, body included.
func (p *Pool) Do(ctx context.Context, addr string, r Request) (a *Answer, err error) {
	c, err := p.take(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(longAgo) })
	w := &writer{conn: c, head: head(r), body: r.Body, done: make(chan struct{})}
	w.start()
	a, err = p.answer(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			return nil, errors.CombineErrors(ctx.Err(), err)
		}
		return nil, err
	}
	a.addr, a.stop, a.writer = addr, stop, w
	return a, nil
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

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

// writer sends a request while its answer is read, since an upstream may answer before it has read a long body.
type writer struct {
	conn *conn
	head []byte
	body []byte
	done chan struct{}
	err  error
}

// inlineBody is the longest body that is sent before the answer is read, in bytes: it fits the windows of a connection.
const inlineBody = 8 << 10

func (w *writer) start() {
	if len(w.body) <= inlineBody {
		w.run()
		return
	}
	go w.run()
}

func (w *writer) run() {
	defer close(w.done)
	if len(w.body) <= inlineBody {
		_, w.err = w.conn.Write(append(w.head, w.body...))
		return
	}
	buffers := net.Buffers{w.head, w.body}
	_, w.err = buffers.WriteTo(w.conn.Conn)
}

func (p *Pool) answer(c *conn, r Request) (a *Answer, err error) {
	for range mostForeign {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			if isNetwork(err) {
				return nil, errors.Mark(err, ErrBroken)
			}
			return nil, errors.Mark(err, ErrGarbled)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if id := response.Header.Get(r.IDHeader); r.IDHeader != "" && id != "" && id != r.ID {
			if _, err := io.CopyN(io.Discard, response.Body, mostDrained); !errors.Is(err, io.EOF) {
				return nil, errors.Mark(errors.New("long answer to another request"), ErrGarbled)
			}
			continue
		}
		return &Answer{
			Status: response.StatusCode, Header: response.Header, Body: response.Body, Length: response.ContentLength,
			pool: p, conn: c, keep: keepTime(response),
		}, nil
	}
	return nil, errors.Mark(errors.New("answers to other requests alone"), ErrGarbled)
}

// isNetwork tells a connection that ended from bytes that are no answer.
func isNetwork(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// keepTime is how long the connection may be kept unused, zero if it must be closed.
func keepTime(response *http.Response) time.Duration {
	if response.Close || response.ProtoAtLeast(1, 1) && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return 0
	}
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleTime
}

// Read reads the body and notes its end.
func (a *Answer) Read(b []byte) (n int, err error) {
	n, err = a.Body.Read(b)
	if err == io.EOF {
		a.whole = true
	} else if err != nil {
		a.err = err
	}
	return n, err
}

// Close ends the exchange; the connection is kept if the answer and the request went whole.
func (a *Answer) Close() {
	stopped := a.stop()
	written := false
	select {
	case <-a.writer.done:
		written = a.writer.err == nil
	default:
	}
	if !stopped || !written || !a.whole || a.keep <= 0 || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.addr, a.conn, a.keep)
}

// take reuses an idle connection or opens one.
func (p *Pool) take(ctx context.Context, addr string) (c *conn, err error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.sound() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := Dial(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Dial opens a connection that is found out when it goes silent.
func Dial(ctx context.Context, network, addr string) (c net.Conn, err error) {
	dialer := net.Dialer{Timeout: dialTime, Control: setOptions, KeepAliveConfig: KeepAlive()}
	return dialer.DialContext(ctx, network, addr)
}

// KeepAlive is how silent connections are found.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveCount}
}

func setOptions(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTime.Milliseconds()))
	})
	return errors.CombineErrors(controlErr, err)
}

// sound tells whether an idle connection is open and has nothing to read.
func (c *conn) sound() (ok bool) {
	sc, isTCP := c.Conn.(syscall.Conn)
	if !isTCP {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return ok && err == nil
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	p.reused++
	return c
}

func (p *Pool) put(addr string, c *conn, keep time.Duration) {
	c.until = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

// Sweep closes connections that have been unused for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
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

// Counts tells how many connections were opened and reused.
func (p *Pool) Counts() (opened, reused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}
