package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/lease"
	"cicadavalve/core/usage"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
)

// usageOutside is a provider with one answer and a store that counts records.
type usageOutside struct {
	port.Store
	port.Provider
	err            error
	reports, wrote int
	// during, if set, is called during a report.
	during func()
}

func (o *usageOutside) ReportUsage(context.Context, port.UsageReport) (err error) {
	o.reports++
	if o.during != nil {
		o.during()
	}
	return o.err
}

func (o *usageOutside) AppendUsage(context.Context, int64, usage.Record) (offset, era int64, err error) {
	o.wrote++
	return 0, 0, nil
}

// TestUsageNeedsTheLease reports and records under tokens and with answers of the provider. An entry without the lease must do neither, since
// another one has its duty, and one whose token is outdated must give the lease up.
func TestUsageNeedsTheLease(t *testing.T) {
	type result struct {
		Reports, Wrote int
		Outcome        string
		Holds          bool
	}
	for name, c := range map[string]struct {
		age   time.Duration
		token int64
		err   error
		want  result
	}{
		"accepted":        {0, 1, nil, result{1, 1, "accepted", true}},
		"refused":         {0, 1, port.ErrOverRate, result{1, 1, "refused", true}},
		"unknown":         {0, 1, errors.New("connection lost"), result{1, 1, "unknown", true}},
		"outdated":        {0, 1, port.ErrOutdated, result{1, 0, "outdated", false}},
		"lease has ended": {time.Second, 1, nil, result{0, 0, "unknown", false}},
		"other token":     {0, 2, nil, result{0, 0, "unknown", true}},
	} {
		t.Run(name, func(t *testing.T) {
			now, log, outside := clock.Now(), slog.New(slog.DiscardHandler), &usageOutside{err: c.err}
			controller := newFleet(Settings{}, 1, now)[0]
			d := &Daemon{
				store: outside, outside: Adapters{Provider: outside}, log: log, controller: controller, meter: NewMeter(),
				settings: Settings{UsageWindow: 5 * time.Second, UsageDelay: 10 * time.Second},
			}
			d.duty = &duty{d: d, mu: controller.guard.NewMutex(), lease: lease.NewModel("self", 1, 3*time.Second, true)}
			d.duty.lease.Update(now.Add(-c.age), lease.ClaimedMsg{SentAt: now.Add(-c.age), Won: true})
			u := newUsageReports(d, 1)
			got := result{Outcome: u.report(t.Context(), usage.ReportCmd{Window: 1, Token: c.token, Deadline: now.Add(8 * time.Second)}).Outcome.String()}
			u.append(t.Context(), usage.AppendCmd{Token: c.token})
			got.Reports, got.Wrote, got.Holds = outside.reports, outside.wrote, d.duty.lease.Holds(clock.Now())
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("calls, outcome and lease (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOutdatedCallKeepsANewerToken has this entry claim the lease again during a report under its earlier token. The answer that this token is
// outdated must not end the lease under the new one.
func TestOutdatedCallKeepsANewerToken(t *testing.T) {
	now, outside := clock.Now(), &usageOutside{err: port.ErrOutdated}
	controller := newFleet(Settings{}, 1, now)[0]
	d := &Daemon{
		outside: Adapters{Provider: outside}, log: slog.New(slog.DiscardHandler), controller: controller, meter: NewMeter(),
		settings: Settings{UsageWindow: 5 * time.Second, UsageDelay: 10 * time.Second},
	}
	d.duty = &duty{d: d, mu: controller.guard.NewMutex(), lease: lease.NewModel("self", 1, 3*time.Second, true)}
	d.duty.lease.Update(now, lease.ClaimedMsg{SentAt: now, Won: true})
	outside.during = func() { d.duty.update(lease.ClaimedMsg{SentAt: now, Won: true, Offset: 4}) }
	got := newUsageReports(d, 1).report(t.Context(), usage.ReportCmd{Window: 1, Token: 1, Deadline: now.Add(8 * time.Second)})
	if token := d.duty.lease.Token(); got.Outcome != usage.Outdated || token <= 1 || !d.duty.lease.Holds(clock.Now()) {
		t.Errorf("outcome %v, token %d, holds %v", got.Outcome, token, d.duty.lease.Holds(clock.Now()))
	}
}
