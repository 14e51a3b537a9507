package meter

import (
	"context"
	"net"
	"time"
)

// Purpose is the purpose of control traffic.
type Purpose string

// The purposes of control traffic.
const (
	PurposeLog  Purpose = "log"
	PurposeList Purpose = "list"
	PurposeLoad Purpose = "load"
	PurposePeer Purpose = "peer"
)

// Dialer opens connections whose bytes count as control traffic.
type Dialer struct {
	meter   *Meter
	purpose Purpose
	dialer  net.Dialer
}

// NewDialer returns a dialer whose connections count their bytes in a meter: for all purposes together as
// control_sent_bytes and control_received_bytes, and for its own as control_PURPOSE_sent_bytes and
// control_PURPOSE_received_bytes.
//
//	transport := &http.Transport{DialContext: meter.NewDialer(m, meter.PurposeLog, time.Second).DialContext}
func NewDialer(m *Meter, purpose Purpose, timeout time.Duration) *Dialer {
	return &Dialer{meter: m, purpose: purpose, dialer: net.Dialer{Timeout: timeout}}
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (conn net.Conn, err error) {
	conn, err = d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newCountedConn(d.meter, d.purpose, conn), nil
}

// Listener accepts connections whose bytes count as control traffic.
type Listener struct {
	net.Listener
	meter   *Meter
	purpose Purpose
}

// NewListener wraps a listener so that its connections count their bytes in a meter, as those of [NewDialer] do.
func NewListener(m *Meter, purpose Purpose, on net.Listener) *Listener {
	return &Listener{Listener: on, meter: m, purpose: purpose}
}

// Accept waits for a connection.
func (l *Listener) Accept() (conn net.Conn, err error) {
	conn, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCountedConn(l.meter, l.purpose, conn), nil
}

// countedConn counts the bytes that it reads and writes.
type countedConn struct {
	net.Conn
	meter *Meter
	// sent and received are the names of the counters of the purpose.
	sent     string
	received string
}

func newCountedConn(m *Meter, p Purpose, conn net.Conn) *countedConn {
	prefix := "control_" + string(p)
	return &countedConn{Conn: conn, meter: m, sent: prefix + "_sent_bytes", received: prefix + "_received_bytes"}
}

// Read implements [net.Conn].
func (c *countedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.meter.Count("control_received_bytes", int64(n))
	c.meter.Count(c.received, int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *countedConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.meter.Count("control_sent_bytes", int64(n))
	c.meter.Count(c.sent, int64(n))
	return n, err
}
