package entry

import "context"

// queue hands jobs from the loop, which never waits, to a worker.
type queue[T any] struct {
	jobs chan T
}

// newQueue holds at most so many jobs that no worker has taken.
func newQueue[T any](size int) queue[T] { return queue[T]{jobs: make(chan T, size)} }

// offer reports whether the job found a place.
func (q queue[T]) offer(job T) bool {
	select {
	case q.jobs <- job:
		return true
	default:
		return false
	}
}

// run does the jobs one after another until the context ends.
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
