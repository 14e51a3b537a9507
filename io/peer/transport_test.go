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

// silentConn is a connection that something between its ends has lost track of once silent is set.
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

// lossyDialer opens connections that can all go silent at once; later ones work.
type lossyDialer struct {
	opened  atomic.Int64
	closed  atomic.Int64
	current atomic.Pointer[atomic.Bool]
}

func (d *lossyDialer) dial(ctx context.Context, network, address string) (conn net.Conn, err error) {
	conn, err = (&net.Dialer{}).DialContext(ctx, network, address)
	d.opened.Add(1)
	return &silentConn{Conn: conn, silent: d.current.Load(), closed: &d.closed}, err
}

func (d *lossyDialer) lose() {
	if last := d.current.Swap(&atomic.Bool{}); last != nil {
		last.Store(true)
	}
}

// TestSilentConnectionIsGivenUp asks until a new connection is made in place of a silent one.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	d, client, url := newLossyClient(t)
	answers := []string{askUntilAnswered(client, url)}
	d.lose()
	answers = append(answers, askUntilAnswered(client, url))
	if diff := cmp.Diff([]string{"HTTP/2.0", "HTTP/2.0"}, answers); diff != "" {
		t.Errorf("answers before and after the silence (-want +got):\n%s", diff)
	}
	if d.opened.Load() < 2 {
		t.Error("the silent connection was not replaced")
	}
}

// TestUnusedConnectionIsClosed leaves a connection alone, which would cost a sign of life now and then for good.
func TestUnusedConnectionIsClosed(t *testing.T) {
	d, client, url := newLossyClient(t)
	if diff := cmp.Diff("HTTP/2.0", askUntilAnswered(client, url)); diff != "" {
		t.Fatalf("answer (-want +got):\n%s", diff)
	}
	before := d.closed.Load()
	for tries := 0; d.closed.Load() == before; tries++ {
		if tries == mostTries {
			t.Fatal("the unused connection was not closed")
		}
		time.Sleep(testInterval)
	}
}

const (
	testInterval = 100 * time.Millisecond
	// mostTries is far more than any of what is waited for takes.
	mostTries = 200
)

// newLossyClient asks a new server over connections that can go silent.
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
	d.lose()
	transport := peer.NewTransport(d.dial, peer.HealthOf(testInterval))
	t.Cleanup(transport.CloseIdleConnections)
	return d, &http.Client{Transport: transport, Timeout: testInterval}, server.URL
}

// askUntilAnswered returns the first answer, or nothing after many questions.
func askUntilAnswered(client *http.Client, url string) (answer string) {
	for range mostTries {
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
