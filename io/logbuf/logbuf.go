// Package logbuf writes log lines in the background, so that logging never blocks on a slow reader.
package logbuf

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the lines buffered for a slow reader; lines beyond it are counted and dropped.
	maxBufferBytes = 512 << 10
	// reservedBytes is the part of the buffer reserved for lines above the info level.
	reservedBytes = 128 << 10
	// flushDelay is how long lines are collected for one write.
	flushDelay = 50 * time.Millisecond
)

// Writer buffers lines and writes them in the background.
type Writer struct {
	to io.Writer
	// writing is held from when lines are taken until they are written, so that Flush also waits for those of another.
	writing sync.Mutex
	mu      sync.Mutex
	// lines never holds more than maxBufferBytes.
	lines []byte
	// dropped counts the lines dropped since the last flush.
	dropped int
	wake    chan struct{}
}

// NewWriter returns a writer to another one, which may block.
//
//	w := logbuf.NewWriter(os.Stdout)
//	log := slog.New(w.Handler(slog.LevelInfo))
//	go w.Run(ctx)
func NewWriter(to io.Writer) *Writer { return &Writer{to: to, wake: make(chan struct{}, 1)} }

// Write implements [io.Writer]. It buffers or drops the line, never blocks on the reader, and returns no error.
func (w *Writer) Write(line []byte) (n int, err error) {
	w.add(line, maxBufferBytes-reservedBytes)
	return len(line), nil
}

// add buffers a line if the buffer then holds at most limit bytes, and drops it otherwise.
func (w *Writer) add(line []byte, limit int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lines)+len(line) > limit {
		w.dropped++
	} else {
		w.lines = append(w.lines, line...)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// urgentWriter writes lines that may use the whole buffer.
type urgentWriter struct{ w *Writer }

// Write implements [io.Writer].
func (u urgentWriter) Write(line []byte) (n int, err error) {
	u.w.add(line, maxBufferBytes)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last flush.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes buffered lines until the context ends, and then flushes once more.
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
		case <-time.After(flushDelay):
		}
		w.Flush()
	}
}

// take empties the buffer and returns what was in it, and how many lines were dropped.
func (w *Writer) take() (lines []byte, dropped int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, dropped = w.lines, w.dropped
	w.lines, w.dropped = nil, 0
	return lines, dropped
}

// Flush writes the buffered lines, followed by a warning with the number of dropped lines if there are any. Lines
// buffered before the call have been written when it returns.
func (w *Writer) Flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	lines, dropped := w.take()
	if dropped > 0 {
		slog.New(slog.NewJSONHandler(&sliceWriter{&lines}, nil)).Warn("log_lines_left_out", "count", dropped)
	}
	if len(lines) > 0 {
		// There is nowhere to report a failed write of the log itself.
		_, _ = w.to.Write(lines)
	}
}

// FlushWithin flushes, and gives up on a slow reader after a time.
func (w *Writer) FlushWithin(d time.Duration) {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		w.Flush()
	}()
	select {
	case <-flushed:
	case <-time.After(d):
	}
}

// sliceWriter is an [io.Writer] that appends to a slice.
type sliceWriter struct{ to *[]byte }

// Write implements [io.Writer].
func (s *sliceWriter) Write(b []byte) (n int, err error) {
	*s.to = append(*s.to, b...)
	return len(b), nil
}

// Handler returns a handler that writes records as JSON lines; those above the info level may use the reserved part
// of the buffer.
func (w *Writer) Handler(level slog.Leveler) slog.Handler {
	options := &slog.HandlerOptions{Level: level}
	return &handler{plain: slog.NewJSONHandler(w, options), urgent: slog.NewJSONHandler(urgentWriter{w}, options)}
}

// handler passes records to one of two handlers by level.
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
