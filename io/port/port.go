// Package port defines the interfaces between the daemon and the outside systems: callers, upstreams, and the log with
// its records. An adapter implements them; it translates and makes no decisions.
package port

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/usage"
)

// Head is the decoded head of a caller's request.
type Head struct {
	ID string
	// Timeout is the remaining time for which the caller waits, zero if it is not stated.
	Timeout time.Duration
	Key     string
	// Model is empty for requests without a prompt.
	Model  ident.ModelName
	Chain  []conf.Part
	Output int
	// LastEvent is the id of the last event of a broken stream that the caller has received.
	LastEvent string
}

// Handover is what an entry states of a request that it hands over to another one.
type Handover struct {
	// By is the id of the entry that hands the request over.
	By string
	// Runs counts the attempts that may have run the request.
	Runs int
	// Counted is set if the request counts as a first one in the retry budget already.
	Counted bool
	// Timeout is the time left for the request.
	Timeout time.Duration
	// LastEvent is the id of the last event of a stream that the caller has received.
	LastEvent string
}

// ForwardValues are the values that the daemon adds to a request for an upstream.
type ForwardValues struct {
	ID           string
	Upstream     ident.UpstreamID
	Timeout      time.Duration
	Organisation ident.OrgID
	Priority     int
	// Version is the version of the weights that must run the request, 0 if any may.
	Version   int64
	Salt      string
	Fetch     []conf.Source
	Save      []conf.Source
	LastEvent string
	// FetchDeadline is the deadline of transfers, on the engines' clock; zero means none.
	FetchDeadline time.Time
	// Model reports whether the request has a prompt.
	Model bool
}

// Reply is the decoded head of an upstream's answer.
type Reply struct {
	// Signed reports that the upstream's service made the answer.
	Signed bool
	// NotRun reports that the upstream did not run the request.
	NotRun bool
	// Misdirected reports that another upstream has the address, or that the weights differ.
	Misdirected bool
	// Upstream is the upstream that answered, empty if the answer does not state it.
	Upstream ident.UpstreamID
	// HasLoad reports that Running or Waiting, the requests at the upstream, is set. One that can't be read is 0.
	HasLoad          bool
	Running, Waiting int
	// HasSlowdown reports that Slowdown is set: how long work takes at the upstream now, as a multiple of the usual time. It may be out
	// of any sensible range.
	HasSlowdown bool
	Slowdown    float64
	// LoadFault is why fields of the load can't be used, nil if there are no such fields.
	LoadFault error
	// Version is the version of the weights, 0 if the answer does not state it.
	Version int64
	// Limit is the limit that the answer names.
	Limit conf.NamedLimit
	// LimitFault is why a limit of the answer can't be used, nil if there is no such limit.
	LimitFault error
	// RejectionLimit is how many rejections a second the upstream tolerates, if the answer says that it crashes beyond that.
	RejectionLimit conf.NamedLimit
	// RejectionLimitFault is why that number can't be used, nil if there is no such number.
	RejectionLimitFault error
	// Leaving reports that the upstream is about to leave.
	Leaving bool
	// RetryAfter is how long an upstream that rejected the request asks this entry to back off, 0 if it does not.
	RetryAfter time.Duration
	// RetryAfterFault is why that time can't be used, nil if there is no such time.
	RetryAfterFault error
}

// Began reports whether the answer shows that the upstream has begun to run the request.
func (r Reply) Began() bool { return r.Signed && !r.NotRun && !r.Misdirected }

// Dialect translates the heads of requests and answers.
type Dialect interface {
	// Head reads the head of a caller's request.
	Head(header http.Header) (head Head, err error)
	// Forward returns the header of the request to an upstream.
	Forward(header http.Header, values ForwardValues) http.Header
	// HandOver returns the header of a request that is handed over to another entry.
	HandOver(header http.Header, handover Handover) http.Header
	// Handover reads what an entry states of a request that it handed over; LastEvent and Timeout are part of the head.
	Handover(header http.Header) (handover Handover, err error)
	// Reply reads the head of an upstream's answer.
	Reply(status int, header http.Header) Reply
	// Return copies the header of an upstream's answer to the header of the answer to the caller.
	Return(to, from http.Header)
	// Refuse sets the header of the daemon's own answer. A negative retryAfter is left out.
	Refuse(header http.Header, id string, retryAfter time.Duration)
	// IDHeader returns the name of the header with the request id, which an answer repeats.
	IDHeader() string
}

// Topic identifies a stream of records that the daemon reads.
type Topic int

// The topics.
const (
	// Operator carries configurations, versions and orders of the operator.
	Operator Topic = iota
	// Upstreams carries the list of upstreams.
	Upstreams
	// Entries carries the addresses of the daemons themselves.
	Entries
	// Claims carries the claims of the lease on giving orders.
	Claims
	// Verdicts carries what the daemons must remember of crashing requests.
	Verdicts
	// Rollouts carries the states of roll-outs that the daemons have recorded.
	Rollouts
	// Usage carries the counts that are reported to the provider, and checkpoints of counters.
	Usage
)

// ConfigEvent is an accepted configuration.
type ConfigEvent struct{ Data conf.Data }

// VersionEvent announces a version of the weights of a model.
type VersionEvent struct {
	Model   ident.ModelName
	Version int64
}

// ZoneEvent takes an availability zone out of use, or back into use.
type ZoneEvent struct {
	Zone    ident.Zone
	Avoided bool
}

// RolloutEvent requests that a service's traffic move to another release, or ends the move.
type RolloutEvent struct {
	Service ident.ServiceName
	Release string
	Within  time.Duration
	Ended   bool
}

// RolloutStateEvent is the state of a roll-out that a daemon has recorded.
type RolloutStateEvent struct {
	Service ident.ServiceName
	Release string
	State   string
}

// UpstreamEvent is a listed upstream.
type UpstreamEvent struct{ Upstream conf.Upstream }

// UpstreamGoneEvent is the removal of an upstream.
type UpstreamGoneEvent struct{ ID ident.UpstreamID }

// UpstreamUnreadableEvent is a record under the ID of an upstream that names none to use.
type UpstreamUnreadableEvent struct{ ID ident.UpstreamID }

// EntryEvent is the address that a daemon has announced, as its id.
type EntryEvent struct{ ID string }

// ClaimEvent is a claim of the lease by an incarnation of a daemon.
type ClaimEvent struct {
	Holder string
	Boot   int64
}

// UsageEvent is a record of the counts of requests.
type UsageEvent struct{ Record usage.Record }

// SecretEvent is the secret under which all daemons compute the digests of requests. It is empty if another build recorded it in a form
// that this one can't read.
type SecretEvent struct{ Secret []byte }

// QuarantineEvent is a request in quarantine. Body is the body of the daemons' own record.
type QuarantineEvent struct {
	Digest string
	Body   json.RawMessage
}

// SuspectEvent is a request with several losses. Body is the body of the daemons' own record.
type SuspectEvent struct {
	Digest string
	Body   json.RawMessage
}

// Record is a record of a topic.
type Record struct {
	Offset  int64
	Content []byte
	// Event is nil if the record does not concern the daemon or can't be read.
	Event any
}

// Batch holds consecutive decoded records.
type Batch struct {
	// Next is the offset of the next read; with ErrTrimmed, the first offset that is kept.
	Next int64
	// End is where the topic ended when it was read; records up to it may be missing from a read, since its size is limited.
	// It is 0 in a snapshot.
	End int64
	// Era counts how often the store has come back from a copy. Offsets of different eras don't compare.
	Era    int64
	Events []any
	// Records are those that were read, with their events; none in a snapshot.
	Records []Record
	// Faults holds an error for each record that could not be decoded.
	Faults []error
}

// Errors of the store.
var (
	// ErrTrimmed means that the requested records have been removed, or never existed; a snapshot returns the newest of
	// each key.
	ErrTrimmed = errors.New("records were removed")
	// ErrConflict means that a condition did not hold, so that nothing was done.
	ErrConflict = errors.New("condition did not hold")
	// ErrRefused means that the call was refused, so that nothing was done.
	ErrRefused = errors.New("call refused")
	// ErrOverRate means that it was refused since the daemons together make too many calls.
	ErrOverRate = errors.Wrap(ErrRefused, "rate of calls exceeded")
)

// BackoffError means that an upstream refused a call and asks for no calls of this entry for a time. It wraps [ErrRefused].
//
//	var backoff *port.BackoffError
//	if errors.As(err, &backoff) { pause(backoff.After) }
type BackoffError struct{ After time.Duration }

// Error returns the message of the error.
func (e *BackoffError) Error() string {
	return "call refused, with " + e.After.String() + " to back off"
}

// Unwrap returns [ErrRefused].
func (e *BackoffError) Unwrap() error { return ErrRefused }

// Store is the log that the daemons share with the operator and the upstreams.
type Store interface {
	// Snapshot reads the newest record of each key, in pages. The timeout bounds each page, since there may be any number of them.
	Snapshot(ctx context.Context, topic Topic, timeout time.Duration) (batch Batch, err error)
	// Read reads records from an offset. If there are none yet, it waits at most the given time for the first. With
	// ErrTrimmed the batch still holds Next and Era.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (batch Batch, err error)
	// Decode returns the event of a record's content, nil if it does not concern the daemon. Both results may be set, as in [Batch.Add].
	Decode(topic Topic, content []byte) (event any, err error)
	// Announce records the daemon's own address, which is its id.
	Announce(ctx context.Context, id string) (err error)
	// Claim appends a claim on the condition that the topic ends at an offset. It returns the offset of the claim and
	// the era of the store.
	Claim(ctx context.Context, at int64, claim ClaimEvent) (offset, era int64, err error)
	// ProposeSecret records the secret for digests on the condition that the topic of verdicts ends at an offset.
	ProposeSecret(ctx context.Context, at int64, secret []byte) (err error)
	// RecordQuarantine records a request in quarantine by its digest; an empty body removes the record.
	RecordQuarantine(ctx context.Context, digest string, body json.RawMessage) (err error)
	// RecordSuspect records what is remembered of a request with several losses, by its digest; an empty body removes
	// the record.
	RecordSuspect(ctx context.Context, digest string, body json.RawMessage) (err error)
	// ReportRollout records the state of a rollout.
	ReportRollout(ctx context.Context, service ident.ServiceName, release, state string) (err error)
	// AppendUsage appends a record of counts on the condition that the topic of usage ends at an offset. It returns the offset of the
	// record and the era of the store.
	AppendUsage(ctx context.Context, at int64, record usage.Record) (offset, era int64, err error)
}

// State is the state that a model engine reports.
type State struct {
	Loading bool
	// Seq is the number of orders that the engine has accepted.
	Seq              int64
	Running, Waiting int
	Weights          map[ident.ModelName]int64
	// Boot identifies the incarnation of a store.
	Boot int64
	// Born identifies the incarnation of an upstream, 0 if it does not report it.
	Born int64
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

// ErrMisdirected means that another upstream answers at the address.
var ErrMisdirected = errors.New("another upstream answered")

// Errors of an order.
var (
	// ErrOutdated means that the engine has seen a higher fencing token.
	ErrOutdated = errors.New("fencing token is outdated")
	// ErrBusy means that another order is in progress or that the condition did not hold.
	ErrBusy = errors.New("engine is busy or has accepted other orders")
)

// UsageReport states how many requests of each organisation began in a window.
type UsageReport struct {
	// Window is the number of the window: it begins that many times the length of a window after the Unix epoch.
	Window int64
	Counts map[ident.OrgID]int64
	Holder string
	Token  int64
}

// CapacityOrder orders the number of a service's upstreams in an availability zone.
type CapacityOrder struct {
	Service ident.ServiceName
	Zone    ident.Zone
	Count   int
	Holder  string
	Token   int64
}

// Provider bills the use of the upstreams and starts and stops them. Its calls return nil once they have been carried out, [ErrOutdated] if
// the provider has seen a higher fencing token, and [ErrRefused] if nothing was done. A call with any other error may still be carried out,
// after later ones.
type Provider interface {
	ReportUsage(ctx context.Context, report UsageReport) (err error)
	OrderCapacity(ctx context.Context, order CapacityOrder) (err error)
}

// PartState is one part in the report of a holder; zero tokens mean that the holder no longer has it.
type PartState struct {
	Salt   string
	ID     string
	Tokens int
}

// Holdings is the report of a holder of cached context.
type Holdings struct {
	Boot int64
	// Next is the position from which the next call continues.
	Next int64
	// Clock is the time on the holders' clock, zero if it is not reported.
	Clock time.Time
	// HasGap reports that changes before those in the report were lost.
	HasGap bool
	Parts  []PartState
	// Partial holds incomplete parts, which take up capacity as well.
	Partial []PartState
}

// Engines are the calls to model engines and stores of cached context.
type Engines interface {
	State(ctx context.Context, id ident.UpstreamID, addr string) (state State, err error)
	Load(ctx context.Context, order LoadOrder) (err error)
	// Follow reports the changes after a position. If there are none yet, it waits at most the given time for the
	// first.
	Follow(ctx context.Context, addr string, since int64, wait time.Duration) (holdings Holdings, err error)
	// List reports everything that a holder keeps.
	List(ctx context.Context, addr string) (holdings Holdings, err error)
	// Free removes parts from a store, on the condition that it is still the given incarnation.
	Free(ctx context.Context, addr string, boot int64, kept []PartState) (err error)
}

// Advice answers callers that ask where to connect, and the platform's readiness probes.
type Advice interface {
	// Ready reports whether the daemon accepts new connections.
	Ready() bool
	// Addresses lists at most limit addresses to which a caller in an availability zone may connect, and how long the list is
	// valid.
	Addresses(caller string, zone ident.Zone, limit int) (addresses []string, ttl time.Duration)
}

// Add appends the event and the error of one decoded record. Both may be set: a faulty record can still make an
// upstream unusable.
func (b *Batch) Add(event any, err error) {
	if event != nil {
		b.Events = append(b.Events, event)
	}
	if err != nil {
		b.Faults = append(b.Faults, err)
	}
}
