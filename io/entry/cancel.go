package entry

import (
	"context"
	"time"

	"cicadavalve/io/engine"
)

const (
	cancelQueueSize = 256
	cancelTimeout   = 500 * time.Millisecond
)

// cancellation identifies an attempt whose result is no longer needed, and its engine.
type cancellation struct {
	address string
	id      string
}

// canceller asks engines to stop abandoned attempts. It uses a request of its own, since the
// attempt's connection may be broken.
type canceller struct {
	client engine.Client
	queue  queue[cancellation]
}

func newCanceller(client engine.Client) *canceller {
	return &canceller{client: client, queue: newQueue[cancellation](cancelQueueSize)}
}

// enqueue never blocks. It drops the cancellation if the queue is full: cancelling only saves the engine work.
func (c *canceller) enqueue(job cancellation) { c.queue.offer(job) }

// run sends cancellations beside each other: one to an engine that does not answer takes cancelTimeout.
func (c *canceller) run(ctx context.Context) error {
	return c.queue.runConcurrently(ctx, cancelQueueSize, c.cancel)
}

// cancel makes a single attempt: an engine that does not answer has nothing to stop or ends the attempt by itself.
func (c *canceller) cancel(ctx context.Context, job cancellation) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	_ = c.client.Cancel(ctx, job.address, job.id)
}
