package events_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/events"
)

// sink records the events that reach it and their counts of dropped records.
type sink struct {
	slog.Handler
	got *[]line
}

type line struct {
	Event   string
	Skipped int64
}

func (s sink) Enabled(context.Context, slog.Level) bool { return true }

func (s sink) Handle(_ context.Context, r slog.Record) error {
	l := line{Event: r.Message}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == events.Suppressed {
			l.Skipped = a.Value.Int64()
		}
		return true
	})
	*s.got = append(*s.got, l)
	return nil
}

func TestRepeatsAreLimitedAndCounted(t *testing.T) {
	var got []line
	h := events.NewHandler(sink{got: &got}, 2, time.Second)
	start := time.Date(2026, 12, 5, 18, 0, 0, 0, time.UTC)
	handle := func(event string, after time.Duration) {
		if err := h.Handle(t.Context(), slog.NewRecord(start.Add(after), slog.LevelWarn, event, 0)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		handle("append_failed", time.Duration(i)*time.Millisecond)
	}
	handle("entry_started", 0)
	handle("append_failed", time.Second)
	want := []line{{"append_failed", 0}, {"append_failed", 0}, {"entry_started", 0}, {"append_failed", 3}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}
