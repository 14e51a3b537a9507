package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
	"cicadavalve/core/purge"
	"cicadavalve/core/retry"
	"cicadavalve/io/gossip"
	"cicadavalve/io/relay"
	"cicadavalve/io/seam"
)

// shedPause is how long an upstream that rejected a request gets no more: a few steps of an engine.
const shedPause = 100 * time.Millisecond

// Controller owns the deciders about requests. It is safe for concurrent use.
type Controller struct {
	log      *slog.Logger
	settings Settings
	set      atomic.Pointer[conf.Set]
	mu       sync.Mutex
	fleet    *fleet.Model
	index    *parts.Index
	place    *place.Model
	mesh     *mesh.Model
	rng      *rand.Rand
	// feeds read the topics of the store.
	feeds []*feed
	// listed tells that the upstreams have been read once.
	listed bool
	// waits holds the channel of each request that waits for a decision.
	waits map[place.Ticket]chan relay.Decision
	// budgets bounds the attempts beyond the first of each service.
	budgets map[ident.ServiceName]*retry.Window
	// changed wakes those who tell the other entries.
	changed chan struct{}
	// saves, reads and reports wait to be told to the other entries.
	saves   []gossip.Save
	reads   []gossip.Save
	reports map[string]*gossip.Report
	weights []gossip.Weights
	// wanted is the newest version named of each model's weights.
	wanted map[ident.ModelName]int64
	// ordered holds the upstreams that carry out orders, by the entry that gives them.
	ordered map[string][]string
	// ahead is by how much the engines' clock is ahead of this process's, known once clocked is set.
	ahead   time.Duration
	clocked bool
	// onConfig is told of each configuration that comes into force.
	onConfig func(*conf.Set)
}

// NewController knows nothing yet.
func NewController(s Settings, self mesh.Peer, log *slog.Logger, seed uint64) *Controller {
	upstreams, index := fleet.NewModel(), parts.NewIndex()
	rng := rand.New(rand.NewPCG(seed, 0))
	d := &Controller{
		log: log, settings: s, rng: rng, fleet: upstreams, index: index, mesh: mesh.NewModel(self),
		place: place.NewModel(upstreams, index, rng, place.WithVersionTime(s.VersionTime)),
		waits: map[place.Ticket]chan relay.Decision{}, budgets: map[ident.ServiceName]*retry.Window{}, reports: map[string]*gossip.Report{}, changed: make(chan struct{}, 1), wanted: map[ident.ModelName]int64{}, ordered: map[string][]string{},
	}
	d.place.SetMembers(place.Members{Self: self.ID, IDs: []string{self.ID}, Zone: self.Zone})
	return d
}

// Config implements [relay.Controller].
func (d *Controller) Config() *conf.Set { return d.set.Load() }

// Place implements [relay.Controller].
func (d *Controller) Place(ctx context.Context, need place.Need) (decision relay.Decision, err error) {
	return d.await(ctx, need.Ticket, place.ArriveMsg{Need: need}, func(now time.Time) { d.budget(need.Service).First(now) })
}

// Again implements [relay.Controller].
func (d *Controller) Again(ctx context.Context, msg place.AgainMsg) (decision relay.Decision, err error) {
	return d.await(ctx, msg.Ticket, msg, func(time.Time) {})
}

func (d *Controller) await(ctx context.Context, t place.Ticket, msg ident.Msg, before func(time.Time)) (decision relay.Decision, err error) {
	ch := make(chan relay.Decision, 1)
	now := time.Now()
	d.mu.Lock()
	before(now)
	d.waits[t] = ch
	d.perform(d.place.Update(now, msg))
	d.mu.Unlock()
	select {
	case decision = <-ch:
		return decision, nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waits, t)
	d.place.Update(time.Now(), place.WithdrawMsg{Ticket: t})
	d.perform(d.place.Update(time.Now(), place.EndMsg{Ticket: t, Outcome: place.Cancelled}))
	return relay.Decision{}, ctx.Err()
}

// perform carries out commands; the lock is held.
func (d *Controller) perform(cmds []ident.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case place.SendCmd:
			d.deliver(cmd.Ticket, relay.Decision{Send: &cmd})
			select {
			case d.changed <- struct{}{}:
			default:
			}
		case place.RefuseCmd:
			d.deliver(cmd.Ticket, relay.Decision{Refuse: &cmd})
		case place.SavedCmd:
			d.saves = append(d.saves, gossip.Save{Store: string(cmd.Save.Store), Key: uint64(cmd.Save.Key), Tokens: cmd.Save.Tokens})
		case place.ReadingCmd:
			d.reads = append(d.reads, gossip.Save{Store: string(cmd.Reading.Holder), Key: uint64(cmd.Reading.Key), Tokens: cmd.Reading.Tokens})
		case fleet.GoneCmd:
			d.place.Update(time.Now(), cmd)
			d.log.Info("upstream_gone", "upstream", cmd.ID)
		}
	}
}

func (d *Controller) deliver(t place.Ticket, decision relay.Decision) {
	if ch, ok := d.waits[t]; ok {
		delete(d.waits, t)
		ch <- decision
	}
}

func (d *Controller) budget(service ident.ServiceName) *retry.Window {
	w, ok := d.budgets[service]
	if !ok {
		w = retry.NewWindow(d.settings.RetrySpan, d.settings.RetryRatio*budgetShare, 0)
		d.budgets[service] = w
	}
	return w
}

// budgetShare is the part of the stated budget that is used, since entries may disagree on how many share it.
const budgetShare = 0.7

// May implements [relay.Controller].
func (d *Controller) May(service ident.ServiceName) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.budget(service)
	w.SetAllowance(d.settings.RetryAllowance * budgetShare / float64(len(d.mesh.Alive(now))))
	return w.Withdraw(now)
}

// FetchUntil implements [relay.Controller].
func (d *Controller) FetchUntil() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.clocked {
		return time.Time{}
	}
	return steady().Add(d.ahead + purge.FetchTime)
}

// started is when the process began, on the clock that does not jump.
var started = time.Now()

// steady is the time on a clock that does not jump, for differences to other clocks.
func steady() time.Time { return time.Unix(0, 0).Add(time.Since(started)) }

// FirstByte implements [relay.Controller].
func (d *Controller) FirstByte(t place.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.place.Update(time.Now(), place.FirstByteMsg{Ticket: t}))
}

// End implements [relay.Controller].
func (d *Controller) End(t place.Ticket, outcome place.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.place.Update(time.Now(), place.EndMsg{Ticket: t, Outcome: outcome}))
}

// Heard implements [relay.Controller].
func (d *Controller) Heard(id ident.UpstreamID, reply seam.Reply) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case reply.Misdirected && reply.Upstream != "" && reply.Upstream != id:
		d.fleet.Update(now, fleet.MovedMsg{ID: id})
		d.log.Warn("upstream_address_moved", "upstream", id, "answered_by", reply.Upstream)
	case reply.NotRun:
		d.fleet.Update(now, fleet.OrderedMsg{ID: id, Until: now.Add(shedPause)})
	default:
		d.fleet.Update(now, fleet.AnsweredMsg{ID: id})
	}
	if reply.Loaded {
		d.place.Update(now, place.LoadMsg{Upstream: id, Running: reply.Running, Waiting: reply.Waiting})
	}
}

// Broken implements [relay.Controller].
func (d *Controller) Broken(id ident.UpstreamID) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Update(now, fleet.BrokenMsg{ID: id})
}

// Tick lets time pass for what waits.
func (d *Controller) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.fleet.Settle(now))
	d.perform(d.place.Update(now, place.TickMsg{}))
}

// Ready implements [seam.Advice].
func (d *Controller) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mesh.Self().Life == mesh.Ready
}

// addressHold is how long an answer about addresses holds: long enough to keep questions few, short
// enough that a stopping entry is left well within its grace.
const addressHold = time.Second

// Addresses implements [seam.Advice].
func (d *Controller) Addresses(_ ident.Zone) (addresses []string, hold time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.mesh.Serving(time.Now()) {
		addresses = append(addresses, p.Address)
	}
	return addresses, addressHold
}
