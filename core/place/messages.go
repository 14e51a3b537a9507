package place

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
)

// Ticket identifies a request on this entry.
type Ticket uint64

// Need describes what a request requires of an upstream.
type Need struct {
	Ticket  Ticket
	Service ident.ServiceName
	// Route is the name of the route.
	Route string
	// Counted is set if another entry has counted the request in the retry budget.
	Counted bool
	// Sampled is set for requests that are to go to the release that is being rolled out.
	Sampled bool
	// Again is set for requests that were sent before.
	Again bool
	// Org is the organisation whose request it is, empty if none is known. It decides with which requests cached context is shared.
	Org   ident.OrgID
	Model ident.ModelName
	// Chain lists the parts of the prompt in order. The last one belongs to this request alone.
	Chain []conf.Part
	// Output is the maximum length of the answer, in tokens.
	Output int
	// Rank is the urgency, 0 the most urgent.
	Rank    int
	Arrived time.Time
	// Objective is the time after Arrived within which the first byte is due.
	Objective time.Duration
	Deadline  time.Time
	// Stream is set if the first byte of the answer shows that the request has begun.
	Stream bool
	// Repeatable is set if the request may be sent to another upstream although this one may have begun to run it.
	Repeatable bool
	// slowSource is the holder from which a recalled request waited for parts, empty if it did not. It does not fetch from there again.
	slowSource parts.Holder
	// Spread, if not empty, makes the choice among upstreams with capacity depend on a hash of it alone, so that
	// requests with different values are unlikely to meet on one.
	Spread string
}

// Shared returns the chain without its last part, nil if there are no other parts.
func (n *Need) Shared() []conf.Part { return shared(n.Chain) }

func shared(chain []conf.Part) []conf.Part {
	if len(chain) < 2 {
		return nil
	}
	return chain[:len(chain)-1]
}

// Tokens returns the length of the prompt.
func (n *Need) Tokens() (tokens int) {
	for _, p := range n.Chain {
		tokens += p.Tokens
	}
	return tokens
}

// ArriveMsg is a new request.
type ArriveMsg struct {
	Need Need
	// Avoid lists the upstreams to which it must not be sent.
	Avoid []ident.UpstreamID
}

// RetryMsg retries a request that its upstream did not run, or whose answer broke off and may be generated again.
type RetryMsg struct {
	Ticket  Ticket
	Outcome Outcome
	// Avoid lists the upstreams to which it must not be sent.
	Avoid []ident.UpstreamID
	// Spread and Repeatable replace those of the request's need. A request that was recalled since it was overdue is not recalled
	// again.
	Spread     string
	Repeatable bool
}

// WithdrawMsg removes a queued request whose caller has disconnected.
type WithdrawMsg struct{ Ticket Ticket }

// FirstByteMsg reports the first byte of an answer.
type FirstByteMsg struct{ Ticket Ticket }

// Outcome is how an exchange with an upstream ended.
type Outcome int

// The outcomes of an exchange.
const (
	// Good answers are complete and successful.
	Good Outcome = iota
	// Failed answers are complete and report a failure of the upstream.
	Failed
	// Rejected requests were not run.
	Rejected
	// Broken exchanges ended without a complete answer.
	Broken
	// Cancelled exchanges were ended by the caller.
	Cancelled
)

// EndMsg reports the end of an exchange with an upstream.
type EndMsg struct {
	Ticket  Ticket
	Outcome Outcome
}

// LoadMsg is the load that an upstream reports, in requests.
type LoadMsg struct {
	Upstream         ident.UpstreamID
	Running, Waiting int
}

// Load is the load of one entry at one upstream.
type Load struct {
	Upstream ident.UpstreamID
	Requests int
	// Backlog is the number of prompt tokens still to be prefilled.
	Backlog int
	// Memory is the context of the running requests, in tokens.
	Memory int
}

// Transfer is the remaining time of the transfers that one entry has requested from a holder.
type Transfer struct {
	Holder parts.Holder
	Left   time.Duration
}

// PeerMsg carries the loads and transfers of another entry.
type PeerMsg struct {
	Peer      string
	Loads     []Load
	Transfers []Transfer
}

// TargetMsg reports the target version of a model's weights.
type TargetMsg struct {
	Model   ident.ModelName
	Version int64
	// Since is the earliest time at which the version can have become the target, zero if that is unknown.
	Since time.Time
	// Ready is when the entry started, or last failed to learn whether there is a newer version, whichever is later.
	Ready time.Time
}

// TickMsg places, refuses and recalls requests as of now.
type TickMsg struct{}

// SendCmd sends a request to an upstream.
type SendCmd struct {
	Ticket   Ticket
	Upstream conf.Upstream
	Priority int
	// Model is the model that runs it, empty for a plain call.
	Model ident.ModelName
	// Version is the version of the weights that must run it, 0 if no model is needed.
	Version int64
	Salt    string
	// Fetch and Save have an entry for each part of the chain, or none at all.
	Fetch []conf.Source
	Save  []conf.Source
	// FetchWithin is how long after it is sent the parts must have been fetched that are not to be prefilled.
	FetchWithin time.Duration
	// Expected is the estimated time to the first byte.
	Expected time.Duration
	// Missing is how many prompt tokens the upstream has to prefill.
	Missing int
	// Cached is how many prompt tokens the upstream has cached, Fetched how many it must fetch, and Recomputed how many
	// it prefills although another holder has or prefills them.
	Cached, Fetched, Recomputed int
}

// RefuseCmd refuses a request that has not run.
type RefuseCmd struct {
	Ticket Ticket
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	Reason     Reason
	// Org is the organisation whose request it is; it is set if engine time is divided into shares.
	Org ident.OrgID
	// Expected is the estimated time to the first byte at the best upstream, 0 if no upstream could take the request.
	Expected time.Duration
	// Tally counts the upstreams considered.
	Tally Tally
}

// Reason is why a request was refused.
type Reason string

// The reasons of refusals.
const (
	NoUpstream Reason = "no_upstream"
	Overloaded Reason = "overloaded"
	TooLate    Reason = "deadline_too_close"
	Limited    Reason = "rate_limited"
	BackingOff Reason = "upstreams_backing_off"
)

// PrefillingCmd announces to the other entries a part that an upstream is about to prefill or fetch.
type PrefillingCmd struct{ Prefilling parts.PrefillingMsg }

// SavingCmd announces to the other entries a part that is being saved to a store.
type SavingCmd struct{ Save parts.SaveMsg }
