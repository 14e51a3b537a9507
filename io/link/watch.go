package link

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// watch waits for bytes, or the end, of an idle connection, and closes it at once: what an upstream sends then belongs to
// no request.
type watch struct {
	pool *Pool
	addr string
	conn *conn
	// done is closed when the watch has ended; usable may be read after that.
	done   chan struct{}
	usable bool
}

func newWatch(p *Pool, addr string, c *conn) *watch {
	return &watch{pool: p, addr: addr, conn: c, done: make(chan struct{})}
}

// run waits until the connection can be read, is closed, or is taken out of the pool.
func (w *watch) run() {
	defer close(w.done)
	if w.usable = awaitReadable(w.conn.Conn); !w.usable {
		w.pool.drop(w.addr, w.conn)
		_ = w.conn.Close()
	}
}

// awaitReadable waits until a connection has something to read or has ended. It reports whether the deadline ended the
// wait before that. It reads nothing.
func awaitReadable(c net.Conn) (quiet bool) {
	raw, err := rawConn(c)
	if err != nil {
		return false
	}
	return isTimeout(raw.Read(func(fd uintptr) bool { return !isQuiet(fd) }))
}

// usable reports whether an idle connection is open and has nothing to read.
func (c *conn) usable() (ok bool) {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return false
	}
	err = raw.Read(func(fd uintptr) bool {
		ok = isQuiet(fd)
		return true
	})
	return ok && err == nil
}

func rawConn(c net.Conn) (raw syscall.RawConn, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is no socket", c)
	}
	return sc.SyscallConn()
}

// isQuiet reports whether a socket is open and has nothing to read.
func isQuiet(fd uintptr) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN || err == unix.EWOULDBLOCK
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// unwatch ends the watch of a connection that was taken out of the pool, and reports whether the connection can be used.
func (c *conn) unwatch() (usable bool) {
	if c.SetReadDeadline(pastDeadline) != nil {
		return false
	}
	<-c.watch.done
	// The watch may have ended before it looked.
	return c.watch.usable && c.SetReadDeadline(time.Time{}) == nil && c.usable()
}
