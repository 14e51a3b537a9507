package link

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerKey is the key of a caller's connection in the context of its request.
type callerKey struct{}

// WithCaller returns a context that carries the connection of a caller, for [CallerLeft]. It is what [net/http.Server]'s ConnContext
// returns.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerLeft reports whether the caller of a request has ended its connection, or the context has ended. It asks the system: in a process
// that stood still, the request and the end of its connection arrive together, and the server ends the context of the request only later.
// The body of the request must have been read.
func CallerLeft(ctx context.Context) (left bool) {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(callerKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	// The server may be reading, which holds the lock of raw.Read.
	err = raw.Control(func(fd uintptr) { left = hasEnded(fd) })
	return left || err != nil
}

// hasEnded reports whether the other side of a socket has ended the connection and nothing is left to read.
func hasEnded(fd uintptr) bool {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case unix.EINTR:
		case unix.EAGAIN:
			return false
		default:
			return n <= 0
		}
	}
}
