package place

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
)

// Ticket names one request on this entry.
type Ticket uint64

// Need is what a request asks for.
type Need struct {
	Ticket  Ticket
	Service ident.ServiceName
	// Wall separates kept context: the organisation if it is isolated, else empty.
	Wall  string
	Model ident.ModelName
	// Chain is the prompt in order; its last part is the request's own.
	Chain []conf.Part
	// Output is the most tokens that the answer may have.
	Output int
	// Rank is the urgency, 0 the most urgent.
	Rank    int
	Arrived time.Time
	// Objective is how long after Arrived the first byte is on time.
	Objective time.Duration
	Deadline  time.Time
}

// Shared is the chain without the request's own part.
func (n *Need) Shared() []conf.Part {
	if len(n.Chain) < 2 {
		return nil
	}
	return n.Chain[:len(n.Chain)-1]
}

// Tokens is the length of the prompt.
func (n *Need) Tokens() (tokens int) {
	for _, p := range n.Chain {
		tokens += p.Tokens
	}
	return tokens
}

// ArriveMsg is a new request.
type ArriveMsg struct{ Need Need }

// AgainMsg is a request that its upstream did not run, or whose broken answer may be made anew.
type AgainMsg struct {
	Ticket  Ticket
	Outcome Outcome
	// Avoid lists upstreams that it must not go to.
	Avoid []ident.UpstreamID
}

// WithdrawMsg is a request whose caller has left while it waited.
type WithdrawMsg struct{ Ticket Ticket }

// FirstByteMsg is the begin of an answer.
type FirstByteMsg struct{ Ticket Ticket }

// Outcome tells how an exchange with an upstream ended.
type Outcome int

// The outcomes of an exchange.
const (
	// Good answers are whole and successful.
	Good Outcome = iota
	// Failed answers are whole and report a failure of the upstream.
	Failed
	// Rejected requests were not run.
	Rejected
	// Broken exchanges ended without a whole answer.
	Broken
	// Cancelled exchanges were ended by the caller.
	Cancelled
)

// EndMsg is the end of an exchange with an upstream.
type EndMsg struct {
	Ticket  Ticket
	Outcome Outcome
}

// LoadMsg is an upstream's own word of its load.
type LoadMsg struct {
	Upstream         ident.UpstreamID
	Running, Waiting int
}

// Load is what one entry has under way at one upstream.
type Load struct {
	Upstream ident.UpstreamID
	Requests int
	// Backlog is the prompt tokens that are still to be read.
	Backlog int
	// Memory is the tokens of context under way.
	Memory int
}

// Transfer is how long the transfers that one entry asked a holder for still take.
type Transfer struct {
	Holder parts.Holder
	Left   time.Duration
}

// PeerMsg is what another entry has under way.
type PeerMsg struct {
	Peer      string
	Loads     []Load
	Transfers []Transfer
}

// TickMsg lets time pass for what waits.
type TickMsg struct{}

// SendCmd sends a request to an upstream.
type SendCmd struct {
	Ticket   Ticket
	Upstream conf.Upstream
	Priority int
	// Version is the version of the weights that must run it, 0 if it needs none.
	Version int64
	Salt    string
	// Fetch and Save have an entry for each part of the chain, or none at all.
	Fetch []conf.Source
	Save  []conf.Source
	// Expected is the time to the first byte that the choice rests on.
	Expected time.Duration
	// Missing is how many prompt tokens the upstream has to read.
	Missing int
	// Kept is what the upstream has already, Fetched what it is told to fetch, and Again what is read
	// though some holder has it, in tokens.
	Kept, Fetched, Again int
}

// RefuseCmd gives a request up; it has not run.
type RefuseCmd struct {
	Ticket Ticket
	// After is when to come back.
	After  time.Duration
	Reason Reason
	// Expected is the time to the first byte that the choice rests on, zero if there was no upstream.
	Expected time.Duration
	// Tally is what was found of the upstreams.
	Tally Tally
}

// Reason tells why a request was refused.
type Reason string

// The reasons of refusals.
const (
	NoUpstream Reason = "no_upstream"
	Overloaded Reason = "overloaded"
	TooLate    Reason = "deadline_too_close"
)

// ReadingCmd tells the other entries of a part that an upstream is about to have.
type ReadingCmd struct{ Reading parts.ReadingMsg }

// SavedCmd tells the other entries of a part on its way into a store.
type SavedCmd struct{ Save parts.SaveMsg }
