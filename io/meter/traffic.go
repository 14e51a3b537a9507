package meter

import (
	"context"
	"net"
	"time"
)

// Dialer opens connections whose bytes count as control traffic.
type Dialer struct {
	meter  *Meter
	dialer net.Dialer
}

// NewDialer is a dialer that counts into a meter, as control_sent_bytes and control_received_bytes.
//
//	transport := &http.Transport{DialContext: meter.NewDialer(m, time.Second).DialContext}
func NewDialer(m *Meter, timeout time.Duration) *Dialer {
	return &Dialer{meter: m, dialer: net.Dialer{Timeout: timeout}}
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (conn net.Conn, err error) {
	conn, err = d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, meter: d.meter}, nil
}

// Listener accepts connections whose bytes count as control traffic.
type Listener struct {
	net.Listener
	meter *Meter
}

// NewListener counts the bytes of a listener's connections into a meter.
func NewListener(m *Meter, on net.Listener) *Listener {
	return &Listener{Listener: on, meter: m}
}

// Accept waits for a connection.
func (l *Listener) Accept() (conn net.Conn, err error) {
	conn, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, meter: l.meter}, nil
}

// countedConn counts what passes through it.
type countedConn struct {
	net.Conn
	meter *Meter
}

// Read implements [net.Conn].
func (c *countedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.meter.Count("control_received_bytes", int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *countedConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.meter.Count("control_sent_bytes", int64(n))
	return n, err
}
