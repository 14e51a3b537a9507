package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// stepDeadline bounds an exchange whose answer does not come.
const stepDeadline = 200 * time.Millisecond

// scriptedUpstream answers each request by what a function returns for its number on its connection, from 0, and its id. The pieces
// are written with a pause between them. A connection ends after no pieces.
func scriptedUpstream(t *testing.T, script func(n int, id string) (pieces []string)) (addr string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		_ = l.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = c.Close() })
			group.Go(func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					pieces := script(n, r.Header.Get("Request-Id"))
					for i, piece := range pieces {
						if i > 0 {
							time.Sleep(5 * time.Millisecond)
						}
						_, _ = fmt.Fprint(c, piece)
					}
					if len(pieces) == 0 {
						return
					}
				}
			})
		}
	})
	return l.Addr().String()
}

// reply returns a whole answer; an empty id is left out.
func reply(status int, id, body string) string {
	idHeader := ""
	if id != "" {
		idHeader = "Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, idHeader, len(body), body)
}

// outcome is how an exchange ends for its caller.
type outcome struct {
	Status int
	Body   string
	Opened bool
	Err    string
}

// ask makes one exchange within the deadline.
func ask(t *testing.T, p *Pool, addr, id string) (o outcome) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stepDeadline)
	defer cancel()
	began := time.Now()
	defer func() {
		if took := time.Since(began); took > 5*stepDeadline {
			t.Errorf("the exchange took %v", took)
		}
	}()
	a, err := p.Do(ctx, addr, Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Request-Id": {id}}, IDHeader: "Request-Id", ID: id,
	})
	if err != nil {
		return outcome{Err: kind(err)}
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return outcome{Status: a.Status, Body: string(body), Opened: a.Opened, Err: kind(err)}
}

// kind names the kind of an error.
func kind(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, ErrGarbled):
		return "garbled"
	case errors.Is(err, ErrBroken):
		return "broken"
	}
	return err.Error()
}

// TestAnswerOfNoRequestIsNotThatOfTheNext writes something in front of the answer to the second request of a connection.
func TestAnswerOfNoRequestIsNotThatOfTheNext(t *testing.T) {
	t.Parallel()
	const rejection = "HTTP/1.1 503 X\r\nNot-Run: 1\r\n"
	whole := outcome{Status: http.StatusOK, Body: "true"}
	failed := func(kind string) outcome { return outcome{Err: kind} }
	foreign := reply(503, "", "old")
	cases := map[string]struct {
		before []string
		want   outcome
	}{
		"rejection without id":           {[]string{foreign}, whole},
		"rejection with an empty id":     {[]string{rejection + "Request-Id:\r\nContent-Length: 0\r\n\r\n"}, whole},
		"rejection with its id":          {[]string{reply(503, "a", "old")}, whole},
		"answer without id":              {[]string{reply(200, "", "old")}, whole},
		"answer with its id":             {[]string{reply(200, "a", "old")}, whole},
		"chunks":                         {[]string{rejection + "Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"}, whole},
		"interim":                        {[]string{"HTTP/1.1 103 X\r\nNot-Run: 1\r\n\r\n"}, whole},
		"two":                            {[]string{foreign + foreign}, whole},
		"three":                          {[]string{foreign + foreign + foreign}, failed("garbled")},
		"pause after":                    {[]string{foreign, ""}, whole},
		"pause within the status":        {[]string{foreign[:10], foreign[10:]}, whole},
		"pause within the head":          {[]string{foreign[:20], foreign[20:]}, whole},
		"pause within the body":          {[]string{foreign[:len(foreign)-1], foreign[len(foreign)-1:]}, whole},
		"longer than may be discarded":   {[]string{reply(503, "", strings.Repeat("x", maxDrained+1))}, failed("garbled")},
		"without a length":               {[]string{rejection + "\r\nold"}, failed("garbled")},
		"half a status":                  {[]string{"HTTP/1.1 503 "}, failed("garbled")},
		"half a status, without a space": {[]string{"HTTP/1.1 503"}, failed("garbled")},
		"half a name":                    {[]string{rejection + "X-Mo"}, failed("garbled")},
		"half a value":                   {[]string{rejection + "X-More: a"}, failed("garbled")},
		"half a value, a pause":          {[]string{rejection + "X-More: a", ""}, failed("garbled")},
		"half an end of a line":          {[]string{rejection + "X-More: a\r"}, failed("garbled")},
		"half an id":                     {[]string{rejection + "Request-Id: a"}, failed("garbled")},
		"two ids":                        {[]string{rejection + "Request-Id: a\r\nRequest-Id: b\r\n\r\n"}, failed("garbled")},
		"two ids, own first":             {[]string{rejection + "Request-Id: b\r\nRequest-Id: a\r\n\r\n"}, failed("garbled")},
		"half a body":                    {[]string{rejection + "Content-Length: 40\r\n\r\nold"}, failed("garbled")},
		"half a chunk":                   {[]string{rejection + "Transfer-Encoding: chunked\r\n\r\na\r\nold"}, failed("garbled")},
		"half a body, longer than all":   {[]string{rejection + "Content-Length: 4000\r\n\r\nold"}, failed("deadline")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := scriptedUpstream(t, func(n int, id string) (pieces []string) {
				if n == 0 {
					return []string{reply(200, id, "true")}
				}
				last := len(c.before) - 1
				return append(append(pieces, c.before[:last]...), c.before[last]+reply(200, id, "true"))
			})
			p := NewPool()
			got := []outcome{ask(t, p, addr, "a"), ask(t, p, addr, "b"), ask(t, p, addr, "c")}
			first := outcome{Status: http.StatusOK, Body: "true", Opened: true}
			third := first // An upstream that is out of step is not used again on the connection.
			if name == "interim" {
				third = whole
			}
			if diff := cmp.Diff([]outcome{first, c.want, third}, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnswerBeforeTheNextRequestClosesTheConnection writes half of an answer to no request once the first one has ended, and the rest
// after the second one.
func TestAnswerBeforeTheNextRequestClosesTheConnection(t *testing.T) {
	t.Parallel()
	addr := scriptedUpstream(t, func(_ int, id string) (pieces []string) {
		return []string{reply(200, id, "true"), "HTTP/1.1 503 X\r\nNot-Exec"}
	})
	p := NewPool()
	want := outcome{Status: http.StatusOK, Body: "true", Opened: true}
	for _, id := range []string{"a", "b"} {
		if diff := cmp.Diff(want, ask(t, p, addr, id)); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		awaitNoIdle(t, p, addr)
	}
}

// awaitNoIdle waits until a pool has closed its idle connections to an address, for 10 s at most.
func awaitNoIdle(t *testing.T, p *Pool, addr string) {
	t.Helper()
	idle := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle[addr])
	}
	for range 1000 {
		if idle() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the connection is still idle")
}

// TestAnswerWithoutIDIsTakenOnANewConnectionOnly has an upstream never repeat ids.
func TestAnswerWithoutIDIsTakenOnANewConnectionOnly(t *testing.T) {
	t.Parallel()
	addr := scriptedUpstream(t, func(int, string) (pieces []string) { return []string{reply(503, "", "no")} })
	p := NewPool()
	want := outcome{Status: http.StatusServiceUnavailable, Body: "no", Opened: true}
	for _, id := range []string{"a", "b", "c"} {
		if diff := cmp.Diff(want, ask(t, p, addr, id)); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
	}
	addr = scriptedUpstream(t, func(_ int, id string) (pieces []string) {
		return []string{reply(503, "other", "old") + reply(503, "", "old") + reply(200, id, "true")}
	})
	want = outcome{Status: http.StatusOK, Body: "true", Opened: true}
	if diff := cmp.Diff(want, ask(t, p, addr, "a")); diff != "" {
		t.Errorf("after an answer to another request (-want +got):\n%s", diff)
	}
}

// TestConnectionNeverCarriesAnIDTwice has an upstream write its first answer of a connection once more before each further one, which is that
// of a caller's earlier request with the same id.
func TestConnectionNeverCarriesAnIDTwice(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	ran := map[string]int{}
	addr := scriptedUpstream(t, func(n int, id string) (pieces []string) {
		mu.Lock()
		defer mu.Unlock()
		if n == 0 && id == "a" && ran[id] == 0 {
			ran[id]++
			return []string{reply(503, id, "rejected")}
		}
		ran[id]++
		return []string{reply(503, "a", "rejected") + reply(200, id, "true")}
	})
	p := NewPool()
	if got, want := ask(t, p, addr, "a"), (outcome{Status: 503, Body: "rejected", Opened: true}); got != want {
		t.Fatalf("first outcome %+v, want %+v", got, want)
	}
	a, err := p.Do(t.Context(), addr, Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Request-Id": {"a"}}, IDHeader: "Request-Id", ID: "a",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if !a.Opened {
		t.Errorf("a request with an earlier id was sent on the connection of that one; status %d", a.Status)
	}
	if got := ask(t, p, addr, "b"); got.Opened || got.Status != http.StatusOK {
		t.Errorf("outcome %+v of a request with another id", got)
	}
}

// TestIDsAreRememberedUpToABound adds more ids than are kept.
func TestIDsAreRememberedUpToABound(t *testing.T) {
	t.Parallel()
	var ring idRing
	for i := range 3 * maxCarried {
		ring.add(fmt.Sprint(i))
	}
	wrong := 0
	for i := range 3 * maxCarried {
		if ring.contains(fmt.Sprint(i)) != (i >= 2*maxCarried) {
			wrong++
		}
	}
	if wrong > 0 || len(ring.hashes) != maxCarried {
		t.Errorf("%d ids misjudged, %d kept", wrong, len(ring.hashes))
	}
}
