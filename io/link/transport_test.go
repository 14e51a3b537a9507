package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestTransportConfirmsEnds has an upstream answer a long request of an [http.Client] before it has read it.
func TestTransportConfirmsEnds(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n"
	plain := []string{head + "\r\n", "one", "two"}
	cases := map[string]struct {
		size     int
		answer   []string
		finish   func(*net.TCPConn)
		complete bool
		count    int
	}{
		"connection/reset":         {longBody, plain, reset, false, 20},
		"connection/ends":          {longBody, plain, endAndReset, false, 5},
		"connection/ends early":    {bufferedBody, plain, endAndReset, false, 5},
		"connection/half closed":   {longBody, plain, halfClose, true, 5},
		"connection/reads on":      {bufferedBody, plain, halfClose, true, 5},
		"connection/stops reading": {longBody, plain, stopReading, false, 2},
		"connection/stops early":   {bufferedBody, plain, stopReading, false, 2},
		"length/reads on":          {longBody, []string{head + "Content-Length: 6\r\n\r\n", "one", "two"}, halfClose, true, 5},
		"length/cut":               {longBody, []string{head + "Content-Length: 7\r\n\r\n", "one", "two"}, reset, false, 20},
		"chunks/cut":               {longBody, []string{head + "Transfer-Encoding: chunked\r\n\r\n", "3\r\none\r\n", "3\r\ntwo\r\n"}, reset, false, 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, wrong := earlyUpstream(t, c.answer, c.finish), 0
			client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: Dial})}
			for range c.count {
				began := time.Now()
				response, err := client.Post("http://"+addr, "text/plain", bytes.NewReader(make([]byte, c.size)))
				if err != nil {
					if c.complete {
						wrong++
					}
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if complete := err == nil; complete != c.complete || c.complete && string(body) != "onetwo" {
					wrong++
				}
				if waited := time.Since(began); waited > 4*endTimeout {
					t.Errorf("waited %v for the write", waited)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d answers were not judged complete %v", wrong, c.count, c.complete)
			}
		})
	}
}

// countDials returns a function that opens connections and counts them.
func countDials(opened *int) DialFunc {
	return func(ctx context.Context, network, addr string) (c net.Conn, err error) {
		*opened++
		return Dial(ctx, network, addr)
	}
}

// TestTransportKeepsConnections makes exchanges one after the other, which share a connection.
func TestTransportKeepsConnections(t *testing.T) {
	t.Parallel()
	addr, opened := newTestServer(t), 0
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: countDials(&opened)})}
	for range 20 {
		response, err := client.Get("http://" + addr)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
			t.Errorf("body %q, error %v", body, err)
		}
		_ = response.Body.Close()
	}
	if opened != 1 {
		t.Errorf("%d connections were opened", opened)
	}
}
