package entry

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// queue is a bounded queue of jobs from the loop, which must not block, to one or more workers.
type queue[T any] struct {
	jobs chan T
}

// newQueue returns a queue with room for size waiting jobs.
func newQueue[T any](size int) queue[T] { return queue[T]{jobs: make(chan T, size)} }

// offer adds a job without blocking and reports false if the queue is full.
func (q queue[T]) offer(job T) bool {
	select {
	case q.jobs <- job:
		return true
	default:
		return false
	}
}

// run executes jobs one at a time until the context ends.
func (q queue[T]) run(ctx context.Context, do func(ctx context.Context, job T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-q.jobs:
			do(ctx, job)
		}
	}
}

// runConcurrently executes up to n jobs at a time until the context ends, and then waits for those that run.
func (q queue[T]) runConcurrently(ctx context.Context, n int, do func(ctx context.Context, job T)) error {
	var group errgroup.Group
	group.SetLimit(n)
	_ = q.run(ctx, func(ctx context.Context, job T) {
		group.Go(func() error {
			do(ctx, job)
			return nil
		})
	})
	return group.Wait()
}
