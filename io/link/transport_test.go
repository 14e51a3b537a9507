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
	for name, c := range earlyAnswers("HTTP/1.1 200 OK\r\n") {
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
