package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cicadavalve/core/ledger"
	"cicadavalve/io/engine"
	"cicadavalve/io/link"
	"cicadavalve/io/logsvc"
	"cicadavalve/io/store"
	"cicadavalve/io/vmlist"
)

// takenConn counts the bytes that are read.
type takenConn struct {
	net.Conn
	taken *atomic.Int64
}

func (c takenConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.taken.Add(int64(n))
	return n, err
}

// sendWithoutEnd answers each connection with a start and then repeats a unit, 128 MiB at most.
func sendWithoutEnd(l net.Listener, start, unit string) {
	block := bytes.Repeat([]byte(unit), 64<<10/len(unit))
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			_, _ = c.Read(make([]byte, 4096))
			_, _ = fmt.Fprint(c, start)
			for range 128 << 20 / len(block) {
				if _, err := c.Write(block); err != nil {
					return
				}
			}
			time.Sleep(time.Minute)
		}()
	}
}

// TestEndlessAnswersAreNotKept has upstreams, stores, the log and the VM list answer with bytes that don't end. An entry kept them all and ran out
// of memory.
func TestEndlessAnswersAreNotKept(t *testing.T) {
	const body, overhead = 1 << 20, link.MaxHeader + 16<<10
	calls := map[string]struct {
		most int64
		call func(ctx context.Context, addr string, dial engine.DialFunc) error
	}{
		"load": {body, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			_, err := engine.NewHTTPClient(time.Second, 1, engine.WithControlDialer(dial)).Load(ctx, addr)
			return err
		}},
		"load on a pooled connection": {body, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			_, err := engine.NewHTTPClient(time.Second, 1, engine.WithDialer(dial)).Load(ctx, addr)
			return err
		}},
		"order": {body, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			return engine.NewHTTPClient(time.Second, 1, engine.WithDialer(dial)).Order(ctx, addr, engine.Order{})
		}},
		"import": {body, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			_, err := engine.NewHTTPClient(time.Second, 1, engine.WithDialer(dial)).Import(ctx, addr, engine.Import{})
			return err
		}},
		"export": {body, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			_, err := engine.NewHTTPClient(time.Second, 1, engine.WithDialer(dial)).Export(ctx, addr, engine.Export{})
			return err
		}},
		"call": {body, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			_, err := engine.NewHTTPClient(time.Second, 1, engine.WithDialer(dial)).Call(ctx, engine.Target{Address: addr, SilenceTimeout: time.Minute}, engine.Call{Service: "s"})
			return err
		}},
		"completion": {body, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			client := engine.NewHTTPClient(time.Second, 1, engine.WithDialer(dial))
			return client.Complete(ctx, engine.Target{Address: addr, SilenceTimeout: time.Minute}, engine.Completion{}, func(engine.Event) error { return nil })
		}},
		"object": {body, func(ctx context.Context, addr string, _ engine.DialFunc) error {
			_, err := store.NewHTTPClient(time.Second).Get(ctx, addr, "x")
			return err
		}},
		"log": {64 << 20, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			client := &http.Client{Transport: &http.Transport{DialContext: dial, MaxResponseHeaderBytes: link.MaxHeader}}
			_, err := logsvc.NewClient("http://"+addr+"/", client).Read(ctx, ledger.StreamConfig, 0, 0)
			return err
		}},
		"list": {8 << 20, func(ctx context.Context, addr string, dial engine.DialFunc) error {
			client := &http.Client{Transport: &http.Transport{DialContext: dial, MaxResponseHeaderBytes: link.MaxHeader}}
			_, _, err := vmlist.NewClient("http://"+addr+"/", client).Read(ctx)
			return err
		}},
	}
	starts := map[string][2]string{
		"head": {"HTTP/1.1 200 OK\r\nX-Long: ", "x"}, "header lines": {"HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
		"string":          {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Committed: true\r\n\r\n{\"a\":\"", "x"},
		"after the value": {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Committed: true\r\n\r\n{}", " "},
		"line":            {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Committed: true\r\n\r\ndata: ", "x"},
	}
	for name, c := range calls {
		for start, bytes := range starts {
			t.Run(name+"/"+start, func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = l.Close() }()
				go sendWithoutEnd(l, bytes[0], bytes[1])
				var taken atomic.Int64
				dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
					return takenConn{conn, &taken}, err
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				err = c.call(ctx, l.Addr().String(), dial)
				if err == nil && start != "after the value" && name != "order" || ctx.Err() != nil {
					t.Errorf("error %v, want one before the deadline", err)
				}
				if n := taken.Load(); n > c.most+overhead {
					t.Errorf("%d bytes were taken", n)
				}
			})
		}
	}
}
