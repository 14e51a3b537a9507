package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/leave"
)

// errStopped ends the exchanges that still run when the entry ends.
var errStopped = errors.New("entry stopped")

// stop applies the decisions of a stopping entry. It is safe for concurrent use.
type stop struct {
	mu       sync.Mutex
	model    *leave.Model
	stopping bool
	// ended is done once running requests are to be answered.
	ended context.Context
	end   context.CancelFunc
}

func newStop() *stop {
	s := &stop{model: leave.NewModel()}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Leave makes all further answers ask callers to close their connections, and refuses requests whose answers are not
// expected before a time.
func (h *Handler) Leave(endsAt time.Time) {
	h.stop.mu.Lock()
	defer h.stop.mu.Unlock()
	h.stop.stopping = true
	h.stop.model.Update(time.Time{}, leave.StopMsg{EndsAt: endsAt})
}

// End answers the requests that still run.
func (h *Handler) End() { h.stop.end() }

func (s *stop) begun() (stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// takes reports whether a request that was read may be placed.
func (s *stop) takes(now time.Time, x *exchange) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Takes(now, leave.Request{
		Route: x.route.Name, Deadline: x.deadline, Repeatable: x.route.Repeatable(),
	})
}

// observe records how long an answer took.
func (s *stop) observe(now time.Time, route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Update(now, leave.AnsweredMsg{Route: route, Took: took})
}

// bind returns a context that ends with errStopped when running requests are to be answered. The caller must call
// release.
func (s *stop) bind(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(s.ended, func() { cancel(errStopped) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// endAtStop answers a request that still runs at the end of the entry; ran is set if an upstream may have run it. An answer that has
// begun is broken off, so that its caller continues it elsewhere.
func (x *exchange) endAtStop(ran bool) {
	switch {
	case x.committed:
		x.abort("entry_stopped")
	case ran:
		x.refuse(http.StatusBadGateway, -1, "entry_stopped")
	default:
		x.refuse(http.StatusServiceUnavailable, 0, "entry_stopping")
	}
}
