package entry

import (
	"context"
	"time"

	"cicadavalve/io/engine"
)

const (
	cancelQueue   = 256
	cancelTimeout = 500 * time.Millisecond
)

// cancellation names an attempt that no caller waits for.
type cancellation struct {
	address string
	id      string
}

// canceller tells engines to stop attempts whose connection may no longer reach them.
type canceller struct {
	client engine.Client
	queue  queue[cancellation]
}

func newCanceller(client engine.Client) *canceller {
	return &canceller{client: client, queue: newQueue[cancellation](cancelQueue)}
}

// add never waits: a cancellation only saves an engine work, and a full queue drops it.
func (c *canceller) add(one cancellation) { c.queue.offer(one) }

func (c *canceller) run(ctx context.Context) error { return c.queue.run(ctx, c.cancel) }

// cancel is tried once: an engine that does not answer has nothing to stop or will end by itself.
func (c *canceller) cancel(ctx context.Context, one cancellation) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	_ = c.client.Cancel(ctx, one.address, one.id)
}
