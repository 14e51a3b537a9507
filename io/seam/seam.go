// Package seam has the interfaces through which the daemon meets an outside system: callers, upstreams, the
// log with its records, and the daemon's place in all of them. An adapter implements them and decides nothing.
package seam

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
)

// Head is what the head of a caller's request says.
type Head struct {
	ID string
	// Left is how long the caller waits, zero if it does not say.
	Left time.Duration
	Key  string
	// Model is empty for requests without a prompt.
	Model  ident.ModelName
	Chain  []conf.Part
	Output int
	// LastEvent is the last event of a broken stream that the caller has.
	LastEvent string
}

// Orders is what the daemon adds to a request for an upstream.
type Orders struct {
	ID           string
	Upstream     ident.UpstreamID
	Left         time.Duration
	Organisation ident.OrgID
	Priority     int
	// Version must be the upstream's version of the weights, 0 if any will do.
	Version   int64
	Salt      string
	Fetch     []conf.Source
	Save      []conf.Source
	LastEvent string
	// FetchUntil is when a transfer is given up, on the engines' clock; zero is never.
	FetchUntil time.Time
	// Model tells whether the request carries a prompt.
	Model bool
}

// Reply is what the head of an upstream's answer says.
type Reply struct {
	// Signed tells that the answer was made by the upstream's service.
	Signed bool
	// NotRun tells that the upstream did not run the request.
	NotRun bool
	// Misdirected tells that another upstream has the address, or that its weights differ.
	Misdirected bool
	// Upstream is who answered, empty if the answer does not tell.
	Upstream ident.UpstreamID
	// Loaded tells that Running and Waiting are known.
	Loaded           bool
	Running, Waiting int
	// Version is the version of the weights, 0 if the answer does not tell.
	Version int64
}

// Dialect translates the heads of requests and answers.
type Dialect interface {
	// Head reads the head of a caller's request.
	Head(header http.Header) (head Head, err error)
	// Forward makes the header for an upstream.
	Forward(header http.Header, orders Orders) http.Header
	// Reply reads the head of an upstream's answer.
	Reply(status int, header http.Header) Reply
	// Return copies the header of an upstream's answer for the caller.
	Return(to, from http.Header)
	// Refuse fills in the header of the daemon's own answer; a negative time is none.
	Refuse(header http.Header, id string, after time.Duration)
	// IDHeader names the header that an answer repeats.
	IDHeader() string
}

// Topic is one of the streams of records that the daemon reads.
type Topic int

// The topics.
const (
	// Operator carries configurations, versions and orders of the operator.
	Operator Topic = iota
	// Upstreams carries the list of upstreams.
	Upstreams
	// Entries carries the addresses of the daemons themselves.
	Entries
	// Claims carries the claims of duties.
	Claims
)

// ConfigEvent is an accepted configuration.
type ConfigEvent struct{ Data conf.Data }

// VersionEvent names new weights.
type VersionEvent struct {
	Model   ident.ModelName
	Version int64
}

// ZoneEvent takes an availability zone out, or back in.
type ZoneEvent struct {
	Zone    ident.Zone
	Avoided bool
}

// RolloutEvent asks for a move of a service's traffic to another release, or ends it.
type RolloutEvent struct {
	Service ident.ServiceName
	Release string
	Within  time.Duration
	Ended   bool
}

// UpstreamEvent is a listed upstream.
type UpstreamEvent struct{ Upstream conf.Upstream }

// UpstreamGoneEvent is a record that was removed, or that names no upstream to use.
type UpstreamGoneEvent struct{ ID ident.UpstreamID }

// EntryEvent is another daemon's record.
type EntryEvent struct{ ID string }

// ClaimEvent is a claim of a duty.
type ClaimEvent struct {
	Holder string
	Boot   int64
}

// Batch is a run of records, decoded.
type Batch struct {
	// Next is the offset to read on from.
	Next   int64
	Events []any
	// Faults are records that could not be decoded.
	Faults []error
}

// The errors of the store.
var (
	// ErrTrimmed means that the records asked for are gone; a snapshot tells the newest of each key.
	ErrTrimmed = errors.New("records were removed")
	// ErrConflict means that a condition did not hold, so that nothing was done.
	ErrConflict = errors.New("condition did not hold")
	// ErrRefused means that nothing was done.
	ErrRefused = errors.New("call refused")
)

// Store is the log that the daemons share with the operator and the upstreams.
type Store interface {
	// Snapshot reads the newest record of each key.
	Snapshot(ctx context.Context, topic Topic) (batch Batch, err error)
	// Read reads records from an offset, waiting for the first of them.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (batch Batch, err error)
	// Announce records the daemon's own address.
	Announce(ctx context.Context, id string) (err error)
	// Claim appends a claim if the topic ends at an offset, and returns that offset.
	Claim(ctx context.Context, at int64, claim ClaimEvent) (offset int64, err error)
	// Report records how far a rollout is.
	Report(ctx context.Context, service ident.ServiceName, release, state string) (err error)
}

// State is what a model engine says of itself.
type State struct {
	Loading bool
	// Seq counts the orders that it has accepted.
	Seq              int64
	Running, Waiting int
	Weights          map[ident.ModelName]int64
	// Boot is the incarnation of a store.
	Boot int64
}

// LoadOrder orders an engine to load a version of weights.
type LoadOrder struct {
	Upstream ident.UpstreamID
	Address  string
	Model    ident.ModelName
	Version  int64
	Holder   string
	Token    int64
	// Seq is the number of accepted orders on which the order is conditional.
	Seq int64
}

// The errors of an order.
var (
	// ErrOutdated means that the engine has seen a higher fencing token.
	ErrOutdated = errors.New("fencing token is outdated")
	// ErrBusy means that another order is under way or that the condition did not hold.
	ErrBusy = errors.New("engine is busy or has accepted other orders")
)

// Kept is one part that a holder tells of; no tokens means that it no longer has it.
type Kept struct {
	Salt   string
	ID     string
	Tokens int
}

// Holdings is what a holder of kept context tells.
type Holdings struct {
	Boot int64
	// Next continues the report.
	Next int64
	// Clock is the time on the holders' clock, zero if it is not told.
	Clock time.Time
	// Lost tells that there is a gap before what is told.
	Lost bool
	Kept []Kept
	// Partial holds parts that take room but are not complete.
	Partial []Kept
}

// Engines are the calls to model engines and stores of kept context.
type Engines interface {
	State(ctx context.Context, id ident.UpstreamID, addr string) (state State, err error)
	Load(ctx context.Context, order LoadOrder) (err error)
	// Follow reports changes after a point, waiting for the first of them.
	Follow(ctx context.Context, addr string, since int64, wait time.Duration) (holdings Holdings, err error)
	// List reports everything that is kept.
	List(ctx context.Context, addr string) (holdings Holdings, err error)
	// Free takes parts out of a store of an incarnation.
	Free(ctx context.Context, addr string, boot int64, kept []Kept) (err error)
}

// Advice answers callers that ask where to connect, and the platform's question whether the daemon is ready.
type Advice interface {
	// Ready tells whether new connections are welcome.
	Ready() bool
	// Addresses lists where callers of an availability zone may connect, and how long that holds.
	Addresses(zone ident.Zone) (addresses []string, hold time.Duration)
}

// Add takes in what a record decodes to; a record may be faulty and still say that an upstream is not to be used.
func (b *Batch) Add(event any, err error) {
	if event != nil {
		b.Events = append(b.Events, event)
	}
	if err != nil {
		b.Faults = append(b.Faults, err)
	}
}
