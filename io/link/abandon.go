package link

import "net"

// AbandonedError is the error of an exchange whose context ended before the head of an answer.
type AbandonedError struct {
	// Unacked is how much of the request the upstream had not acknowledged by then, in bytes.
	Unacked int
	cause   error
}

// Error implements [error].
func (e *AbandonedError) Error() string { return e.cause.Error() }

// Unwrap returns what ended the exchange.
func (e *AbandonedError) Unwrap() error { return e.cause }

// abandon ends the connection of an exchange without waiting for the exchange, which may be blocked: while its answer is written to
// a caller who doesn't read, for instance. Further calls have no effect.
func (c *conn) abandon() {
	if n := dropUnreceived(c.Conn); n > 0 {
		c.unacked.Store(int64(n))
	}
	_ = c.Close()
}

// dropUnreceived makes the close of a connection discard what was written and not received, which an orderly end would follow. It returns how
// many bytes that are. Without such bytes the end stays orderly, since it is repeated if it gets lost, unlike a reset.
func dropUnreceived(c net.Conn) (unacked int) {
	unacked, err := unreceived(c)
	if tcp, ok := c.(*net.TCPConn); ok && (err != nil || unacked > 0) {
		_ = tcp.SetLinger(0)
	}
	return unacked
}
