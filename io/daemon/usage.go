package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
	"cicadavalve/core/usage"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/guard"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

const (
	// usageInterval is the interval of the decisions about usage reports.
	usageInterval = 100 * time.Millisecond
	// usageStoreTimeout bounds a call to the store: a page of the topic takes 0.2 s on a 10 Mbit/s link.
	usageStoreTimeout = 1500 * time.Millisecond
	// usageReportTimeout bounds a call to the provider. A repeated report does no harm, so a slow answer is not waited for any longer.
	usageReportTimeout = 3 * time.Second
	// maxClockDelay is how long after its arrival the clock in a message still counts as the sender's present one.
	maxClockDelay = 20 * time.Millisecond
)

// usageReports counts the requests that begin at this entry, exchanges the counters with the other entries, and reports them to the provider
// while this entry holds the lease.
type usageReports struct {
	d      *Daemon
	mu     *guard.Mutex
	model  *usage.Model
	faults *faultLog
	meter  *usageMeter
}

func newUsageReports(d *Daemon, boot int64) *usageReports {
	s := d.settings
	u := &usageReports{
		d: d, mu: d.controller.guard.NewMutex(), faults: newFaultLog(d.log, port.Usage),
		model: usage.NewModel(d.self.ID, boot, s.UsageWindow, s.UsageDelay, rand.New(rand.NewPCG(uint64(boot), 1)), usage.WithCallRate(s.DutyRate)),
	}
	u.meter = newUsageMeter(d.meter.set, u)
	return u
}

// observeBegan counts a request that an upstream has begun to run; the lock is held.
func (d *Controller) observeBegan(e relay.Exchange, reply port.Reply) {
	if d.onBegan != nil && e.Org != "" && !e.Began && reply.Began() {
		d.onBegan(e.Org)
	}
}

// began counts a request that begins now.
func (u *usageReports) began(org ident.OrgID) { u.update(usage.BeganMsg{Org: org}) }

func (u *usageReports) update(msg ident.Msg) (cmds []ident.Cmd) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.model.Update(clock.Now(), msg)
}

// run decides at each interval until the context ends.
func (u *usageReports) run(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		u.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (u *usageReports) tick(ctx context.Context) {
	msg := usage.TickMsg{}
	msg.Alive, msg.Era = u.d.controller.usageMembers(clock.Now())
	msg.Holds, msg.Token, msg.Holder = u.d.duty.leaseState()
	msg.Wall = time.Now()
	for _, cmd := range u.update(msg) {
		switch cmd := cmd.(type) {
		case usage.SendCmd:
			u.send(cmd)
		case usage.MissedCmd:
			u.meter.missed.Add(int(cmd.Last - cmd.First + 1))
			u.d.log.Warn("usage_missed", "first", cmd.First, "last", cmd.Last, "reason", cmd.Reason)
		default:
			go (&usageTask{u, cmd}).run(ctx)
		}
	}
}

// flush sends all counters of this entry before it ends.
func (u *usageReports) flush() {
	for _, cmd := range u.update(usage.FlushMsg{}) {
		if cmd, ok := cmd.(usage.SendCmd); ok {
			u.send(cmd)
		}
	}
}

// usageMembers returns the entries that are alive and the era of the store.
func (d *Controller) usageMembers(now time.Time) (members []usage.Member, era int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.mesh.Alive(now) {
		members = append(members, usage.Member{ID: p.ID, Boot: p.Boot})
	}
	return members, d.era
}

// leaseState returns whether this entry may act now and its fencing token, and the entry with the newest known claim, empty if none is known.
func (u *duty) leaseState() (holds bool, token int64, holder string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := clock.Now()
	holder = u.lease.LastHolder()
	if u.lease.HasNewestClaim(now) {
		holder = u.d.self.ID
	}
	return u.lease.Holds(now), u.lease.Token(), holder
}

// giveUp gives a token up that is outdated. A call may outlast the lease, and this entry may have a newer token by then.
func (u *duty) giveUp(token int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lease.Token() == token {
		u.lease.Update(clock.Now(), lease.TokenOutdatedMsg{})
	}
}

// send sends counters and the wall clock to entries.
func (u *usageReports) send(cmd usage.SendCmd) {
	header, self := u.d.controller.greeting()
	content := gossip.Usage{Through: cmd.Through}
	for _, g := range cmd.Groups {
		group := gossip.UsageGroup{Window: g.Window, Total: g.Total}
		if g.Entry != self.ID || g.Boot != self.Boot {
			group.Entry, group.Boot = g.Entry, g.Boot
		}
		for org, n := range g.Counts {
			group.Orgs, group.Counts = append(group.Orgs, string(org)), append(group.Counts, n)
		}
		content.Groups = append(content.Groups, group)
	}
	for _, part := range gossip.SplitUsage(header, content) {
		part.Usage.WallUS = time.Now().UnixMicro()
		if err := u.d.socket.Send(cmd.To, part); err != nil {
			u.d.log.Debug("usage_not_sent", "error", err)
		}
	}
}

// receive applies the counters and the wall clock that another entry has sent.
func (u *usageReports) receive(now time.Time, m gossip.Message) {
	msg := usage.PeerMsg{Entry: m.ID, Boot: m.Boot, Through: m.Usage.Through}
	if now.Sub(u.d.controller.arrivedSince(now)) < maxClockDelay {
		msg.Wall = m.Usage.Wall()
	}
	for _, g := range m.Usage.Groups {
		group := usage.Group{Entry: g.Entry, Boot: g.Boot, Window: g.Window, Total: g.Total, Counts: usage.Counts{}}
		if g.Entry == "" {
			group.Entry, group.Boot = m.ID, m.Boot
		}
		for i := range min(len(g.Orgs), len(g.Counts)) {
			group.Counts[ident.OrgID(g.Orgs[i])] = g.Counts[i]
		}
		msg.Groups = append(msg.Groups, group)
	}
	u.update(msg)
}

// usageTask performs one command, which takes a call.
type usageTask struct {
	u   *usageReports
	cmd ident.Cmd
}

// run performs the command and applies its result.
func (t *usageTask) run(ctx context.Context) {
	defer t.u.d.controller.guard.Check()
	switch cmd := t.cmd.(type) {
	case usage.ReadCmd:
		t.u.update(t.u.read(ctx, cmd))
	case usage.AppendCmd:
		t.u.update(t.u.append(ctx, cmd))
	case usage.ReportCmd:
		t.u.update(t.u.report(ctx, cmd))
	}
}

func (u *usageReports) read(ctx context.Context, cmd usage.ReadCmd) (msg usage.ReadMsg) {
	ctx, cancel := context.WithTimeout(ctx, usageStoreTimeout)
	defer cancel()
	batch, err := u.d.store.Read(ctx, port.Usage, cmd.From, 0)
	msg = usage.ReadMsg{From: cmd.From, Era: batch.Era, Next: batch.Next, End: batch.End, Trimmed: errors.Is(err, port.ErrTrimmed), Faulty: len(batch.Faults) > 0}
	if err != nil && !msg.Trimmed {
		u.d.log.Debug("usage_not_read", "error", err)
		msg.Failed = true
		return msg
	}
	u.faults.report(batch.Faults)
	for _, event := range batch.Events {
		if e, ok := event.(port.UsageEvent); ok {
			msg.Records = append(msg.Records, e.Record)
		}
	}
	return msg
}

// append appends a record while the lease is held.
func (u *usageReports) append(ctx context.Context, cmd usage.AppendCmd) (msg usage.AppendedMsg) {
	msg.Record = cmd.Record
	ctx, cancel := context.WithTimeout(ctx, usageStoreTimeout)
	defer cancel()
	ctx, end, token, holds := u.d.duty.leaseContext(ctx)
	defer end()
	if !holds || token != cmd.Token {
		return msg
	}
	offset, era, err := u.d.store.AppendUsage(ctx, cmd.End, cmd.Record)
	if err != nil {
		u.d.log.Info("usage_not_recorded", "window", cmd.Record.Window, "checkpoint", cmd.Record.Counts == nil, "end", cmd.End, "error", err)
		return msg
	}
	if cmd.Record.Counts != nil {
		u.d.log.Info("usage_recorded", "window", cmd.Record.Window, "total", cmd.Record.Counts.Sum(), "token", token, "offset", offset)
	}
	msg.Won, msg.Era, msg.Offset = true, era, offset
	return msg
}

// report reports the counts of a window. The call may outlast the lease: the provider checks the token when it carries it out, and all
// holders report the same counts.
func (u *usageReports) report(ctx context.Context, cmd usage.ReportCmd) (msg usage.ReportedMsg) {
	msg = usage.ReportedMsg{Window: cmd.Window, Outcome: usage.Unknown}
	if holds, token, _ := u.d.duty.leaseState(); !holds || token != cmd.Token {
		return msg
	}
	ctx, cancel := context.WithTimeout(ctx, min(usageReportTimeout, clock.Until(cmd.Deadline)))
	defer cancel()
	err := u.d.outside.Provider.ReportUsage(ctx, port.UsageReport{Window: cmd.Window, Counts: cmd.Counts, Holder: u.d.self.ID, Token: cmd.Token})
	switch {
	case err == nil:
		msg.Outcome = usage.Accepted
		u.meter.reported.Inc()
		if clock.Until(cmd.Deadline) < u.d.settings.UsageDelay/2 {
			u.meter.late.Inc()
		}
	case errors.Is(err, port.ErrOutdated):
		msg.Outcome = usage.Outdated
		u.d.duty.giveUp(cmd.Token)
	case errors.Is(err, port.ErrRefused):
		msg.Outcome = usage.Refused
	}
	u.meter.calls(msg.Outcome).Inc()
	u.d.log.Info("usage_reported", "window", cmd.Window, "total", cmd.Counts.Sum(), "holder", u.d.self.ID, "token", cmd.Token, "outcome", msg.Outcome.String(), "error", err)
	return msg
}

// usageMeter counts windows and calls.
type usageMeter struct {
	set                    *metrics.Set
	reported, late, missed *metrics.Counter
}

func newUsageMeter(set *metrics.Set, u *usageReports) *usageMeter {
	m := &usageMeter{
		set: set, reported: set.NewCounter(`usage_windows_total{result="reported"}`), late: set.NewCounter(`usage_windows_total{result="late"}`),
		missed: set.NewCounter(`usage_windows_total{result="missed"}`),
	}
	read := func(get func(*usage.Model) float64) func() float64 {
		return func() float64 {
			u.mu.Lock()
			defer u.mu.Unlock()
			return get(u.model)
		}
	}
	set.NewGauge("usage_requests_uncounted", read(func(m *usage.Model) float64 { return float64(m.LateCounts()) }))
	set.NewGauge("usage_clock_offset_seconds", read(func(m *usage.Model) float64 { return m.Clock().Offset().Seconds() }))
	set.NewGauge("usage_clock_samples", read(func(m *usage.Model) float64 { return float64(m.Clock().Samples()) }))
	return m
}

// calls returns the counter of the calls to the provider with an outcome.
func (m *usageMeter) calls(outcome usage.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(`usage_calls_total{outcome="` + outcome.String() + `"}`)
}
