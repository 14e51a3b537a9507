package roll

import "time"

// Option sets one property of a [Model].
type Option func(*Model)

// WithMinDwell sets how long each step lasts at least.
func WithMinDwell(d time.Duration) Option { return func(m *Model) { setAbove(&m.minDwell, d) } }

// WithWeightLease sets how long a claim on a weight token lasts; it must exceed the longest load.
func WithWeightLease(d time.Duration) Option { return func(m *Model) { setAbove(&m.weightLease, d) } }

// WithUnloadGrace sets how long the old version stays loaded after a move is
// complete; it must exceed the longest request.
func WithUnloadGrace(d time.Duration) Option { return func(m *Model) { setAbove(&m.unloadGrace, d) } }

// WithKeepInterval sets how often the state of each move is appended anew, so
// that it outlives the log's retention.
func WithKeepInterval(d time.Duration) Option { return func(m *Model) { setAbove(&m.keepInterval, d) } }

// setAbove keeps the default where the setting is 0.
func setAbove(to *time.Duration, d time.Duration) {
	if d > 0 {
		*to = d
	}
}

const (
	defaultMinDwell     = 5 * time.Second
	defaultWeightLease  = 30 * time.Second
	defaultUnloadGrace  = 10 * time.Minute
	defaultKeepInterval = 5 * time.Minute
	// proposeInterval is the time after which a record that was not folded is appended again.
	proposeInterval = 2 * time.Second
)

func (m *Model) setDefaults() {
	m.minDwell = defaultMinDwell
	m.weightLease = defaultWeightLease
	m.unloadGrace = defaultUnloadGrace
	m.keepInterval = defaultKeepInterval
}
