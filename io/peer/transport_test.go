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
	current atomic.Pointer[atomic.Bool]
}

func (d *lossyDialer) dial(ctx context.Context, network, address string) (conn net.Conn, err error) {
	conn, err = (&net.Dialer{}).DialContext(ctx, network, address)
	d.opened.Add(1)
	return &silentConn{Conn: conn, silent: d.current.Load()}, err
}

func (d *lossyDialer) lose() {
	if last := d.current.Swap(&atomic.Bool{}); last != nil {
		last.Store(true)
	}
}

// TestSilentConnectionIsGivenUp asks until a new connection is made in place of a silent one.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	d := &lossyDialer{}
	d.lose()
	const interval = 100 * time.Millisecond
	transport := peer.NewTransport(d.dial, peer.HealthOf(interval))
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: interval}
	answers := []string{askUntilAnswered(client, server.URL)}
	d.lose()
	answers = append(answers, askUntilAnswered(client, server.URL))
	if diff := cmp.Diff([]string{"HTTP/2.0", "HTTP/2.0"}, answers); diff != "" {
		t.Errorf("answers before and after the silence (-want +got):\n%s", diff)
	}
	if d.opened.Load() < 2 {
		t.Error("the silent connection was not replaced")
	}
}

// askUntilAnswered returns the first answer, or nothing after many questions.
func askUntilAnswered(client *http.Client, url string) (answer string) {
	for range 200 {
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
