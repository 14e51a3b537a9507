// Package guard keeps a panic from leaving a process that runs and answers nothing.
//
// A panic while a [Mutex] is held, or in a loop, ends the process with its stack as one log line. A panic in a handler
// that holds none ends the request alone.
package guard

import (
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// Status is the exit status of a process that ended by a panic, that of the Go runtime.
	Status = 2
	// maxCause and maxStack bound the fields of the log line, in bytes.
	maxCause = 512
	maxStack = 8 << 10
)

// Guard reports panics and ends the process. It is safe for concurrent use.
type Guard struct {
	log *slog.Logger
	// flush writes the log lines that are still buffered. It returns within a bounded time.
	flush func()
}

// New returns a guard. Before the process ends, flush writes the buffered log lines; it must return within a bounded
// time.
//
//	g := guard.New(log, func() { logWriter.FlushWithin(time.Second) })
//	mu := g.NewMutex()
func New(log *slog.Logger, flush func()) *Guard { return &Guard{log: log, flush: flush} }

// Check ends the process if the function that defers it panics. It must be deferred itself, as in "defer g.Check()".
func (g *Guard) Check() {
	if p := recover(); p != nil {
		g.end(p)
	}
}

// end logs the panic with the stack of the caller and does not return.
func (g *Guard) end(p any) {
	g.log.Error("entry_panicked", "cause", Cause(p), "stack", Stack())
	g.flush()
	os.Exit(Status)
}

// Cause returns the text of a recovered panic, cut to a bound.
func Cause(p any) string { return cut(fmt.Sprint(p), maxCause) }

// Stack returns the stack of the goroutine, cut to a bound.
func Stack() string { return cut(string(debug.Stack()), maxStack) }

func cut(s string, limit int) string { return s[:min(len(s), limit)] }

// Mutex is a lock for state that a panic may leave half changed: nobody decides by that state, since the process ends
// before the lock is free. Its Unlock must be deferred.
type Mutex struct {
	mu    sync.Mutex
	guard *Guard
}

// NewMutex returns an unlocked mutex.
//
//	mu.Lock()
//	defer mu.Unlock()
func (g *Guard) NewMutex() *Mutex { return &Mutex{guard: g} }

// Lock locks the mutex.
func (m *Mutex) Lock() { m.mu.Lock() }

// Unlock unlocks the mutex, or ends the process if the function that defers it panics, whatever with.
func (m *Mutex) Unlock() {
	if p := recover(); p != nil {
		m.guard.end(p)
	}
	m.mu.Unlock()
}

// IsAbort reports whether a recovered panic is that by which a handler cuts a connection on purpose.
func IsAbort(p any) bool {
	err, isError := p.(error)
	return isError && errors.Is(err, http.ErrAbortHandler)
}

// Handler returns a handler that reports a panic of next as one log line and cuts that request alone.
func (g *Guard) Handler(next http.Handler) http.Handler { return &handler{g, next} }

type handler struct {
	guard *Guard
	next  http.Handler
}

// ServeHTTP implements [http.Handler].
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.confine()
	h.next.ServeHTTP(w, r)
}

// confine cuts the request if the function that defers it panics.
func (h *handler) confine() {
	p := recover()
	if p == nil {
		return
	}
	if !IsAbort(p) {
		h.guard.log.Error("request_panicked", "cause", Cause(p), "stack", Stack())
	}
	panic(http.ErrAbortHandler)
}
