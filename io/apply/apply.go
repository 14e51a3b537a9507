// Package apply submits an operator's configuration file and waits until it is in force on every entry.
package apply

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/io/peer"
)

// BaseInForce selects the version in force on the contacted entry as the base.
const BaseInForce = -1

// retryDelay is the delay before a proposal whose outcome is unknown is sent again.
const retryDelay = 100 * time.Millisecond

// ErrBase means that a proposal was retried by its id without its base.
var ErrBase = errors.New("retrying a proposal by its id requires the base version of the proposal")

// Report is the result of a proposal.
type Report struct {
	// ID and Base identify the proposal, to retry it with [WithID] and [WithBase].
	ID      string         `json:"id"`
	Base    int64          `json:"base"`
	Verdict ledger.Verdict `json:"verdict"`
	Version int64          `json:"version"`
	// Winner is the operator whose proposal became the version.
	Winner string `json:"winner,omitempty"`
	// InForceMs is the time from the first request until the version was in force on every entry, or until the
	// context ended, in milliseconds.
	InForceMs int64 `json:"in_force_ms"`
	// InForce lists the entries that have reported the version or a later one.
	InForce []ident.EntryID `json:"in_force"`
	// Unconfirmed lists the entries on which the version is not known to be in force.
	Unconfirmed []ident.EntryID `json:"waiting"`
}

// Applier makes one proposal of one operator.
type Applier struct {
	client   *http.Client
	address  string
	operator string
	// id stays the same over all retries.
	id   string
	base int64
}

// Option sets one property of an [Applier].
type Option func(*Applier)

// WithID retries an earlier proposal; it requires [WithBase].
func WithID(id string) Option { return func(a *Applier) { a.id = id } }

// WithBase sets the version that the file is based on.
func WithBase(base int64) Option { return func(a *Applier) { a.base = base } }

// NewApplier returns an applier that sends the proposal to the entry at a peer address.
//
//	report, err := apply.NewApplier(client, "10.0.0.4:7001", "depot lead").Apply(ctx, text)
func NewApplier(client *http.Client, address, operator string, options ...Option) *Applier {
	a := &Applier{client: client, address: address, operator: operator, base: BaseInForce}
	for _, o := range options {
		o(a)
	}
	return a
}

// Apply proposes a file, retries while the outcome is unknown, and waits until the version is in force on every
// entry. If the context ends after the base is known, the report holds what is known by then, without an error.
func (a *Applier) Apply(ctx context.Context, text string) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "apply") }()
	if err := a.prepare(ctx); err != nil {
		return r, err
	}
	start := time.Now()
	o, err := a.propose(ctx, ledger.ConfigBody{Base: a.base, Operator: a.operator, Text: text})
	r = Report{ID: a.id, Base: a.base, Verdict: o.Verdict, Version: o.Version, Winner: o.Winner}
	r.InForce, r.Unconfirmed = []ident.EntryID{}, []ident.EntryID{}
	if err != nil || o.Verdict != ledger.Accepted {
		return r, err
	}
	r.InForce, r.Unconfirmed = a.wait(ctx, o.Version)
	r.InForceMs = time.Since(start).Milliseconds()
	return r, nil
}

// prepare sets the id and the base, which stay the same over all retries.
func (a *Applier) prepare(ctx context.Context) (err error) {
	switch {
	case a.id != "" && a.base == BaseInForce:
		return ErrBase
	case a.id == "":
		a.id = uuid.NewString()
	}
	if a.base != BaseInForce {
		return nil
	}
	status, err := peer.NewClient(a.client, a.address).Status(ctx)
	a.base = status.Version
	return err
}

// propose sends the proposal until its outcome is known. A request that failed may have taken effect, so each
// retry has the same id.
func (a *Applier) propose(ctx context.Context, body ledger.ConfigBody) (o ledger.Outcome, err error) {
	client := peer.NewClient(a.client, a.address)
	last := ledger.Outcome{Verdict: ledger.NotKnownYet}
	for ctx.Err() == nil {
		o, err = client.Propose(ctx, a.id, body)
		switch {
		case connect.CodeOf(err) == connect.CodeInvalidArgument:
			return ledger.Outcome{Verdict: ledger.Invalid}, err
		case err == nil && o.Verdict != ledger.NotKnownYet:
			return o, nil
		case err == nil:
			last = o
		}
		sleep(ctx, retryDelay)
	}
	return last, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
