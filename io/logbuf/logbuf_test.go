package logbuf_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/logbuf"
)

// stalled is a writer whose reader reads nothing until it is released.
type stalled struct{ release chan struct{} }

func (s stalled) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestLoggingDoesNotBlockOnAStalledReader logs more than the buffer holds while a write is blocked: lines must be
// dropped rather than wait.
func TestLoggingDoesNotBlockOnAStalledReader(t *testing.T) {
	s := stalled{make(chan struct{})}
	w := logbuf.NewWriter(s)
	log := slog.New(w.Handler(slog.LevelInfo))
	log.Info("first")
	done := make(chan struct{})
	go func() {
		w.Flush()
		close(done)
	}()
	for range 20_000 {
		log.Info("line", "text", strings.Repeat("x", 100))
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(s.release)
	<-done
}

// TestFlushWithinWaitsForLinesOfAnotherFlush has one flush blocked in its write: another one waits until those lines are
// written, but no longer than it may.
func TestFlushWithinWaitsForLinesOfAnotherFlush(t *testing.T) {
	s := stalled{make(chan struct{})}
	w := logbuf.NewWriter(s)
	slog.New(w.Handler(slog.LevelInfo)).Info("first")
	first, second := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(first)
		w.Flush()
	}()
	w.FlushWithin(10 * time.Millisecond)
	go func() {
		defer close(second)
		w.FlushWithin(time.Minute)
	}()
	select {
	case <-second:
		t.Error("flushed although the reader has read nothing")
	case <-time.After(50 * time.Millisecond):
	}
	close(s.release)
	<-first
	<-second
}

// TestWarningsHaveReservedSpace fills the buffer with info lines: a later warning must still be written, and the
// loss reported.
func TestWarningsHaveReservedSpace(t *testing.T) {
	var out bytes.Buffer
	w := logbuf.NewWriter(&out)
	log := slog.New(w.Handler(slog.LevelInfo))
	for range 20_000 {
		log.Info("line", "text", strings.Repeat("x", 100))
	}
	log.Warn("request_ended")
	w.Flush()
	got := []bool{strings.Contains(out.String(), "request_ended"), strings.Contains(out.String(), "log_lines_left_out")}
	if diff := cmp.Diff([]bool{true, true}, got); diff != "" {
		t.Errorf("warning written, loss reported (-want +got):\n%s", diff)
	}
}

func BenchmarkLine(b *testing.B) {
	w := logbuf.NewWriter(&bytes.Buffer{})
	log := slog.New(w.Handler(slog.LevelInfo))
	for b.Loop() {
		log.Info("request_ended", "request", "9c41d07be2a35f68", "status", 200, "upstream", "i-7f3a91c2", "first", 100)
	}
}
