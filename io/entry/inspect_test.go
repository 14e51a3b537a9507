package entry

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCancelledInspectionDoesNotRun cancels an inspection that the loop has received but not run. Once inspect has
// returned false, the function must not run any more: it would race with its caller.
func TestCancelledInspectionDoesNotRun(t *testing.T) {
	d := &Daemon{inbox: make(chan work)}
	ctx, cancel := context.WithCancel(t.Context())
	ran := false
	result := make(chan bool)
	inspection := &inspector{d: d, result: result, fn: func() { ran = true }}
	go inspection.run(ctx)
	w := <-d.inbox
	cancel()
	type outcome struct{ Reported, Ran bool }
	reported := <-result
	w.inspect()
	if diff := cmp.Diff(outcome{}, outcome{reported, ran}); diff != "" {
		t.Errorf("inspection after its context ended (-want +got):\n%s", diff)
	}
}

// inspector calls [Daemon.inspect] with fn and sends the result.
type inspector struct {
	d      *Daemon
	fn     func()
	result chan<- bool
}

func (i *inspector) run(ctx context.Context) { i.result <- i.d.inspect(ctx, i.fn) }
