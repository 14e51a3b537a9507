package vmlist_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/sched"
	"cicadavalve/io/vmlist"
)

// TestCutListIsNotTheList cuts the list off at each byte, with the length of what is left and with an orderly end of the connection. A
// part of the list, or none, would take VMs away.
func TestCutListIsNotTheList(t *testing.T) {
	t.Parallel()
	const list = `{"vms":[{"id":"vm-1"},{"id":"vm-2"}]}`
	for name, head := range map[string]string{"length": "Content-Length: %d\r\n\r\n", "connection": "X-Left: %d\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			left := len(list)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nETag: \"%d\"\r\n"+head+"%s", left, left, list[:left])
				_ = conn.Close()
			}))
			defer s.Close()
			c := vmlist.NewClient(s.URL+"/", s.Client())
			vms, _, err := c.Read(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]sched.Upstream{{ID: "vm-1"}, {ID: "vm-2"}}, vms); diff != "" {
				t.Errorf("whole list (-want +got):\n%s", diff)
			}
			for left = range list {
				if vms, changed, err := c.Read(t.Context()); err == nil {
					t.Errorf("%d of %d bytes were taken for a list of %d, changed %v", left, len(list), len(vms), changed)
				}
			}
		})
	}
}
