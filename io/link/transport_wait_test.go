package link

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestWaitForTheEndIsBoundedWithAnOpenRequestBody has a client answered early whose request body stands still: no write of it is
// under way that a deadline could end.
func TestWaitForTheEndIsBoundedWithAnOpenRequestBody(t *testing.T) {
	t.Parallel()
	addr := earlyUpstream(t, []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "one", "two"}, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(6 * endTimeout)
	})
	from, to := io.Pipe()
	defer func() { _ = to.Close() }()
	go func() { _, _ = to.Write(make([]byte, 128<<10)) }()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/", from)
	if err != nil {
		t.Fatal(err)
	}
	transport := NewTransport(&http.Transport{DialContext: Dial})
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	ended, began := make(chan error, 1), time.Now()
	go func() {
		_, err := io.ReadAll(answer.Body)
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Logf("ended after %v: %v", time.Since(began), err)
	case <-time.After(4 * endTimeout):
		t.Errorf("still waiting after %v", 4*endTimeout)
	}
}
