package roll

import "time"

// Option sets one property of a [Model].
type Option func(*Model)

// WithMinDwell sets the minimum duration of each step.
func WithMinDwell(d time.Duration) Option { return func(m *Model) { setPositive(&m.minDwell, d) } }

// WithWeightLease sets the duration of a claim on a weight token; it must exceed the longest load.
func WithWeightLease(d time.Duration) Option {
	return func(m *Model) { setPositive(&m.weightLease, d) }
}

// WithUnloadGrace sets how long the old version stays loaded after a move is
// complete; it must exceed the longest request.
func WithUnloadGrace(d time.Duration) Option {
	return func(m *Model) { setPositive(&m.unloadGrace, d) }
}

// WithKeepInterval sets how often the state of each move is appended again, so
// that it outlasts the log's retention.
func WithKeepInterval(d time.Duration) Option {
	return func(m *Model) { setPositive(&m.keepInterval, d) }
}

// setPositive sets a duration unless the new value is 0, which keeps the default.
func setPositive(to *time.Duration, d time.Duration) {
	if d > 0 {
		*to = d
	}
}

const (
	defaultMinDwell     = 5 * time.Second
	defaultWeightLease  = 30 * time.Second
	defaultUnloadGrace  = 10 * time.Minute
	defaultKeepInterval = 5 * time.Minute
	// retryInterval is how long to wait for a record to be folded before it is appended again.
	retryInterval = 2 * time.Second
)

func (m *Model) setDefaults() {
	m.minDwell = defaultMinDwell
	m.weightLease = defaultWeightLease
	m.unloadGrace = defaultUnloadGrace
	m.keepInterval = defaultKeepInterval
}
