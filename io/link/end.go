package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"cicadavalve/io/clock"
)

const (
	// endTimeout is how long an upstream that has ended its side of the connection may receive nothing more of the request.
	endTimeout = time.Second
	// endInterval is the interval at which that is looked at.
	endInterval = 5 * time.Millisecond
)

// Framing is what marks the end of a body.
type Framing string

// The framings.
const (
	// ByLength bodies have a stated length, or none because of the method or the status.
	ByLength Framing = "length"
	// ByChunks bodies end with a last chunk.
	ByChunks Framing = "chunks"
	// ByConnection bodies end with their connection.
	ByConnection Framing = "connection"
)

// framing returns what marks the end of the body of a response.
func framing(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return ByChunks
	case response.ContentLength < 0 && response.Body != http.NoBody:
		return ByConnection
	}
	return ByLength
}

// confirmEnd returns [io.EOF] if the end of the connection ends the answer. It does only if the upstream has received the whole
// request: a reset is reported to a single call, which may be the write of the request, and an upstream that ends while it
// receives the request may close its side in an orderly way first. The wait ends with the exchange, and after endTimeout without
// progress.
func (w *writer) confirmEnd() (err error) {
	defer func() {
		if !errors.Is(err, io.EOF) {
			err = errors.Mark(errors.Wrap(err, "connection ended before the request was received"), ErrBroken)
		}
	}()
	ticker := time.NewTicker(endInterval)
	defer ticker.Stop()
	sent, progressAt := int64(-1), clock.Now()
	for {
		unacked, err := unreceived(w.conn.Conn)
		if err != nil {
			return err
		}
		written := w.written.Load()
		if received := written - int64(unacked); received != sent {
			sent, progressAt = received, clock.Now()
		}
		select {
		case <-w.done:
			if w.err != nil {
				return w.err
			}
			if unacked == 0 {
				return io.EOF
			}
		default:
		}
		if clock.Since(progressAt) >= endTimeout {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-w.ended:
			return context.Canceled
		case <-ticker.C:
		}
	}
}

// unreceived returns how many of the bytes that were written the other side has not acknowledged. It returns the error of a reset that
// no call has met yet. What is no socket has none.
func unreceived(c net.Conn) (n int, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, nil
	}
	pending := 0
	controlErr := raw.Control(func(fd uintptr) {
		if pending, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil {
			n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	switch {
	case pending != 0:
		return 0, os.NewSyscallError("read", syscall.Errno(pending))
	case controlErr != nil:
		return 0, controlErr
	case err != nil:
		// Systems without these calls report errors to reads and writes alone.
		return 0, nil
	}
	return n, nil
}
