package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
	"cicadavalve/core/mesh"
	"cicadavalve/core/purge"
	"cicadavalve/core/ramp"
	"cicadavalve/core/reload"
	"cicadavalve/core/scale"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/guard"
	"cicadavalve/io/port"
)

const (
	// dutyInterval is the interval of the decisions about the lease and about orders.
	dutyInterval = 100 * time.Millisecond
	// orderTimeout bounds one command with all its calls.
	orderTimeout = 800 * time.Millisecond
)

// duty competes for the lease on giving orders to engines and stores, and gives the orders while it holds the lease.
type duty struct {
	d      *Daemon
	mu     *guard.Mutex
	lease  *lease.Model
	reload *reload.Model
	purge  *purge.Model
	// next is the offset from which to read claims in the era of the store, which is -1 before the first answer;
	// lastClaim is the newest claim read, nil before the first.
	next      int64
	era       int64
	lastClaim *lease.Claim
	held      bool
}

func (u *duty) update(msg ident.Msg) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lease.Update(clock.Now(), msg)
}

// setScope sets the shared cache scope of a configuration that comes into force.
func (u *duty) setScope(scope string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.purge.SetScope(scope)
}

// status returns for the heartbeat whether this entry has the newest claim of the lease, though it may still have to
// wait before it gives orders, and the engines that load weights or are about to.
func (u *duty) status(time.Time) (holds bool, ordered []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	holds = u.lease.HasNewestClaim(clock.Now())
	return holds, u.loading()
}

// loading lists the engines that get no new requests because they load weights or are about to; the lock is held.
func (u *duty) loading() (ids []string) {
	for _, id := range u.reload.Updating() {
		ids = append(ids, string(id))
	}
	return ids
}

// run decides at each interval until the context ends.
func (u *duty) run(ctx context.Context) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.tick(ctx)
		}
	}
}

func (u *duty) tick(ctx context.Context) {
	now := clock.Now()
	alive, ready := u.d.controller.leaseCandidates()
	holds, cmds := u.updateLease(now, alive, ready, u.d.controller.neighbourSeen(u.lastHolder()))
	cmds = append(cmds, u.orders(holds)...)
	for _, cmd := range cmds {
		go (&task{u, cmd}).run(ctx)
	}
}

// lastHolder returns the entry that announced itself last as the holder.
func (u *duty) lastHolder() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lease.LastHolder()
}

// updateLease reports whether this entry holds the lease, and returns the calls that are due for it.
func (u *duty) updateLease(now time.Time, alive []string, ready bool, neighbourSeen time.Time) (holds bool, cmds []ident.Cmd) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lease.SetMembers(alive)
	if ready {
		cmds = u.lease.Update(now, lease.TickMsg{NeighbourSeen: neighbourSeen})
	}
	holds = u.lease.Holds(now)
	if holds != u.held {
		u.held = holds
		u.d.log.Info("duty_changed", "holds", holds, "token", u.lease.Token())
	}
	return holds, cmds
}

// orders returns the calls that are due: queries and load orders to engines, and the freeing of outdated parts.
func (u *duty) orders(holds bool) (cmds []ident.Cmd) {
	u.d.controller.mu.Lock()
	defer u.d.controller.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := clock.Now()
	for model, target := range u.d.controller.targets {
		u.reload.SetTargetVersion(target.since, model, target.version)
		u.purge.SetTargetVersion(model, target.version)
	}
	cmds = u.reload.Update(now, reload.TickMsg{Holds: holds, InFlight: func(id ident.UpstreamID) int { return u.d.controller.place.InFlight(now, id) }})
	cmds = append(cmds, u.d.controller.tickRamp(now, holds)...)
	cmds = append(cmds, u.d.tickScaling(now, holds)...)
	u.d.controller.setOrdered(now, u.d.self.ID, u.loading())
	return append(cmds, u.purge.Update(now, purge.TickMsg{
		Holds: holds, Stores: u.d.controller.stores(), Behind: func() bool { return u.d.controller.usesOtherScopes(now) },
	})...)
}

// task performs one command of the duty, which takes a call.
type task struct {
	duty *duty
	cmd  ident.Cmd
}

// run performs the command within [orderTimeout].
func (t *task) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	u := t.duty
	defer u.d.controller.guard.Check()
	switch cmd := t.cmd.(type) {
	case lease.ReadCmd:
		u.readClaims(ctx)
	case lease.ClaimCmd:
		u.claim(ctx, cmd)
	case reload.QueryCmd:
		u.queryState(ctx, cmd)
	case reload.OrderCmd:
		u.orderLoad(ctx, cmd)
	case purge.FreeCmd:
		u.freeOutdated(ctx, cmd)
	case purge.FreeScopesCmd:
		u.freeScopes(ctx, cmd)
	case ramp.RecordCmd:
		u.recordRollout(ctx, cmd)
	case scale.OrderCmd:
		u.orderCapacity(ctx, cmd)
	}
}

// nextClaim returns the offset from which claims are read next.
func (u *duty) nextClaim() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.next
}

func (u *duty) readClaims(ctx context.Context) {
	sentAt := clock.Now()
	next := u.nextClaim()
	batch, err := u.d.store.Read(ctx, port.Claims, next, 0)
	trimmed := errors.Is(err, port.ErrTrimmed)
	if err != nil && !trimmed {
		u.d.log.Debug("claims_not_read", "error", err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.enter(batch.Era) {
		return
	}
	if trimmed {
		u.d.log.Warn("claims_trimmed", "offset", next, "first", batch.Next)
		u.next, u.lastClaim = batch.Next, nil
		return
	}
	if batch.Next < u.next {
		return
	}
	u.next = batch.Next
	if n := len(batch.Events); n > 0 {
		if c, ok := batch.Events[n-1].(port.ClaimEvent); ok {
			u.lastClaim = &lease.Claim{Holder: c.Holder, Boot: c.Boot}
		}
	}
	if batch.Next < batch.End {
		// The rest may have a newer claim.
		return
	}
	u.lease.Update(clock.Now(), lease.ReadMsg{Era: u.era, SentAt: sentAt, End: u.next, Last: u.lastClaim})
}

// enter reports whether an answer of the store is of the known era. If the era is newer, claims are read again from the
// start; the lock is held.
func (u *duty) enter(era int64) (current bool) {
	if era <= u.era || u.era < 0 {
		u.era = max(u.era, era)
		return era == u.era
	}
	u.era, u.next, u.lastClaim = era, 0, nil
	u.lease.Update(clock.Now(), lease.RestoredMsg{Era: era})
	return false
}

func (u *duty) claim(ctx context.Context, cmd lease.ClaimCmd) {
	sentAt := clock.Now()
	offset, era, err := u.d.store.Claim(ctx, cmd.End, port.ClaimEvent{Holder: cmd.Claim.Holder, Boot: cmd.Claim.Boot})
	if err != nil {
		u.d.log.Info("claim_failed", "end", cmd.End, "error", err)
	} else {
		u.d.log.Info("claim_won", "offset", offset)
	}
	u.update(lease.ClaimedMsg{SentAt: sentAt, Won: err == nil, Era: era, Offset: offset})
}

func (u *duty) queryState(ctx context.Context, cmd reload.QueryCmd) {
	askedAt := clock.Now()
	if !u.d.controller.mayCall(askedAt, cmd.Upstream.ID) {
		return
	}
	state, err := u.d.engines.State(ctx, cmd.Upstream.ID, cmd.Upstream.Address)
	if err != nil {
		u.d.controller.observeCallError(clock.Now(), cmd.Upstream.Address, err)
		u.d.log.Debug("engine_not_asked", "upstream", cmd.Upstream.ID, "error", err)
		return
	}
	u.d.controller.applyWeights(cmd.Upstream.ID, state.Weights)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reload.Update(clock.Now(), reload.StateMsg{Upstream: cmd.Upstream.ID, AskedAt: askedAt, Loading: state.Loading, Seq: state.Seq, Weights: state.Weights})
}

// applyWeights applies the weights that an engine reports, and reports those that have a target version to the other entries: an engine
// may have any number of models, and a heartbeat is one datagram.
func (d *Controller) applyWeights(upstream ident.UpstreamID, weights map[ident.ModelName]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, version := range weights {
		d.fleet.Update(clock.Now(), fleet.WeightsMsg{ID: upstream, Model: model, Version: version})
		if _, named := d.targets[model]; !named {
			continue
		}
		d.weights = append(d.weights, gossip.Weights{Upstream: string(upstream), Model: string(model), Version: version})
	}
}

// leaseContext returns the fencing token, and a context that ends when this entry may no longer act on its last check of the claims:
// a call that is delayed must not take effect beside those of a successor. holds is false if the entry may not act now.
func (u *duty) leaseContext(ctx context.Context) (bounded context.Context, cancel context.CancelFunc, token int64, holds bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	bounded, cancel = context.WithDeadline(ctx, clock.Deadline(u.lease.HoldsUntil()))
	return bounded, cancel, u.lease.Token(), u.lease.Holds(clock.Now())
}

func (u *duty) orderLoad(ctx context.Context, cmd reload.OrderCmd) {
	ctx, cancel, token, holds := u.leaseContext(ctx)
	defer cancel()
	if !holds || !u.d.controller.mayCall(clock.Now(), cmd.Upstream.ID) {
		return
	}
	err := u.d.engines.Load(ctx, port.LoadOrder{
		Upstream: cmd.Upstream.ID, Address: cmd.Upstream.Address, Model: cmd.Model, Version: cmd.Version,
		Holder: u.d.self.ID, Token: token, Seq: cmd.Seq,
	})
	u.d.controller.observeCallError(clock.Now(), cmd.Upstream.Address, err)
	u.d.log.Info("weights_ordered", "upstream", cmd.Upstream.ID, "model", cmd.Model, "version", cmd.Version, "token", token, "seq", cmd.Seq, "error", err)
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err == nil:
		u.reload.Update(clock.Now(), reload.AcceptedMsg{Upstream: cmd.Upstream.ID})
	case errors.Is(err, port.ErrOutdated):
		u.lease.Update(clock.Now(), lease.TokenOutdatedMsg{})
	case errors.Is(err, port.ErrBusy), errors.Is(err, port.ErrRefused):
		u.reload.Update(clock.Now(), reload.RefusedMsg{Upstream: cmd.Upstream.ID})
	}
}

// leaseCandidates lists the entries that may hold the lease; ready reports whether this entry may. A
// partitioned one reaches none that it could give orders to, and one that has just started does not know its rank.
func (d *Controller) leaseCandidates() (ids []string, ready bool) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.mesh.Self()
	return mesh.IDs(d.mesh.Serving(now)), self.State == mesh.Ready && !self.Partitioned && !d.receivesTooFew(now)
}

// neighbourSeen returns when another entry in the availability zone of an entry last sent a heartbeat that arrived.
func (d *Controller) neighbourSeen(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mesh.NeighbourSeen(id)
}
