package retry

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"cicadavalve/core/ident"
)

const (
	defaultPerSecond = 2
	defaultBurst     = 32
	leastBackoff     = 500 * time.Millisecond
	mostBackoff      = 30 * time.Second
	mostDoublings    = 6
)

// account is what one organisation may still spend.
type account struct {
	limiter *rate.Limiter
	// failures counts the requests given up since the last whole answer.
	failures int
}

// Budgets limits, per organisation, how many attempts beyond the first its requests get.
//
//	b := retry.NewBudgets(retry.WithRate(2, 32))
//	if !b.Withdraw(now, org) { wait := b.Backoff(now, org, rng) }
type Budgets struct {
	perSecond float64
	burst     int
	// accounts holds only organisations that have spent or failed.
	accounts map[ident.OrgID]*account
}

// BudgetOption sets one property of [Budgets].
type BudgetOption func(*Budgets)

// WithRate sets how many attempts an organisation earns a second and how many it can save up.
func WithRate(perSecond float64, burst int) BudgetOption {
	return func(b *Budgets) { b.perSecond, b.burst = perSecond, burst }
}

// NewBudgets are full budgets.
func NewBudgets(options ...BudgetOption) *Budgets {
	b := &Budgets{perSecond: defaultPerSecond, burst: defaultBurst, accounts: map[ident.OrgID]*account{}}
	for _, o := range options {
		o(b)
	}
	return b
}

func (b *Budgets) account(org ident.OrgID) *account {
	a, ok := b.accounts[org]
	if !ok {
		a = &account{limiter: rate.NewLimiter(rate.Limit(b.perSecond), b.burst)}
		b.accounts[org] = a
	}
	return a
}

// Withdraw takes one attempt from the organisation's budget and reports whether it had one.
func (b *Budgets) Withdraw(now time.Time, org ident.OrgID) bool {
	return b.account(org).limiter.AllowN(now, 1)
}

// Succeeded notes a whole answer.
func (b *Budgets) Succeeded(org ident.OrgID) {
	if a, ok := b.accounts[org]; ok {
		a.failures = 0
	}
}

// Backoff notes a request given up and tells when its caller may come back: exponential in
// the organisation's failures in a row, with jitter, and not before its budget has an attempt.
func (b *Budgets) Backoff(now time.Time, org ident.OrgID, rng *rand.Rand) time.Duration {
	a := b.account(org)
	full := min(leastBackoff<<min(a.failures, mostDoublings), mostBackoff)
	a.failures++
	jittered := full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
	return max(jittered, a.untilNext(now))
}

// untilNext is the time until the account holds a whole attempt.
func (a *account) untilNext(now time.Time) time.Duration {
	missing := 1 - a.limiter.TokensAt(now)
	if missing <= 0 || a.limiter.Limit() <= 0 {
		return 0
	}
	return time.Duration(missing / float64(a.limiter.Limit()) * float64(time.Second))
}
