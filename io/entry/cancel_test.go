package entry

import (
	"context"
	"testing"
	"time"

	"cicadavalve/io/engine"
)

// silentEngines answers no cancellation but those of one engine.
type silentEngines struct {
	engine.Client
	answering string
	cancelled chan string
}

func (s silentEngines) Cancel(ctx context.Context, address, id string) error {
	if address != s.answering {
		<-ctx.Done()
		return ctx.Err()
	}
	s.cancelled <- id
	return nil
}

// TestSilentEngineDelaysNoCancellationElsewhere cancels attempts on an engine that doesn't answer, and one on another engine.
func TestSilentEngineDelaysNoCancellationElsewhere(t *testing.T) {
	t.Parallel()
	client := silentEngines{answering: "b", cancelled: make(chan string, 1)}
	c := newCanceller(client)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.run(ctx) }()
	for range 20 {
		c.enqueue(cancellation{"a", "abandoned"})
	}
	c.enqueue(cancellation{"b", "abandoned"})
	select {
	case <-client.cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the cancellation waits behind those of a silent engine")
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
