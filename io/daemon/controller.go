package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"cicadavalve/core/conf"
	"cicadavalve/core/fifo"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/pace"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
	"cicadavalve/core/poison"
	"cicadavalve/core/purge"
	"cicadavalve/core/ramp"
	"cicadavalve/core/reach"
	"cicadavalve/core/retry"
	"cicadavalve/core/share"
	"cicadavalve/core/stall"
	"cicadavalve/core/zones"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/guard"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// statementFaultInterval is the minimum interval between two log lines about statements of upstreams that can't be read.
const statementFaultInterval = time.Second

// panicInterval is the minimum interval between two log lines with the stack of a placement that panicked.
const panicInterval = time.Second

// Controller serialises access to the models that place requests. It is safe for concurrent use.
type Controller struct {
	log      *slog.Logger
	settings Settings
	set      atomic.Pointer[conf.Set]
	guard    *guard.Guard
	mu       *guard.Mutex
	fleet    *fleet.Model
	index    *parts.Index
	place    *place.Model
	pace     *pace.Model
	mesh     *mesh.Model
	reach    *reach.Model
	rng      *rand.Rand
	// era is the newest known era of the store, -1 before its first answer.
	era int64
	// restored is signalled when the store has come back from a copy.
	restored []chan struct{}
	// feeds are the readers of the topics of the store.
	feeds []*feed
	// decode decodes records that other entries have read.
	decode func(topic port.Topic, content []byte) (event any, err error)
	// upstreamsListed is set once a full list of the upstreams has been read.
	upstreamsListed bool
	// waiters holds the channel of each request that is waiting for a decision.
	waiters map[place.Ticket]chan relay.Decision
	// recalls ends the exchange of each request that is under way. It is nil for one that was recalled before its exchange began.
	recalls map[place.Ticket]context.CancelCauseFunc
	overdue recallCounts
	// budgets holds the retry budget of each service.
	budgets map[ident.ServiceName]*retry.Window
	// beats counts the heartbeats of this incarnation.
	beats int64
	// greetedAt holds when unknown entries were greeted lately.
	greetedAt map[string]time.Time
	// changed wakes the heartbeat after a request has been placed.
	changed chan struct{}
	// probes holds the upstreams to which a connection is to be opened.
	probes chan conf.Upstream
	// saves, prefills and weights are sent with the next heartbeat, outbox with the next ones.
	saves    []gossip.Save
	prefills []gossip.Save
	outbox   *parts.Outbox
	// followed lists the holders that this entry follows. resend reports their parts again to entries that start.
	followed []parts.Holder
	resend   *parts.Resend
	// positions holds how far the changes of each holder were told.
	positions map[string]position
	weights   []gossip.Weights
	// targets holds the newest announced version of each model's weights.
	targets map[ident.ModelName]target
	// ordered holds the upstreams that are carrying out load orders, by the entry that gave them.
	ordered map[string][]string
	// clockOffset is the engines' clock minus [monotonicNow]; it is valid once clockKnown is set.
	clockOffset time.Duration
	clockKnown  bool
	// concurrencyLimits holds the limits that are to be told.
	concurrencyLimits []toldConcurrencyLimit
	// early holds statements of incarnations that are not listed yet.
	early []earlyStatement
	// refusals holds when upstreams that may have crashed refused a connection.
	refusals map[ident.UpstreamID]refusal
	// peers chooses the entries to which requests are handed over.
	peers *reach.PeerModel
	// poison holds the evidence about crashing requests.
	poison *poison.Model
	// hasEvidence is set while there is evidence against any request.
	hasEvidence atomic.Bool
	// secret is that of digester.
	secret []byte
	// digester is nil until the secret has been loaded.
	digester  atomic.Pointer[poison.Digester]
	startedAt time.Time
	// announced is the number of entries that the store listed at the start, 0 before it was read. Some may have gone.
	announced int
	// evidenceTickedAt is when outdated evidence was last dropped.
	evidenceTickedAt time.Time
	// judgedVersions is the sum of the target versions under which the present verdicts on parts came about, doubtAt when they
	// are to be doubted, zero if they are not.
	judgedVersions int64
	doubtAt        time.Time
	// trials counts the trials that this entry has begun.
	trials int
	// vanished holds the last incarnation of upstreams that were removed without notice.
	vanished *fifo.Map[ident.UpstreamID, int64]
	// replaced holds the last incarnation of upstreams that were listed as a later one without having been removed or draining.
	replaced *fifo.Map[ident.UpstreamID, int64]
	// verdicts holds the quarantines that are to be recorded in the store.
	verdicts chan verdict
	// stall notices that the process stood still.
	stall *stall.Model
	// ramp decides about software releases; rampToldAt is when its reports were last sent.
	ramp       *ramp.Model
	rampToldAt time.Time
	// zones decides about leaving the availability zone; nil if the settings don't ask for it.
	zones *zones.Model
	// statementFaults bounds the log lines about statements of upstreams that can't be read.
	statementFaults rate.Sometimes
	// panics bounds the log lines with the stacks of panics.
	panics rate.Sometimes
	// listLost is set while the list of upstreams can't be read.
	listLost bool
	// onBegan, if set, is called with the organisation of each request that begins to run, while the lock is held.
	onBegan func(ident.OrgID)
	// scaling decides about the number of upstreams; nil unless the settings ask for it.
	scaling *scaling
	// onConfig, if set, is called with each configuration that comes into force.
	onConfig func(*conf.Set)
	// shares divides engine time between organisations; nil if nothing does. onRefusal, if set, is called with each refusal.
	shares    *share.Model
	onRefusal func(place.RefuseCmd)
}

// Option sets one property of a [Controller].
type Option func(*Controller)

// WithFlush sets what writes the buffered log lines before a panic ends the process.
func WithFlush(flush func()) Option {
	return func(d *Controller) { d.guard = guard.New(d.log, flush) }
}

// target is an announced version of a model's weights, and the earliest time at which it can have been announced.
type target struct {
	version int64
	since   time.Time
}

// NewController returns a controller without configuration or upstreams; the seed is for its random choices.
func NewController(s Settings, self mesh.Peer, log *slog.Logger, seed uint64, options ...Option) *Controller {
	upstreams, index, now := fleet.NewModel(), parts.NewIndex(), clock.Now()
	rng := rand.New(rand.NewPCG(seed, 0))
	roll, speeds, shares := newRampModel(s, rng), pace.NewModel(), newShares(s, rng)
	leave := newZonesModel(s, self)
	d := &Controller{
		era: -1, log: log, guard: guard.New(log, func() {}), settings: s, rng: rng, fleet: upstreams, index: index, mesh: mesh.NewModel(now, self), startedAt: now,
		refusals: map[ident.UpstreamID]refusal{}, greetedAt: map[string]time.Time{},
		reach: reach.NewModel(), peers: reach.NewPeerModel(rng), probes: make(chan conf.Upstream, maxWaitingProbes),
		place: place.NewModel(upstreams, index, rng, placeOptions(s, roll, speeds, shares, leave)...),
		pace:  speeds,
		ramp:  roll, scaling: newScaling(s, self.Zone),
		shares: shares, zones: leave,
		stall:  stall.NewModel(stall.DefaultThreshold),
		poison: newPoisonModel(s, self), verdicts: make(chan verdict, maxWaitingVerdicts), vanished: fifo.NewMap[ident.UpstreamID, int64](maxVanished), replaced: fifo.NewMap[ident.UpstreamID, int64](maxVanished),
		waiters: map[place.Ticket]chan relay.Decision{}, recalls: map[place.Ticket]context.CancelCauseFunc{}, budgets: map[ident.ServiceName]*retry.Window{}, outbox: parts.NewOutbox(), resend: parts.NewResend(index), positions: map[string]position{}, panics: rate.Sometimes{First: 1, Interval: panicInterval}, statementFaults: rate.Sometimes{First: 1, Interval: statementFaultInterval}, changed: make(chan struct{}, 1), targets: map[ident.ModelName]target{}, ordered: map[string][]string{},
	}
	for _, o := range options {
		o(d)
	}
	d.mu = d.guard.NewMutex()
	d.place.SetMembers(place.Members{Self: self.ID, Sharers: []string{self.ID}, Zone: self.Zone})
	return d
}

// Config implements [relay.Controller].
func (d *Controller) Config() *conf.Set { return d.set.Load() }

// configVersion returns the version of the configuration, 0 before there is one.
func (d *Controller) configVersion() int64 {
	if set := d.set.Load(); set != nil {
		return set.Version()
	}
	return 0
}

// Place implements [relay.Controller].
func (d *Controller) Place(ctx context.Context, need place.Need, avoid []ident.UpstreamID) (decision relay.Decision, err error) {
	defer func() { d.countRefusal(need.Service, need.Objective, decision) }()
	return d.await(ctx, need.Ticket, place.ArriveMsg{Need: need, Avoid: avoid}, func(now time.Time) {
		d.scaling.countArrival(now, need.Service)
		if !need.Counted {
			d.budget(need.Service).First(now)
		}
	})
}

// Retry implements [relay.Controller].
func (d *Controller) Retry(ctx context.Context, msg place.RetryMsg) (decision relay.Decision, err error) {
	service, objective := d.scaledNeed(msg.Ticket)
	defer func() { d.countRefusal(service, objective, decision) }()
	return d.await(ctx, msg.Ticket, msg, func(time.Time) {})
}

// Attempt implements [relay.Controller].
func (d *Controller) Attempt(ctx context.Context, ticket place.Ticket) (attempt context.Context, end func()) {
	attempt, cancel := context.WithCancelCause(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if end, known := d.recalls[ticket]; known && end == nil {
		cancel(relay.ErrRecalled)
	}
	d.recalls[ticket] = cancel
	return attempt, func() {
		cancel(nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.recalls, ticket)
	}
}

// StillEligible implements [relay.Controller].
func (d *Controller) StillEligible(ticket place.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.place.StillEligible(clock.Now(), ticket)
}

func (d *Controller) await(ctx context.Context, t place.Ticket, msg ident.Msg, before func(time.Time)) (decision relay.Decision, err error) {
	ch := d.ask(t, msg, before)
	select {
	case decision = <-ch:
		return decision, nil
	case <-ctx.Done():
	}
	d.withdraw(t)
	return relay.Decision{}, ctx.Err()
}

// ask applies a message that asks for a decision and returns the channel to which the decision is sent.
func (d *Controller) ask(t place.Ticket, msg ident.Msg, before func(time.Time)) <-chan relay.Decision {
	ch := make(chan relay.Decision, 1)
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	before(now)
	d.waiters[t] = ch
	delete(d.recalls, t)
	d.perform(d.place.Update(now, msg))
	return ch
}

// withdraw ends a request that no longer waits for a decision.
func (d *Controller) withdraw(t place.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, t)
	delete(d.recalls, t)
	d.place.Update(clock.Now(), place.WithdrawMsg{Ticket: t})
	d.perform(d.place.Update(clock.Now(), place.EndMsg{Ticket: t, Outcome: place.Cancelled}))
}

// perform carries out commands; the lock is held.
func (d *Controller) perform(cmds []ident.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case place.SendCmd:
			d.deliver(cmd.Ticket, relay.Decision{Send: &cmd})
			d.wakeHeartbeat()
		case share.RestrictedCmd:
			d.log.Info("organisation_restricted", "organisation", cmd.Org, "restricted", cmd.Restricted, "excess", cmd.Excess)
		case place.RefuseCmd:
			if d.onRefusal != nil {
				d.onRefusal(cmd)
			}
			d.deliver(cmd.Ticket, relay.Decision{Refuse: &cmd})
		case place.RecallCmd:
			d.recallRequest(cmd)
		case place.PanicCmd:
			d.panics.Do(func() {
				d.log.Error("decision_panicked", "ticket", cmd.Ticket, "cause", cmd.Cause, "stack", cmd.Stack)
			})
			d.deliver(cmd.Ticket, relay.Decision{Panic: &cmd})
		case place.SavingCmd:
			d.saves = append(d.saves, gossip.Save{Store: string(cmd.Save.Store), Key: uint64(cmd.Save.Key), Tokens: cmd.Save.Tokens})
		case place.PrefillingCmd:
			d.prefills = append(d.prefills, gossip.Save{Store: string(cmd.Prefilling.Holder), Key: uint64(cmd.Prefilling.Key), Tokens: cmd.Prefilling.Tokens})
		case fleet.GoneCmd:
			d.reach.Update(clock.Now(), reach.GoneMsg{ID: cmd.ID})
			d.place.Update(clock.Now(), cmd)
			d.log.Info("upstream_gone", "upstream", cmd.ID)
			d.observeGone(clock.Now(), cmd)
		case reach.ProbeCmd:
			d.requestProbe(cmd.ID)
		case reach.IsolatedCmd:
			d.fleet.Update(clock.Now(), fleet.IsolatedMsg{ID: cmd.ID, Isolated: cmd.Isolated})
			d.log.Info("upstream_isolated", "upstream", cmd.ID, "isolated", cmd.Isolated, "for", cmd.For)
		case reach.PartitionedCmd:
			d.mesh.SetPartitioned(cmd.Partitioned)
			d.wakeHeartbeat()
			d.log.Warn("entry_partitioned", "partitioned", cmd.Partitioned, "lost", cmd.Lost, "reached", cmd.Reached)
		case stall.StalledCmd:
			d.mesh.Update(cmd.From.Add(cmd.For), mesh.StalledMsg{From: cmd.From})
			d.log.Warn("entry_stalled", "for", cmd.For)
		case zones.ChangedCmd, zones.LostCmd:
			d.logZones(cmd)
		case place.ConcurrencyLimitCmd:
			d.queueConcurrencyLimit(clock.Now(), cmd)
		case fleet.RejectionLimitCmd:
			d.log.Info("upstream_rejection_limit", "upstream", cmd.ID, "named", cmd.Rejections.Named, "per_second", cmd.Rejections.PerSecond)
		case fleet.LeavingCmd:
			d.log.Info("upstream_leaves", "upstream", cmd.ID, "heard", cmd.Heard)
			d.wakeHeartbeat()
		case fleet.LimitCmd:
			if cmd.Limit.Named {
				d.log.Info("upstream_limit_named", "upstream", cmd.ID, "per_second", cmd.Limit.PerSecond, "heard", cmd.Heard, "age", cmd.Age)
			} else {
				d.log.Info("upstream_limit_ended", "upstream", cmd.ID, "heard", cmd.Heard, "age", cmd.Age)
			}
		}
	}
}

// wakeHeartbeat makes the next heartbeat follow as soon as its interval allows.
func (d *Controller) wakeHeartbeat() { signal(d.changed) }

func (d *Controller) deliver(t place.Ticket, decision relay.Decision) {
	if ch, ok := d.waiters[t]; ok {
		delete(d.waiters, t)
		ch <- decision
	}
}

// FetchDeadline implements [relay.Controller].
func (d *Controller) FetchDeadline(within time.Duration) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.clockKnown {
		return time.Time{}
	}
	return monotonicNow().Add(d.clockOffset + min(within, purge.FetchTimeout))
}

// processStart carries a monotonic reading, from which [monotonicNow] counts.
var processStart = clock.Now()

// monotonicNow is the time since the process started, as a time after the Unix epoch. Steps of the wall clock don't
// affect it, so offsets to other clocks can be computed from it.
func monotonicNow() time.Time { return time.Unix(0, 0).Add(clock.Since(processStart)) }

// FirstByte implements [relay.Controller].
func (d *Controller) FirstByte(t place.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.place.Update(clock.Now(), place.FirstByteMsg{Ticket: t}))
}

// End implements [relay.Controller].
func (d *Controller) End(t place.Ticket, outcome place.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.recalls, t)
	d.perform(d.place.Update(clock.Now(), place.EndMsg{Ticket: t, Outcome: outcome}))
}

// ObserveReply implements [relay.Controller].
func (d *Controller) ObserveReply(e relay.Exchange, reply port.Reply) {
	now, id := clock.Now(), e.Upstream
	d.mu.Lock()
	defer d.mu.Unlock()
	if reply.Upstream == "" || reply.Upstream == id {
		d.perform(d.reach.Update(now, reach.ContactMsg{ID: id, At: e.SentAt, Opened: e.Opened}))
	}
	if reply.Signed && reply.Upstream == "" || reply.Upstream == id {
		d.poison.ObserveContact(id, e.SentAt)
	}
	switch {
	case reply.Misdirected && reply.Upstream != "" && reply.Upstream != id:
		d.fleet.Update(now, fleet.AddressReusedMsg{ID: id, Owner: reply.Upstream})
		d.log.Warn("upstream_address_moved", "upstream", id, "answered_by", reply.Upstream)
		d.observeEnd(now, id)
	case reply.NotRun:
	default:
		d.fleet.Update(now, fleet.AnsweredMsg{ID: id})
	}
	d.observeStatements(now, e, reply)
	d.observeBegan(e, reply)
	if reply.HasLoad {
		d.place.Update(now, place.LoadMsg{Upstream: id, Running: reply.Running, Waiting: reply.Waiting})
	}
}

// ObserveBreak implements [relay.Controller].
func (d *Controller) ObserveBreak(b relay.Break) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeAttempt(clock.Now(), b)
}

// observeAttempt applies an attempt without a complete answer; the lock is held.
func (d *Controller) observeAttempt(now time.Time, b relay.Break) {
	d.observeLink(now, b)
	if !b.Abandoned && !d.reach.Isolated(b.Upstream) {
		d.fleet.Update(now, fleet.BrokenMsg{ID: b.Upstream})
	}
	if b.Refused {
		d.observeRefusal(now, b.Upstream)
	}
	if !b.Unsent {
		d.recordLoss(now, b)
	}
}

// Tick removes lapsed upstreams and decides about waiting requests whose time has come.
func (d *Controller) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.stall.Update(now, stall.TickMsg{}))
	d.perform(d.fleet.DropLapsed(now))
	d.tickReach(now)
	d.tickRefusals(now)
	d.perform(d.place.Update(now, place.TickMsg{}))
	d.tickEvidence(now)
	d.updateReadiness(now)
}

// Ready implements [port.Advice].
func (d *Controller) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mesh.Self().State == mesh.Ready
}

// addressTTL is how long callers may use the listed addresses: long enough to keep queries rare, short enough that
// callers leave a stopping entry well within its grace period.
const addressTTL = time.Second

// Addresses implements [port.Advice].
func (d *Controller) Addresses(caller string, zone ident.Zone, limit int) (addresses []string, ttl time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.mesh.Advise(clock.Now(), caller, zone, limit) {
		addresses = append(addresses, p.Address)
	}
	return addresses, addressTTL
}
