// Package events keeps repeated log events from flooding the log.
package events

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Handler passes on at most so many records of one event and level in a window;
// the first of the next window tells how many were left out.
type Handler struct {
	next   slog.Handler
	shared *shared
}

// shared is common to a handler and those derived from it.
type shared struct {
	most   int
	window time.Duration
	mu     sync.Mutex
	byName map[name]*count
}

// name is what counts as the same event.
type name struct {
	event string
	level slog.Level
}

// count is what has happened to one event in its window.
type count struct {
	start   time.Time
	passed  int
	skipped int
}

// Suppressed is the attribute that counts the records left out of the window before.
const Suppressed = "suppressed"

// NewHandler limits the records of each event that reach another handler. The record's
// own time decides which window it belongs to.
//
//	log := slog.New(events.NewHandler(slog.NewJSONHandler(os.Stderr, nil), 20, 10*time.Second))
func NewHandler(next slog.Handler, most int, window time.Duration) *Handler {
	return &Handler{next: next, shared: &shared{most: most, window: window, byName: map[name]*count{}}}
}

// Enabled implements [slog.Handler].
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements [slog.Handler].
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	pass, skipped := h.shared.admit(name{r.Message, r.Level}, r.Time)
	if !pass {
		return nil
	}
	if skipped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(Suppressed, skipped))
	}
	return h.next.Handle(ctx, r)
}

// admit tells whether a record passes, and how many of its event the last window left out.
func (s *shared) admit(n name, at time.Time) (pass bool, skipped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.byName[n]
	if !known {
		c = &count{start: at}
		s.byName[n] = c
	}
	if at.Sub(c.start) >= s.window {
		skipped = c.skipped
		*c = count{start: at}
	}
	if c.passed >= s.most {
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
