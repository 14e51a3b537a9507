package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/roster"
	"cicadavalve/io/peer"
)

// memberList is a backend with some members.
type memberList struct{ peer.Backend }

func (memberList) Status(context.Context) (s peer.Status, err error) {
	for _, id := range []string{"one", "two", "three"} {
		s.Members = append(s.Members, roster.Member{Zone: "z", PeerAddress: id})
	}
	return s, nil
}

// cutWriter breaks a response off after some bytes of its body.
type cutWriter struct {
	http.ResponseWriter
	left int
	// framed is set if a length is left in the head.
	framed bool
}

// Unwrap makes [http.ResponseController] work.
func (w *cutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *cutWriter) Write(b []byte) (n int, err error) {
	if !w.framed {
		w.Header().Del("Content-Length")
	}
	if len(b) <= w.left {
		w.left -= len(b)
		return w.ResponseWriter.Write(b)
	}
	_, _ = w.ResponseWriter.Write(b[:w.left])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// TestCutAnswerOfAnEntryIsAnError breaks an answer off at each byte. Its encoding does not mark its end: the start of a list of members is
// a list.
func TestCutAnswerOfAnEntryIsAnError(t *testing.T) {
	t.Parallel()
	for name, unencrypted := range map[string]bool{"HTTP/2": true, "HTTP/1.1": false} {
		for _, framed := range []bool{true, false} {
			t.Run(name+"/length "+strconv.FormatBool(framed), func(t *testing.T) {
				t.Parallel()
				left := 0
				handler := peer.NewHandler(memberList{})
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					handler.ServeHTTP(&cutWriter{w, left, framed}, r)
				}))
				server.Config.Protocols = &http.Protocols{}
				server.Config.Protocols.SetHTTP1(!unencrypted)
				server.Config.Protocols.SetUnencryptedHTTP2(unencrypted)
				server.Start()
				defer server.Close()
				client := server.Client()
				if unencrypted {
					transport := peer.NewTransport(nil, peer.TimeoutsFor(time.Second))
					defer transport.CloseIdleConnections()
					client = &http.Client{Transport: transport}
				}
				c := peer.NewClient(client, strings.TrimPrefix(server.URL, "http://"))
				left = 1 << 20
				whole, err := c.Status(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(3, len(whole.Members)); diff != "" {
					t.Errorf("members (-want +got):\n%s", diff)
				}
				cuts := 0
				for left = 0; left < 200; left++ {
					s, err := c.Status(t.Context())
					if err == nil && len(s.Members) == 3 {
						break
					}
					if cuts++; err == nil {
						t.Errorf("%d bytes were taken for %d members", left, len(s.Members))
					}
				}
				if cuts < 10 {
					t.Errorf("%d answers were cut off", cuts)
				}
			})
		}
	}
}
