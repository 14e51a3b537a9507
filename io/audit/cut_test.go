package audit_test

import (
	"context"
	"testing"
	"time"

	"cicadavalve/core/ledger"
	"cicadavalve/io/audit"
	"cicadavalve/io/logsvc"
)

// cutLog is a log whose reads return no records. It has those from first to the third.
type cutLog struct {
	logsvc.Service
	first int64
}

func (l cutLog) Read(_ context.Context, stream ledger.Stream, _ int64, _ time.Duration) (ledger.BatchMsg, error) {
	return ledger.BatchMsg{Stream: stream, First: l.first, Next: 3}, nil
}

// TestCutLogIsNotReadToItsEnd reads a log that states more records than it returns: what they would show must not be reported as absent.
func TestCutLogIsNotReadToItsEnd(t *testing.T) {
	t.Parallel()
	for first, whole := range map[int64]bool{0: false, 3: true} {
		r := audit.NewReader(cutLog{first: first})
		for name, read := range map[string]func() error{
			"status":   func() error { _, err := r.Status(t.Context()); return err },
			"versions": func() error { _, err := r.Versions(t.Context()); return err },
			"journal":  func() error { _, err := r.Segments(t.Context(), "entry-1"); return err },
		} {
			if err := read(); (err == nil) != whole {
				t.Errorf("%s with records from %d on: error %v", name, first, err)
			}
		}
	}
}
