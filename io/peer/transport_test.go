package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/peer"
)

// silentConn discards everything written once silent is set, as after a device on the path lost the connection's
// state.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
	closed *atomic.Int64
}

func (c *silentConn) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}

func (c *silentConn) Write(p []byte) (n int, err error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// lossyDialer opens connections that can all be silenced at once; later ones work.
type lossyDialer struct {
	opened atomic.Int64
	closed atomic.Int64
	silent atomic.Pointer[atomic.Bool]
}

func (d *lossyDialer) dial(ctx context.Context, network, address string) (conn net.Conn, err error) {
	conn, err = (&net.Dialer{}).DialContext(ctx, network, address)
	d.opened.Add(1)
	return &silentConn{Conn: conn, silent: d.silent.Load(), closed: &d.closed}, err
}

func (d *lossyDialer) silenceOpen() {
	if last := d.silent.Swap(&atomic.Bool{}); last != nil {
		last.Store(true)
	}
}

// TestSilentConnectionIsReplaced silences a connection without closing it: it must be replaced by a new one over
// which requests are answered.
func TestSilentConnectionIsReplaced(t *testing.T) {
	d, client, url := newLossyClient(t)
	answers := []string{requestUntilAnswered(client, url)}
	d.silenceOpen()
	answers = append(answers, requestUntilAnswered(client, url))
	if diff := cmp.Diff([]string{"HTTP/2.0", "HTTP/2.0"}, answers); diff != "" {
		t.Errorf("answers before and after the silence (-want +got):\n%s", diff)
	}
	if d.opened.Load() < 2 {
		t.Error("the silent connection was not replaced")
	}
}

// TestUnusedConnectionIsClosed guards against keeping an idle connection for good, which would cost pings.
func TestUnusedConnectionIsClosed(t *testing.T) {
	d, client, url := newLossyClient(t)
	if diff := cmp.Diff("HTTP/2.0", requestUntilAnswered(client, url)); diff != "" {
		t.Fatalf("answer (-want +got):\n%s", diff)
	}
	before := d.closed.Load()
	for tries := 0; d.closed.Load() == before; tries++ {
		if tries == maxTries {
			t.Fatal("the unused connection was not closed")
		}
		time.Sleep(testInterval)
	}
}

const (
	testInterval = 100 * time.Millisecond
	// maxTries is far more than any awaited event takes.
	maxTries = 200
)

// newLossyClient returns a client of a new server whose connections can be silenced.
func newLossyClient(t *testing.T) (d *lossyDialer, client *http.Client, url string) {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	d = &lossyDialer{}
	d.silenceOpen()
	transport := peer.NewTransport(d.dial, peer.TimeoutsFor(testInterval))
	t.Cleanup(transport.CloseIdleConnections)
	return d, &http.Client{Transport: transport, Timeout: testInterval}, server.URL
}

// requestUntilAnswered returns the first answer, or "" after maxTries requests without one.
func requestUntilAnswered(client *http.Client, url string) (answer string) {
	for range maxTries {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			return string(raw)
		}
	}
	return ""
}
