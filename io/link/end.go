package link

import (
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
	// endTimeout bounds how long the rest of a request may take to be received once its upstream has ended the connection.
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
// receives the request may close its side in an orderly way first.
func (w *writer) confirmEnd() (err error) {
	defer func() {
		if !errors.Is(err, io.EOF) {
			err = errors.Mark(errors.Wrap(err, "connection ended before the request was received"), ErrBroken)
		}
	}()
	deadline := clock.Now().Add(endTimeout)
	if err := w.wait(deadline); err != nil {
		return err
	}
	for {
		received, err := isReceived(w.conn.Conn)
		switch {
		case err != nil:
			return err
		case received:
			return io.EOF
		case !clock.Now().Before(deadline):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(endInterval)
	}
}

// wait waits for the end of the write, which it ends at a deadline, and returns its error.
func (w *writer) wait(deadline time.Time) (err error) {
	timer := time.AfterFunc(clock.Until(deadline), func() { _ = w.conn.SetWriteDeadline(pastDeadline) })
	defer timer.Stop()
	<-w.done
	return w.err
}

// isReceived reports whether the other side has acknowledged all that was written. It returns the error of a reset that no call
// has met yet. What is no socket counts as received.
func isReceived(c net.Conn) (ok bool, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return true, nil
	}
	unsent, pending := 0, 0
	controlErr := raw.Control(func(fd uintptr) {
		if pending, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil {
			unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	switch {
	case pending != 0:
		return false, os.NewSyscallError("read", syscall.Errno(pending))
	case controlErr != nil:
		return false, controlErr
	case err != nil:
		// Systems without these calls report errors to reads and writes alone.
		return true, nil
	}
	return unsent == 0, nil
}
