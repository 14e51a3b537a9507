package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestInspectionGivenUpNeverRuns lets the loop come to a function only after its caller has gone.
func TestInspectionGivenUpNeverRuns(t *testing.T) {
	runs := 0
	l := &inspection{look: func() { runs++ }, ran: make(chan struct{})}
	if !l.cancel() {
		t.Error("a function that had not begun was not cancelled")
	}
	l.begin()
	if diff := cmp.Diff(0, runs); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}
