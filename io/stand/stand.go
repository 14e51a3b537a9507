// Package stand holds small stand-ins for the systems that the product meets:
// the log service, the VM list, the weight store, the KV store and the engines.
// The product links none of them.
package stand

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"cicadavalve/core/sched"
)

// Server is one stand-in behind its listener.
type Server struct {
	http *http.Server
	on   net.Listener
}

// NewServer listens on an address; port 0 takes a free one.
func NewServer(address string, h http.Handler) (s *Server, err error) {
	defer func() { err = errors.Wrap(err, "stand-in") }()
	on, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{http: &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}, on: on}, nil
}

// Address is the host and port that the stand-in listens on.
func (s *Server) Address() string { return s.on.Addr().String() }

// URL is the address as a URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Run serves until Close.
func (s *Server) Run() error {
	if err := s.http.Serve(s.on); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends every connection at once.
func (s *Server) Close() { _ = s.http.Close() }

// WriteAddress writes the address to a file in one step, so that a script can wait for it.
func (s *Server) WriteAddress(path string) (err error) {
	defer func() { err = errors.Wrap(err, "write address") }()
	staged := path + ".new"
	if err := os.WriteFile(staged, []byte(s.Address()), 0o644); err != nil {
		return err
	}
	return os.Rename(staged, path)
}

// box guards a value that requests read and a fault switch replaces.
type box[T any] struct {
	mu    sync.Mutex
	value T
}

func (b *box[T]) get() T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value
}

func (b *box[T]) set(v T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = v
}

// handle serves POST and GET /fault: the whole set of faults is replaced at once.
func (b *box[T]) handle(mux *http.ServeMux) {
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var v T
		if !decode(w, r, &v) {
			return
		}
		b.set(v)
	})
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { reply(w, b.get()) })
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// registerInterval is the time between a VM's registrations with the list.
const registerInterval = 300 * time.Millisecond

// Registrar keeps a stand-in on the VM list.
type Registrar struct {
	listURL  string
	upstream sched.Upstream
	client   *http.Client
}

// NewRegistrar is a registrar of one VM.
func NewRegistrar(listURL string, upstream sched.Upstream) *Registrar {
	return &Registrar{listURL: listURL, upstream: upstream, client: &http.Client{Timeout: time.Second}}
}

// Run registers until the context ends, and then takes the VM off the list.
func (r *Registrar) Run(ctx context.Context) error {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		r.send(http.MethodPost)
		select {
		case <-ctx.Done():
			r.send(http.MethodDelete)
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Registrar) send(method string) {
	req, err := sling.New().Post(r.listURL + "/vms").BodyJSON(r.upstream).Request()
	if err != nil {
		return
	}
	req.Method = method
	resp, err := r.client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}
