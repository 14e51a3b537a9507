package daemon

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/retry"
	"cicadavalve/io/clock"
)

func (d *Controller) budget(service ident.ServiceName) *retry.Window {
	w, ok := d.budgets[service]
	if !ok {
		w = retry.NewWindow(d.settings.RetryWindow, d.settings.RetryRatio*budgetShare, 0)
		d.budgets[service] = w
	}
	return w
}

// budgetShare is the fraction of the configured retry budget that is used. It leaves a reserve, since entries may
// disagree on how many of them share the budget.
const budgetShare = 0.7

// AllowRetry implements [relay.Controller].
func (d *Controller) AllowRetry(service ident.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withdrawRetry(clock.Now(), service)
}

// withdrawRetry is AllowRetry while the lock is held.
func (d *Controller) withdrawRetry(now time.Time, service ident.ServiceName) bool {
	w := d.budget(service)
	w.SetAllowance(d.retryAllowance(now))
	return w.Withdraw(now)
}

// budgetMemory is how long an entry that has fallen silent counts as one that uses its part of the retry budget.
const budgetMemory = time.Hour

// retryAllowance is this entry's part of the fixed allowance of each service's retry budget, 0 while it can't tell its
// part; the lock is held.
func (d *Controller) retryAllowance(now time.Time) float64 {
	count, known := d.countSharers(now)
	if !known {
		return 0
	}
	return d.settings.RetryAllowance * budgetShare / float64(count)
}

// countSharers returns how many entries share the retry budget. Until an entry has had the time to hear the others, it
// knows only once it has read those that the store lists; the lock is held.
func (d *Controller) countSharers(now time.Time) (count int, known bool) {
	sharers, known := d.mesh.Sharers(now, budgetMemory)
	if known {
		return len(sharers), true
	}
	return max(len(sharers), d.announced), d.announced > 0
}
