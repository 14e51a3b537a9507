// Package events limits the rate of repeated log events.
package events

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Handler passes on a limited number of records of one event and level per window. The first record after the window
// carries the number of records that were dropped in it.
type Handler struct {
	next   slog.Handler
	shared *shared
}

// shared is the state that a handler shares with those derived from it.
type shared struct {
	limit  int
	window time.Duration
	mu     sync.Mutex
	byName map[eventKey]*windowCount
}

// eventKey identifies an event that is limited on its own.
type eventKey struct {
	event string
	level slog.Level
}

// windowCount counts the records of one event in its current window.
type windowCount struct {
	start   time.Time
	passed  int
	skipped int
}

// Suppressed is the key of the attribute with the number of records dropped in the previous window.
const Suppressed = "suppressed"

// NewHandler returns a handler that passes at most limit records of each event per window on to next. The time of a
// record decides to which window it belongs.
//
//	log := slog.New(events.NewHandler(slog.NewJSONHandler(os.Stderr, nil), 20, 10*time.Second))
func NewHandler(next slog.Handler, limit int, window time.Duration) *Handler {
	return &Handler{next: next, shared: &shared{limit: limit, window: window, byName: map[eventKey]*windowCount{}}}
}

// Enabled implements [slog.Handler].
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements [slog.Handler].
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	pass, skipped := h.shared.admit(eventKey{r.Message, r.Level}, r.Time)
	if !pass {
		return nil
	}
	if skipped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(Suppressed, skipped))
	}
	return h.next.Handle(ctx, r)
}

// admit reports whether a record passes, and how many records of its event were dropped in the previous window.
func (s *shared) admit(n eventKey, at time.Time) (pass bool, skipped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.byName[n]
	if !known {
		c = &windowCount{start: at}
		s.byName[n] = c
	}
	if at.Sub(c.start) >= s.window {
		skipped = c.skipped
		*c = windowCount{start: at}
	}
	if c.passed >= s.limit {
		c.skipped++
		return false, 0
	}
	c.passed++
	return true, skipped
}

// WithAttrs implements [slog.Handler].
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), shared: h.shared}
}

// WithGroup implements [slog.Handler].
func (h *Handler) WithGroup(group string) slog.Handler {
	return &Handler{next: h.next.WithGroup(group), shared: h.shared}
}
