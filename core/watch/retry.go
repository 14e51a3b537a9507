package watch

import "time"

const (
	// minRetryDelay is the mean delay after the first of several reads that fail, maxRetryDelay that after many. A store that is back is
	// noticed within little more than maxRetryDelay.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// retrySpread is the part of the mean by which a delay is shorter or longer, so that entries that fail together don't return together.
	retrySpread = 0.25
)

// RetryDelay returns the delay after a number of reads in a row that failed, at least one. The fraction, from 0 up to 1, is the entry's place in
// the range of delays.
//
//	delay := watch.RetryDelay(failures, rand.Float64())
func RetryDelay(failures int, fraction float64) time.Duration {
	mean := maxRetryDelay
	if failures < 8 {
		mean = min(mean, minRetryDelay<<max(failures-1, 0))
	}
	return time.Duration(float64(mean) * (1 - retrySpread + 2*retrySpread*fraction))
}
