package logsvc_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ledger"
	"cicadavalve/io/logsvc"
)

// TestCutBatchIsNotABatch cuts the answer to a read off at each byte, with the length of what is left and with an orderly end of the
// connection. An empty batch is the end of the log to those who read all of it.
func TestCutBatchIsNotABatch(t *testing.T) {
	t.Parallel()
	const batch = `{"stream":"config","entries":[{"offset":0},{"offset":1}],"first":0,"next":2}`
	for name, head := range map[string]string{"length": "Content-Length: %d\r\n\r\n", "connection": "X-Left: %d\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			left := len(batch)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+head+"%s", left, batch[:left])
				_ = conn.Close()
			}))
			defer s.Close()
			c := logsvc.NewClient(s.URL+"/", s.Client())
			if got, err := c.Read(t.Context(), ledger.StreamConfig, 0, 0); err != nil || got.End() != 2 {
				t.Fatalf("batch up to %d, error %v", got.End(), err)
			}
			for left = range batch {
				got, err := c.Read(t.Context(), ledger.StreamConfig, 0, 0)
				if err == nil {
					t.Errorf("%d of %d bytes were taken for a batch of %d records", left, len(batch), len(got.Entries))
				} else if !errors.Is(err, logsvc.ErrUnavailable) {
					t.Errorf("error %v, want that of a service that is unavailable", err)
				}
			}
		})
	}
}
