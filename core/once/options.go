package once

import (
	"cmp"
	"time"
)

// Option sets one property of a [Model].
type Option func(*Model)

// WithSendLimit bounds the time from an attempt's arrival until its sending begins.
func WithSendLimit(d time.Duration) Option { return func(m *Model) { m.sendLimit = d } }

// WithAbandonAge sets how long a start without an end counts as in progress before it is ended as
// unknown; each entry counts from when it folded the start. It must exceed the send limit plus the
// longest call, and be the same on all entries.
func WithAbandonAge(d time.Duration) Option { return func(m *Model) { m.abandonAge = d } }

// WithWindow sets for how many records of the stream a key is held. It must be the same on all entries.
func WithWindow(records int64) Option { return func(m *Model) { m.window = records } }

// WithSnapshotEvery sets after how many records the next snapshot is due.
func WithSnapshotEvery(records int64) Option { return func(m *Model) { m.snapshotEvery = records } }

// WithRoster lets the entry start calls only while it holds a lease ([LeaseMsg]) as a member
// ([MembersMsg]) whose join all others have folded. A leaving entry may start calls for leaveGrace
// more. The departureDelay must exceed the sum of the lease, leaveGrace and the clock difference, and
// be the same on all entries.
func WithRoster(leaveGrace, departureDelay time.Duration) Option {
	return func(m *Model) {
		m.members.rosterRequired, m.members.leaveGrace, m.members.departureDelay = true, leaveGrace, departureDelay
	}
}

// Limits are the settings of once-only calls that an operator may change; 0 means the default.
type Limits struct {
	// SendLimit is the value for [WithSendLimit].
	SendLimit time.Duration `json:"send_limit"`
	// AbandonAge is the value for [WithAbandonAge].
	AbandonAge time.Duration `json:"abandon_age"`
	// Window is the value for [WithWindow], in records.
	Window int64 `json:"window"`
	// LeaveGrace is the leaveGrace for [WithRoster].
	LeaveGrace time.Duration `json:"stay"`
	// DepartureDelay is the departureDelay for [WithRoster].
	DepartureDelay time.Duration `json:"quiet"`
}

// WithLimits applies SendLimit, AbandonAge and Window where they are not 0.
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
	// abandonSpread is the range of the delays after which entries end the same abandoned attempt.
	abandonSpread = 10 * time.Second
	// resendInterval exceeds the longest time that one append may take.
	resendInterval = 3 * time.Second
	// staleBatchAge exceeds the time between two batches of an idle stream; past it the log counts as down.
	staleBatchAge = 5 * time.Second
	// logRetryAfter is how long calls are refused without an append after the log was found down.
	logRetryAfter = time.Second
	// maxOpenAttempts bounds the attempts that have not ended, and maxPendingEnds the end records not folded yet.
	maxOpenAttempts = 4096
	maxPendingEnds  = 4096
	// maxKeptResultBytes bounds the body of a stored result.
	maxKeptResultBytes = 4 << 10
)

func (m *Model) setDefaults() {
	m.sendLimit = defaultSendLimit
	m.abandonAge = defaultAbandonAge
	m.window = defaultWindow
	m.snapshotEvery = defaultSnapshotEvery
}
