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
	minBackoff       = 500 * time.Millisecond
	maxBackoff       = 30 * time.Second
	maxDoublings     = 6
)

// account is the budget of one organisation.
type account struct {
	limiter *rate.Limiter
	// failures counts the requests that failed since the last complete answer.
	failures int
}

// Budgets limits the number of retries per organisation, by a token bucket each.
//
//	b := retry.NewBudgets(retry.WithRate(2, 32))
//	if !b.Withdraw(now, org) { wait := b.Backoff(now, org, rng) }
type Budgets struct {
	perSecond float64
	burst     int
	// accounts holds only organisations that have used their budget or had a failed request.
	accounts map[ident.OrgID]*account
}

// BudgetOption sets one property of [Budgets].
type BudgetOption func(*Budgets)

// WithRate sets how many retries per second an organisation may use on average, and how many at once.
func WithRate(perSecond float64, burst int) BudgetOption {
	return func(b *Budgets) { b.perSecond, b.burst = perSecond, burst }
}

// NewBudgets returns budgets that are full for every organisation.
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

// Withdraw takes one retry from the organisation's budget and reports whether one was available.
func (b *Budgets) Withdraw(now time.Time, org ident.OrgID) bool {
	return b.account(org).limiter.AllowN(now, 1)
}

// RecordSuccess records a complete answer, which resets the organisation's backoff.
func (b *Budgets) RecordSuccess(org ident.OrgID) {
	if a, ok := b.accounts[org]; ok {
		a.failures = 0
	}
}

// Backoff records a failed request and returns how long its caller should wait before retrying. The delay is
// exponential in the organisation's consecutive failures, with jitter, and lasts at least until its budget has a
// whole retry.
func (b *Budgets) Backoff(now time.Time, org ident.OrgID, rng *rand.Rand) time.Duration {
	a := b.account(org)
	full := min(minBackoff<<min(a.failures, maxDoublings), maxBackoff)
	a.failures++
	jittered := full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
	return max(jittered, a.nextDelay(now))
}

// nextDelay returns the time until the account has a whole retry, or 0 if it has one or is never refilled.
func (a *account) nextDelay(now time.Time) time.Duration {
	missing := 1 - a.limiter.TokensAt(now)
	if missing <= 0 || a.limiter.Limit() <= 0 {
		return 0
	}
	return time.Duration(missing / float64(a.limiter.Limit()) * float64(time.Second))
}
