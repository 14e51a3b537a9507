// Package trail writes log lines without ever blocking those who log.
package trail

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// roomSize is how many bytes may wait for a slow reader; what comes beyond is counted and left out.
	roomSize = 512 << 10
	// urgentSize is the part of the room that is kept for lines above the level of information, in bytes.
	urgentSize = 128 << 10
	// flushTime is how long lines are gathered for one write.
	flushTime = 50 * time.Millisecond
)

// Writer gathers lines and writes them in the background.
type Writer struct {
	to io.Writer
	mu sync.Mutex
	// lines never holds more than roomSize bytes.
	lines []byte
	// left counts the lines that found no room since the last write.
	left int
	wake chan struct{}
}

// NewWriter writes to another writer, which may block.
//
//	w := trail.NewWriter(os.Stdout)
//	log := slog.New(w.Handler(slog.LevelInfo))
//	go w.Run(ctx)
func NewWriter(to io.Writer) *Writer { return &Writer{to: to, wake: make(chan struct{}, 1)} }

// Write implements [io.Writer]; it keeps a line or counts it as left out.
func (w *Writer) Write(line []byte) (n int, err error) {
	w.add(line, roomSize-urgentSize)
	return len(line), nil
}

func (w *Writer) add(line []byte, room int) {
	w.mu.Lock()
	if len(w.lines)+len(line) > room {
		w.left++
	} else {
		w.lines = append(w.lines, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// urgent writes into the whole room.
type urgent struct{ w *Writer }

// Write implements [io.Writer].
func (u urgent) Write(line []byte) (n int, err error) {
	u.w.add(line, roomSize)
	return len(line), nil
}

// Left is how many lines were left out since the last write.
func (w *Writer) Left() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// Run writes what was gathered until the context ends, and then once more.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return
		case <-w.wake:
		}
		select {
		case <-ctx.Done():
		case <-time.After(flushTime):
		}
		w.Flush()
	}
}

// Flush writes what was gathered, and a line that counts what was left out.
func (w *Writer) Flush() {
	w.mu.Lock()
	lines, left := w.lines, w.left
	w.lines, w.left = nil, 0
	w.mu.Unlock()
	if left > 0 {
		slog.New(slog.NewJSONHandler(&sink{&lines}, nil)).Warn("log_lines_left_out", "count", left)
	}
	if len(lines) > 0 {
		// A reader that is gone leaves nobody to tell.
		_, _ = w.to.Write(lines)
	}
}

// sink appends to a slice.
type sink struct{ to *[]byte }

// Write implements [io.Writer].
func (s *sink) Write(b []byte) (n int, err error) {
	*s.to = append(*s.to, b...)
	return len(b), nil
}

// Handler writes records as JSON lines; those above the level of information have room of their own.
func (w *Writer) Handler(level slog.Leveler) slog.Handler {
	options := &slog.HandlerOptions{Level: level}
	return &handler{plain: slog.NewJSONHandler(w, options), urgent: slog.NewJSONHandler(urgent{w}, options)}
}

// handler sends records to one of two handlers by their level.
type handler struct{ plain, urgent slog.Handler }

// Enabled implements [slog.Handler].
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.plain.Enabled(ctx, level)
}

// Handle implements [slog.Handler].
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level > slog.LevelInfo {
		return h.urgent.Handle(ctx, r)
	}
	return h.plain.Handle(ctx, r)
}

// WithAttrs implements [slog.Handler].
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.plain.WithAttrs(attrs), h.urgent.WithAttrs(attrs)}
}

// WithGroup implements [slog.Handler].
func (h *handler) WithGroup(group string) slog.Handler {
	return &handler{h.plain.WithGroup(group), h.urgent.WithGroup(group)}
}
