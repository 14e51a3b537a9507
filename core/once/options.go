package once

import (
	"cmp"
	"time"
)

// Option sets one property of a [Model].
type Option func(*Model)

// WithSendLimit bounds the time between an attempt's arrival and the beginning of its sending.
func WithSendLimit(d time.Duration) Option { return func(m *Model) { m.sendLimit = d } }

// WithAbandonAge sets for how long a start without an end holds its key as in
// progress, counted on each entry from when it folded the start. It must exceed
// the send limit and the longest call, and be the same on all entries.
func WithAbandonAge(d time.Duration) Option { return func(m *Model) { m.abandonAge = d } }

// WithWindow sets for how many records of the stream a key is kept. It must be the same on all entries.
func WithWindow(records int64) Option { return func(m *Model) { m.window = records } }

// WithSnapshotEvery sets how many records lie between two snapshots.
func WithSnapshotEvery(records int64) Option { return func(m *Model) { m.snapshotEvery = records } }

// WithRoster lets the entry start calls only while [MembersMsg] and [LeaseMsg] say that it is a
// member which the others know of. A leaving entry starts calls for a time stay more; quiet must
// exceed the lease, stay and the difference of clocks, and be the same on all entries.
func WithRoster(stay, quiet time.Duration) Option {
	return func(m *Model) { m.members.bound, m.members.stay, m.members.quiet = true, stay, quiet }
}

// Limits are the bounds of once-only calls that an operator may set; 0 takes the default.
type Limits struct {
	// SendLimit is for [WithSendLimit].
	SendLimit time.Duration `json:"send_limit"`
	// AbandonAge is for [WithAbandonAge].
	AbandonAge time.Duration `json:"abandon_age"`
	// Window is for [WithWindow].
	Window int64 `json:"window"`
	// Stay and Quiet are for [WithRoster].
	Stay  time.Duration `json:"stay"`
	Quiet time.Duration `json:"quiet"`
}

// WithLimits sets the bounds that are not 0.
func WithLimits(l Limits) Option {
	return func(m *Model) {
		m.sendLimit = cmp.Or(l.SendLimit, m.sendLimit)
		m.abandonAge = cmp.Or(l.AbandonAge, m.abandonAge)
		m.window = cmp.Or(l.Window, m.window)
	}
}

const (
	defaultSendLimit     = 5 * time.Second
	defaultAbandonAge    = 40 * time.Second
	defaultWindow        = 100_000
	defaultSnapshotEvery = 20_000
	// abandonSpread spreads the entries that would all end the same abandoned attempt.
	abandonSpread = 10 * time.Second
	// resendAfter exceeds the time that one append may take.
	resendAfter = 3 * time.Second
	// staleAfter exceeds the time between two batches of an idle stream.
	staleAfter = 5 * time.Second
	// logRetryAfter is how long calls are refused at once after the log was found down.
	logRetryAfter = time.Second
	// mostWaiting bounds the attempts that wait for their start, and mostEnds the ends not folded yet.
	mostWaiting = 4096
	mostEnds    = 4096
	// mostKeptBytes bounds a kept result.
	mostKeptBytes = 4 << 10
)

func (m *Model) setDefaults() {
	m.sendLimit = defaultSendLimit
	m.abandonAge = defaultAbandonAge
	m.window = defaultWindow
	m.snapshotEvery = defaultSnapshotEvery
}
