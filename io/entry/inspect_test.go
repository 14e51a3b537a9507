package entry

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAbandonedInspectionNeverRuns ends the context of an inspection that waits in the inbox.
func TestAbandonedInspectionNeverRuns(t *testing.T) {
	d := &Daemon{inbox: make(chan work)}
	ctx, cancel := context.WithCancel(t.Context())
	ran := false
	ended := make(chan bool)
	asking := &inspector{d: d, ended: ended, look: func() { ran = true }}
	go asking.run(ctx)
	w := <-d.inbox
	cancel()
	type outcome struct{ Reported, Ran bool }
	reported := <-ended
	w.inspect()
	if diff := cmp.Diff(outcome{}, outcome{reported, ran}); diff != "" {
		t.Errorf("inspection after its context ended (-want +got):\n%s", diff)
	}
}

// inspector inspects a daemon.
type inspector struct {
	d     *Daemon
	look  func()
	ended chan<- bool
}

func (a *inspector) run(ctx context.Context) { a.ended <- a.d.inspect(ctx, a.look) }
