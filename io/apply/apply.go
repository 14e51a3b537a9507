// Package apply puts an operator's file in force on every entry.
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

// BaseInForce takes the version in force at the asked entry as the base.
const BaseInForce = -1

// askAgainAfter is the time before a proposal whose outcome is not known is asked for again.
const askAgainAfter = 100 * time.Millisecond

// ErrBase says that a proposal was asked for again without its base.
var ErrBase = errors.New("asking again with an id needs the base that the proposal was based on")

// Report is how a proposal went.
type Report struct {
	// ID and Base ask for the same proposal again.
	ID      string         `json:"id"`
	Base    int64          `json:"base"`
	Verdict ledger.Verdict `json:"verdict"`
	Version int64          `json:"version"`
	// Winner names the operator of the version.
	Winner string `json:"winner,omitempty"`
	// InForceMs is how long it took until the version was in force on every entry.
	InForceMs int64 `json:"in_force_ms"`
	// InForce lists the entries that have answered with the version or a later one.
	InForce []ident.EntryID `json:"in_force"`
	// Waiting lists the entries on which it is not known to be in force.
	Waiting []ident.EntryID `json:"waiting"`
}

// Applier is one proposal of one operator.
type Applier struct {
	client   *http.Client
	entry    string
	operator string
	// id stays the same over every asking.
	id   string
	base int64
}

// Option sets one property of an [Applier].
type Option func(*Applier)

// WithID asks again for an earlier proposal; it needs [WithBase].
func WithID(id string) Option { return func(a *Applier) { a.id = id } }

// WithBase names the version that the file is based on.
func WithBase(base int64) Option { return func(a *Applier) { a.base = base } }

// NewApplier is a proposal through the entry at a peer address.
//
//	report, err := apply.NewApplier(client, "10.0.0.4:7001", "depot lead").Apply(ctx, text)
func NewApplier(client *http.Client, entry, operator string, options ...Option) *Applier {
	a := &Applier{client: client, entry: entry, operator: operator, base: BaseInForce}
	for _, o := range options {
		o(a)
	}
	return a
}

// Apply proposes a file, asks again while the outcome is not known, and waits until the version
// is in force on every entry. The context's end cuts it short: the report then says what is known.
func (a *Applier) Apply(ctx context.Context, text string) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "apply") }()
	if err := a.prepare(ctx); err != nil {
		return r, err
	}
	start := time.Now()
	o, err := a.propose(ctx, ledger.ConfigBody{Base: a.base, Operator: a.operator, Text: text})
	r = Report{ID: a.id, Base: a.base, Verdict: o.Verdict, Version: o.Version, Winner: o.Winner}
	r.InForce, r.Waiting = []ident.EntryID{}, []ident.EntryID{}
	if err != nil || o.Verdict != ledger.Accepted {
		return r, err
	}
	r.InForce, r.Waiting = a.wait(ctx, o.Version)
	r.InForceMs = time.Since(start).Milliseconds()
	return r, nil
}

// prepare settles the id and the base, which each asking repeats.
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
	status, err := peer.NewClient(a.client, a.entry).Status(ctx)
	a.base = status.Version
	return err
}

// propose asks until the outcome is known. A broken connection may have taken effect.
func (a *Applier) propose(ctx context.Context, body ledger.ConfigBody) (o ledger.Outcome, err error) {
	entry := peer.NewClient(a.client, a.entry)
	known := ledger.Outcome{Verdict: ledger.NotKnownYet}
	for ctx.Err() == nil {
		o, err = entry.Propose(ctx, a.id, body)
		switch {
		case connect.CodeOf(err) == connect.CodeInvalidArgument:
			return ledger.Outcome{Verdict: ledger.Invalid}, err
		case err == nil && o.Verdict != ledger.NotKnownYet:
			return o, nil
		case err == nil:
			known = o
		}
		sleep(ctx, askAgainAfter)
	}
	return known, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
