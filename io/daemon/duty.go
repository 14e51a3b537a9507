package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
	"cicadavalve/core/purge"
	"cicadavalve/core/swap"
	"cicadavalve/io/gossip"
	"cicadavalve/io/seam"
)

const (
	// dutyInterval is the pace of the decisions about orders.
	dutyInterval = 100 * time.Millisecond
	// orderTime bounds an order and a question to an engine.
	orderTime = 800 * time.Millisecond
)

// duty holds the lease on giving orders and gives them.
type duty struct {
	d  *Daemon
	mu sync.Mutex
	// lease is told the time since the VM started, which counts suspensions.
	lease *lease.Model
	swap  *swap.Model
	purge *purge.Model
	// next is the offset of the claims from which to read on, last the newest claim.
	next int64
	last *lease.Claim
	held bool
}

// sinceBoot is the time on a clock that keeps running while the VM is suspended.
func sinceBoot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}

func (u *duty) update(msg ident.Msg) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lease.Update(sinceBoot(), msg)
}

// standing tells the others whether this entry holds the duty, and which engines load.
func (u *duty) standing(time.Time) (holds bool, ordered []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	holds = u.lease.Claims(sinceBoot())
	return holds, u.underway()
}

// underway lists the engines that get no new work since they are about to load; the lock is held.
func (u *duty) underway() (ids []string) {
	for _, id := range u.swap.Underway() {
		ids = append(ids, string(id))
	}
	return ids
}

// run decides at each interval.
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
	now := sinceBoot()
	alive, ready := u.d.controller.line()
	u.mu.Lock()
	u.lease.SetMembers(alive)
	var cmds []ident.Cmd
	if ready {
		cmds = u.lease.Update(now, lease.TickMsg{})
	}
	holds := u.lease.Holds(now)
	if holds != u.held {
		u.held = holds
		u.d.log.Info("duty_changed", "holds", holds, "token", u.lease.Token())
	}
	u.mu.Unlock()
	cmds = append(cmds, u.orders(holds)...)
	for _, cmd := range cmds {
		go (&task{u, cmd}).run(ctx)
	}
}

// orders decides about the weights of the engines.
func (u *duty) orders(holds bool) (cmds []ident.Cmd) {
	u.d.controller.mu.Lock()
	defer u.d.controller.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for model, version := range u.d.controller.wanted {
		u.swap.Want(now, model, version)
		u.purge.Want(model, version)
	}
	cmds = u.swap.Update(now, swap.TickMsg{Holds: holds, Busy: func(id ident.UpstreamID) int { return u.d.controller.place.Busy(now, id) }})
	u.d.controller.setOrdered(now, u.d.self.ID, u.underway())
	return append(cmds, u.purge.Update(now, purge.TickMsg{Holds: holds, Stores: u.d.controller.stores()})...)
}

// task is one command of the duty that waits for an answer.
type task struct {
	duty *duty
	cmd  ident.Cmd
}

// run performs the command.
func (t *task) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	u := t.duty
	switch cmd := t.cmd.(type) {
	case lease.ReadCmd:
		u.read(ctx)
	case lease.ClaimCmd:
		u.claim(ctx, cmd)
	case swap.AskCmd:
		u.ask(ctx, cmd)
	case swap.OrderCmd:
		u.order(ctx, cmd)
	case purge.FreeCmd:
		u.free(ctx, cmd)
	}
}

func (u *duty) read(ctx context.Context) {
	asked := sinceBoot()
	u.mu.Lock()
	next := u.next
	u.mu.Unlock()
	batch, err := u.d.store.Read(ctx, seam.Claims, next, 0)
	if errors.Is(err, seam.ErrTrimmed) {
		u.d.log.Warn("claims_trimmed", "offset", next)
	}
	if err != nil {
		u.d.log.Debug("claims_not_read", "error", err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if batch.Next < u.next {
		return
	}
	u.next = batch.Next
	if n := len(batch.Events); n > 0 {
		if c, ok := batch.Events[n-1].(seam.ClaimEvent); ok {
			u.last = &lease.Claim{Holder: c.Holder, Boot: c.Boot}
		}
	}
	u.lease.Update(sinceBoot(), lease.ReadMsg{Asked: asked, End: u.next, Last: u.last})
}

func (u *duty) claim(ctx context.Context, cmd lease.ClaimCmd) {
	asked := sinceBoot()
	offset, err := u.d.store.Claim(ctx, cmd.End, seam.ClaimEvent{Holder: cmd.Claim.Holder, Boot: cmd.Claim.Boot})
	if err != nil {
		u.d.log.Info("claim_failed", "end", cmd.End, "error", err)
	} else {
		u.d.log.Info("claim_won", "offset", offset)
	}
	u.update(lease.ClaimedMsg{Asked: asked, Won: err == nil, Offset: offset})
}

func (u *duty) ask(ctx context.Context, cmd swap.AskCmd) {
	state, err := u.d.engines.State(ctx, cmd.Upstream.ID, cmd.Upstream.Address)
	if err != nil {
		u.d.log.Debug("engine_not_asked", "upstream", cmd.Upstream.ID, "error", err)
		return
	}
	u.d.controller.mu.Lock()
	for model, version := range state.Weights {
		u.d.controller.fleet.Update(time.Now(), fleet.WeightsMsg{ID: cmd.Upstream.ID, Model: model, Version: version})
		u.d.controller.weights = append(u.d.controller.weights, gossip.Weights{Upstream: string(cmd.Upstream.ID), Model: string(model), Version: version})
	}
	u.d.controller.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.swap.Update(time.Now(), swap.StateMsg{Upstream: cmd.Upstream.ID, Loading: state.Loading, Seq: state.Seq, Weights: state.Weights})
}

func (u *duty) order(ctx context.Context, cmd swap.OrderCmd) {
	u.mu.Lock()
	holds, token := u.lease.Holds(sinceBoot()), u.lease.Token()
	u.mu.Unlock()
	if !holds {
		return
	}
	err := u.d.engines.Load(ctx, seam.LoadOrder{
		Upstream: cmd.Upstream.ID, Address: cmd.Upstream.Address, Model: cmd.Model, Version: cmd.Version,
		Holder: u.d.self.ID, Token: token, Seq: cmd.Seq,
	})
	u.d.log.Info("weights_ordered", "upstream", cmd.Upstream.ID, "model", cmd.Model, "version", cmd.Version, "token", token, "seq", cmd.Seq, "error", err)
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case errors.Is(err, seam.ErrOutdated):
		u.lease.Update(sinceBoot(), lease.RefusedMsg{})
	case errors.Is(err, seam.ErrBusy), errors.Is(err, seam.ErrRefused):
		u.swap.Update(time.Now(), swap.RefusedMsg{Upstream: cmd.Upstream.ID})
	}
}

// stores lists the stores of kept context; the lock is held.
func (d *Controller) stores() (stores []parts.Holder) {
	set := d.set.Load()
	if set == nil {
		return nil
	}
	for i := range set.Services() {
		if s := set.Services()[i].Store; s != nil && s.Managed {
			stores = append(stores, parts.Holder(s.Address))
		}
	}
	return stores
}

// mostFreed is how many parts one call frees.
const mostFreed = 500

// free frees the parts of outdated weights in a store.
func (u *duty) free(ctx context.Context, cmd purge.FreeCmd) {
	addr := string(cmd.Store)
	held, err := u.d.engines.List(ctx, addr)
	if err != nil {
		u.d.log.Info("store_not_listed", "store", addr, "error", err)
		return
	}
	var outdated []seam.Kept
	for _, k := range append(held.Kept, held.Partial...) {
		if model, version, ok := place.ParseSalt(k.Salt); ok && model == cmd.Model && version < cmd.Below {
			outdated = append(outdated, seam.Kept{Salt: k.Salt, ID: k.ID})
		}
	}
	count := len(outdated)
	for len(outdated) > 0 {
		n := min(len(outdated), mostFreed)
		if err := u.d.engines.Free(ctx, addr, held.Boot, outdated[:n]); err != nil {
			u.d.log.Info("parts_not_freed", "store", addr, "count", n, "error", err)
			return
		}
		u.d.controller.report(addr, seam.Holdings{Boot: held.Boot, Kept: outdated[:n]}, false)
		outdated = outdated[n:]
	}
	u.d.log.Info("parts_freed", "store", addr, "model", cmd.Model, "below", cmd.Below, "count", count)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.purge.Update(time.Now(), purge.DoneMsg{Cmd: cmd})
}

// line lists the entries that may hold the duty and tells whether this one may.
func (d *Controller) line() (ids []string, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return mesh.IDs(d.mesh.Serving(time.Now())), d.mesh.Self().Life == mesh.Ready
}
