package daemon

import (
	"context"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
	"cicadavalve/core/purge"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
)

// maxFreed bounds the parts that one call frees.
const maxFreed = 500

// storePurge is the freeing of parts in one store.
type storePurge struct {
	store parts.Holder
	cmd   ident.Cmd
	// isOutdated reports whether the parts of a salt are to be freed, stillDue whether that still holds.
	isOutdated func(salt string) bool
	stillDue   func() bool
	// attrs are logged.
	attrs []any
}

// freeOutdated frees the parts in a store that were made with outdated weights.
func (u *duty) freeOutdated(ctx context.Context, cmd purge.FreeCmd) {
	u.free(ctx, storePurge{
		store: cmd.Store, cmd: cmd, attrs: []any{"model", cmd.Model, "below", cmd.Below}, stillDue: func() bool { return true },
		isOutdated: func(salt string) bool {
			model, version, ok := place.ParseSalt(salt)
			return ok && model == cmd.Model && version < cmd.Below
		},
	})
}

// freeScopes frees the parts in a store whose cache scope is not used.
func (u *duty) freeScopes(ctx context.Context, cmd purge.FreeScopesCmd) {
	set := u.d.controller.Config()
	u.free(ctx, storePurge{
		store: cmd.Store, cmd: cmd, attrs: []any{"beside_scope", cmd.Scope},
		stillDue: func() bool {
			return u.d.controller.Config().SharedScope() == cmd.Scope && set.SharedScope() == cmd.Scope
		},
		isOutdated: func(salt string) bool {
			_, _, ok := place.ParseSalt(salt)
			return ok && !set.InScope(place.SaltScope(salt))
		},
	})
}

// free frees the outdated parts in a store, incomplete ones included.
func (u *duty) free(ctx context.Context, p storePurge) {
	addr := string(p.store)
	attrs := append([]any{"store", addr}, p.attrs...)
	askedAt := clock.Now()
	held, err := u.d.engines.List(ctx, addr)
	if err != nil {
		u.d.log.Info("store_not_listed", "store", addr, "error", err)
		return
	}
	var outdated []port.PartState
	for _, k := range append(held.Parts, held.Partial...) {
		if p.isOutdated(k.Salt) {
			outdated = append(outdated, port.PartState{Salt: k.Salt, ID: k.ID})
		}
	}
	count := len(outdated)
	for len(outdated) > 0 {
		if !p.stillDue() {
			return
		}
		n := min(len(outdated), maxFreed)
		if err := u.d.engines.Free(ctx, addr, held.Boot, outdated[:n]); err != nil {
			u.d.log.Info("parts_not_freed", append(attrs, "count", n, "error", err)...)
			return
		}
		u.d.controller.applyHoldings(askedAt, addr, port.Holdings{Boot: held.Boot, Parts: outdated[:n]}, false, false)
		outdated = outdated[n:]
	}
	u.d.log.Info("parts_freed", append(attrs, "count", count)...)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.purge.Update(clock.Now(), purge.DoneMsg{Cmd: p.cmd})
}

// stores lists the managed stores of cached context, none without a configuration; the lock is held.
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

// usesOtherScopes reports whether another entry may use other cache scopes than this one; the lock is held. One that has fallen silent may
// only be cut off.
func (d *Controller) usesOtherScopes(now time.Time) bool {
	sharers, known := d.mesh.Sharers(now, budgetMemory)
	return !known || slices.ContainsFunc(sharers, func(p mesh.Peer) bool { return p.ID != d.mesh.Self().ID && p.Scope != d.sharedScope() })
}

// sharedScope returns the shared cache scope of the configuration, empty before there is one.
func (d *Controller) sharedScope() string {
	if set := d.set.Load(); set != nil {
		return set.SharedScope()
	}
	return ""
}
