package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/route"
	"cicadavalve/io/gossip"
	"cicadavalve/io/seam"
)

const (
	// followWait is how long a call waits for changes; the answer also confirms a store's incarnation.
	followWait = 500 * time.Millisecond
	// followPace is the least time between two calls to one holder, so that changes come in groups.
	followPace = 250 * time.Millisecond
	// followTime bounds a call besides its wait.
	followTime = 500 * time.Millisecond
	// assignInterval is how often the followers are dealt anew.
	assignInterval = 300 * time.Millisecond
	// takeFree is how many holders an entry may own for all of them to be taken over at once, above its share at any
	// size measured. Of more, takeBurst are taken at once and then one in a takeInterval: a list of a few hundred
	// kilobytes takes a link of 10 Mbit/s a quarter of a second.
	takeFree     = 20
	takeBurst    = 4
	takeInterval = time.Second
)

// follows deals the holders of kept context over the entries; each entry follows its own and tells the others.
type follows struct {
	d *Daemon
	// running holds the end of each follower.
	running map[string]context.CancelFunc
	// takes limits how fast holders are taken over.
	takes *rate.Limiter
}

func newFollows(d *Daemon) *follows {
	return &follows{d: d, running: map[string]context.CancelFunc{}, takes: rate.NewLimiter(rate.Every(takeInterval), takeBurst)}
}

// take picks the holders to start following. An entry that hears nobody for a while owns all of them; were it to ask
// for what all of them keep at once, the answers would fill a narrow link and keep it from hearing the others again.
func (f *follows) take(now time.Time, mine map[string]bool) (taken []string) {
	for _, addr := range slices.Sorted(maps.Keys(mine)) {
		if _, already := f.running[addr]; !already && (len(mine) <= takeFree || f.takes.AllowN(now, 1)) {
			taken = append(taken, addr)
		}
	}
	return taken
}

// run starts and ends followers.
func (f *follows) run(ctx context.Context) {
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for {
		f.assign(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *follows) assign(ctx context.Context) {
	mine := f.d.controller.ownHolders(time.Now())
	for addr, end := range f.running {
		if _, still := mine[addr]; !still {
			end()
			delete(f.running, addr)
		}
	}
	for _, addr := range f.take(time.Now(), mine) {
		one, end := context.WithCancel(ctx)
		f.running[addr] = end
		go (&follower{d: f.d, addr: addr, store: mine[addr]}).run(one)
	}
}

// ownHolders lists the holders that this entry follows, and tells stores from engines.
func (d *Controller) ownHolders(now time.Time) (mine map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	mine = map[string]bool{}
	set := d.set.Load()
	if set == nil {
		return mine
	}
	ids := mesh.IDs(d.mesh.Alive(now))
	self := d.mesh.Self().ID
	for i := range set.Services() {
		if s := set.Services()[i].Store; s != nil && route.Rank(s.Address, self, ids) == 0 {
			mine[s.Address] = true
		}
	}
	for _, u := range d.fleet.All() {
		s, ok := set.Service(u.Service)
		if ok && s.Engine != nil && route.Rank(u.Address, self, ids) == 0 {
			mine[u.Address] = false
		}
	}
	return mine
}

// follower follows one holder.
type follower struct {
	d     *Daemon
	addr  string
	store bool
	boot  int64
	next  int64
	lost  bool
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		f.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(max(followPace-time.Since(begun), followPace/4)):
		}
	}
}

func (f *follower) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followTime)
	defer cancel()
	var h seam.Holdings
	var err error
	whole := f.store && f.boot == 0
	if whole {
		h, err = f.d.engines.List(ctx, f.addr)
	} else {
		h, err = f.d.engines.Follow(ctx, f.addr, f.next, followWait)
	}
	if err != nil {
		if !f.lost && ctx.Err() == nil {
			f.d.log.Warn("holder_lost", "holder", f.addr, "error", err)
		}
		f.lost = true
		return
	}
	if f.lost {
		f.lost = false
		f.d.log.Info("holder_regained", "holder", f.addr, "incarnation", h.Boot)
	}
	if !whole && f.boot != 0 && h.Boot != f.boot {
		f.d.log.Info("holder_restarted", "holder", f.addr, "incarnation", h.Boot)
		f.boot, f.next = h.Boot, 0
		if f.store {
			f.boot = 0
		}
		f.d.controller.report(f.addr, seam.Holdings{Boot: h.Boot}, false)
		return
	}
	f.boot, f.next = h.Boot, h.Next
	f.d.controller.report(f.addr, h, whole)
}

// report takes in what a holder told and keeps it for the other entries.
func (d *Controller) report(addr string, h seam.Holdings, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !h.Clock.IsZero() {
		d.ahead, d.clocked = h.Clock.Sub(steady()), true
	}
	r, ok := d.reports[addr]
	if !ok || r.Epoch != h.Boot {
		r = &gossip.Report{Holder: addr, Epoch: h.Boot}
		d.reports[addr] = r
	}
	msg := parts.ReportMsg{Holder: parts.Holder(addr), Epoch: h.Boot, Whole: whole}
	for _, k := range h.Kept {
		key := parts.NewKey(k.Salt, k.ID)
		msg.Changes = append(msg.Changes, parts.Change{Key: key, Tokens: k.Tokens})
		r.Changes = append(r.Changes, gossip.Change{Key: uint64(key), Tokens: k.Tokens})
	}
	d.index.Update(time.Now(), msg)
}
