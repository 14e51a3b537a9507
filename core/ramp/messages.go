package ramp

import (
	"time"

	"cicadavalve/core/ident"
)

// Release is the software release of an upstream.
type Release = string

// Verdict is how a roll-out has ended. Of two verdicts the higher one holds.
type Verdict int

// The verdicts.
const (
	// Undecided roll-outs go on.
	Undecided Verdict = iota
	// RolledBack releases get no more requests.
	RolledBack
	// Done roll-outs are final: the operator may have stopped the old upstreams.
	Done
)

// isKnown reports whether the verdict is one of this build.
func (v Verdict) isKnown() bool { return v >= Undecided && v <= Done }

// State is a state of a roll-out as the operator reads it.
type State string

// The states.
const (
	StateRunning    State = "running"
	StateDone       State = "done"
	StateRolledBack State = "rolled_back"
)

// OrderMsg is the operator's order to move a service to a release within a time.
type OrderMsg struct {
	Service ident.ServiceName
	Target  Release
	Within  time.Duration
	// Since is when the order was given at the earliest, zero if that is not known.
	Since time.Time
}

// EndedMsg reports that an order was removed.
type EndedMsg struct{ Service ident.ServiceName }

// StatesMsg holds the states in the store, which were read at the start. Nothing is sampled before it arrives.
type StatesMsg struct{ States []Recorded }

// Recorded is the state of a roll-out in the store.
type Recorded struct {
	Service ident.ServiceName
	Target  Release
	State   State
}

// LostMsg reports that the store may have lost the recorded states.
type LostMsg struct{}

// RecordedMsg reports that a state was recorded, or that it failed.
type RecordedMsg struct {
	Recorded Recorded
	Failed   bool
}

// Attempt is a request at an upstream.
type Attempt struct {
	ID       uint64
	Service  ident.ServiceName
	Route    string
	Upstream ident.UpstreamID
	Release  Release
	// Cold is set if the upstream is slow because it has just started.
	Cold bool
	// Expected is the time to the first byte that a normal upstream with this load would take.
	Expected time.Duration
	// Output is the maximum length of the answer in tokens, 0 if it is not known.
	Output int
}

// SentMsg reports an attempt.
type SentMsg struct{ Attempt Attempt }

// FirstByteMsg reports the first byte of an attempt's answer.
type FirstByteMsg struct{ ID uint64 }

// EndMsg reports the end of an attempt.
type EndMsg struct {
	ID uint64
	// Failed is set if the answer reports a failure or broke off, Broken if it broke off.
	Failed, Broken bool
	// Void attempts say nothing about the upstream, since they were not run or the caller left.
	Void bool
}

// Pool describes the upstreams of a service.
type Pool struct {
	// OldSlots and NewSlots count the slots of usable upstreams that aren't cold.
	OldSlots, NewSlots int
	// OldInFlight counts the requests at upstreams of other releases than the target.
	OldInFlight int
	// Old counts the upstreams of other releases.
	Old int
}

// Link describes the link of an entry to an upstream.
type Link struct {
	// ContactAt is when the newest request was sent, or connection opened, that the upstream has answered.
	ContactAt time.Time
	// Lost is set if other entries reach the upstream and this one does not.
	Lost bool
}

// TickMsg triggers the periodic decisions.
type TickMsg struct {
	// Holds reports whether this entry decides.
	Holds bool
	// Entries lists the other entries that are alive.
	Entries []string
	// Link describes the link of this entry to an upstream.
	Link func(id ident.UpstreamID) Link
	// Pool describes the upstreams of a service for a target.
	Pool func(service ident.ServiceName, target Release) Pool
}

// ReportMsg is what another entry tells of a roll-out.
type ReportMsg struct {
	Entry  string
	Report Report
}

// Report is what an entry knows of a roll-out.
type Report struct {
	Service ident.ServiceName
	Target  Release
	// Age is the time since the order.
	Age     time.Duration
	Step    int
	Verdict Verdict
	// Cells holds what the entry has counted since it learned of the order.
	Cells []Cell
}

// Cell counts the attempts of one route at both releases.
type Cell struct {
	Route    string
	Old, New Counts
}

// RecordCmd requests that a state be recorded in the store.
type RecordCmd struct{ Recorded Recorded }

// StepCmd reports that a roll-out has reached a step.
type StepCmd struct {
	Service ident.ServiceName
	Target  Release
	Step    int
	Share   float64
	Age     time.Duration
}

// VerdictCmd reports the verdict about a release. Reason is the test result that led to a roll-back, nil if another entry
// decided.
type VerdictCmd struct {
	Service ident.ServiceName
	Target  Release
	Verdict Verdict
	Age     time.Duration
	// Sampled is how many requests this entry has sent to the release.
	Sampled int
	Reason  *Reason
}
