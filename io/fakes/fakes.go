// Package fakes implements stand-ins, with fault injection, for the external systems that the product talks to: the log
// service, the VM list, the weight store, the KV store and the engines. They are not linked into the product.
package fakes

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

// Server is the HTTP server of a stand-in.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewServer listens on an address; port 0 picks a free port.
func NewServer(address string, h http.Handler) (s *Server, err error) {
	defer func() { err = errors.Wrap(err, "stand-in") }()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{http: &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}, listener: listener}, nil
}

// Address returns the host and port that the stand-in listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the address as an http URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Run serves until Close.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the server and closes every connection at once.
func (s *Server) Close() { _ = s.http.Close() }

// WriteAddress writes the address to a file atomically, so that a script can wait for the file.
func (s *Server) WriteAddress(path string) (err error) {
	defer func() { err = errors.Wrap(err, "write address") }()
	staged := path + ".new"
	if err := os.WriteFile(staged, []byte(s.Address()), 0o644); err != nil {
		return err
	}
	return os.Rename(staged, path)
}

// guarded is a value protected by a mutex; requests read it and POST /fault replaces it.
type guarded[T any] struct {
	mu    sync.Mutex
	value T
}

func (b *guarded[T]) get() T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value
}

func (b *guarded[T]) set(v T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = v
}

// serveFaults registers GET and POST /fault. A POST replaces the whole set of faults.
func (b *guarded[T]) serveFaults(mux *http.ServeMux) {
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var v T
		if !decode(w, r, &v) {
			return
		}
		b.set(v)
	})
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { reply(w, b.get()) })
}

// decode reads a JSON body strictly. On failure it answers with status 400 and returns false.
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

// Registrar keeps a stand-in registered with the VM list.
type Registrar struct {
	listURL  string
	upstream sched.Upstream
	client   *http.Client
}

// NewRegistrar returns a registrar for one VM.
func NewRegistrar(listURL string, upstream sched.Upstream) *Registrar {
	return &Registrar{listURL: listURL, upstream: upstream, client: &http.Client{Timeout: time.Second}}
}

// Run registers the VM repeatedly until the context ends, and then deregisters it.
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
