package daemon

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"cicadavalve/core/conf"
	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/route"
	"cicadavalve/core/watch"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
)

const (
	// followWait is how long a call waits for changes. The answer after it also confirms a store's incarnation.
	followWait = 500 * time.Millisecond
	// followInterval is the minimum interval between calls to one holder, so that changes arrive in batches.
	followInterval = 250 * time.Millisecond
	// followTimeout bounds a call, in addition to its wait.
	followTimeout = 500 * time.Millisecond
	// assignInterval is the interval at which holders are reassigned to entries.
	assignInterval = 300 * time.Millisecond
	// maxInstantTakeover is the number of owned holders up to which an entry starts following all of them at once; it
	// is above an entry's share at every fleet size measured. Beyond it, takeoverBurst are started at once and then
	// one per takeoverInterval: a list of a few hundred kilobytes takes a quarter of a second on a 10 Mbit/s link.
	maxInstantTakeover = 20
	takeoverBurst      = 4
	takeoverInterval   = time.Second
	// maxResent bounds the parts that a heartbeat reports again.
	maxResent = 64
	// maxSent bounds the changes that a heartbeat reports in a large fleet: four datagrams, so that what all entries report after all of
	// them have started does not exceed what narrow links and relays bear.
	maxSent = 320
	// positionTTL is how long it is remembered how far a holder's changes were sent.
	positionTTL = 10 * time.Second
)

// followers runs a follower for each holder of cached context that is assigned to this entry. Each holder is assigned to
// one entry, which forwards its reports to the others.
type followers struct {
	d *Daemon
	// running holds the function that stops each follower, by address.
	running map[string]context.CancelFunc
	// takeovers limits the rate at which followers start.
	takeovers *rate.Limiter
}

func newFollowers(d *Daemon) *followers {
	return &followers{d: d, running: map[string]context.CancelFunc{}, takeovers: rate.NewLimiter(rate.Every(takeoverInterval), takeoverBurst)}
}

// takeOver returns the owned holders to start following. An entry that receives nothing from the others for a while
// owns all holders; if it requested all their lists at once, the answers would saturate a narrow link and the
// heartbeats of the others would not get through.
func (f *followers) takeOver(now time.Time, own map[string]bool) (taken []string) {
	for _, addr := range slices.Sorted(maps.Keys(own)) {
		if _, already := f.running[addr]; !already && (len(own) <= maxInstantTakeover || f.takeovers.AllowN(now, 1)) {
			taken = append(taken, addr)
		}
	}
	return taken
}

// run starts and stops followers until the context ends.
func (f *followers) run(ctx context.Context) {
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

func (f *followers) assign(ctx context.Context) {
	own := f.d.controller.ownHolders(clock.Now())
	defer f.d.controller.setFollowed(f.running)
	for addr, stop := range f.running {
		if _, still := own[addr]; !still {
			stop()
			delete(f.running, addr)
		}
	}
	for _, addr := range f.takeOver(clock.Now(), own) {
		followCtx, stop := context.WithCancel(ctx)
		f.running[addr] = stop
		go f.d.newFollower(clock.Now(), addr, own[addr]).run(followCtx)
	}
}

// setFollowed sets the holders that this entry follows, by their addresses.
func (d *Controller) setFollowed(running map[string]context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.followed = d.followed[:0]
	for addr := range running {
		d.followed = append(d.followed, parts.Holder(addr))
	}
}

// takeReports returns the reports of holders for the next heartbeat, with some of the parts that were reported before if an entry has
// started; the lock is held.
func (d *Controller) takeReports(now time.Time, entries int) (reports []gossip.Report) {
	for _, msg := range d.resend.Next(now, d.followed, maxResent) {
		d.outbox.AddAgain(msg)
	}
	limit := math.MaxInt
	if watch.Shared(entries) {
		limit = maxSent
	}
	for _, notice := range d.outbox.Next(limit) {
		r := gossip.Report{Holder: string(notice.Holder), Epoch: notice.Epoch, AgeMS: int(now.Sub(notice.At).Milliseconds()), Next: notice.Next}
		for _, c := range notice.Changes {
			r.Changes = append(r.Changes, gossip.Change{Key: uint64(c.Key), Tokens: c.Tokens})
		}
		d.recordPosition(now, &r)
		reports = append(reports, r)
	}
	return reports
}

// ownHolders returns the addresses of the holders that are assigned to this entry; the value is true for a store and
// false for an engine.
func (d *Controller) ownHolders(now time.Time) (own map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	own = map[string]bool{}
	set := d.set.Load()
	if set == nil {
		return own
	}
	alive := d.mesh.Alive(now)
	if !watch.Shared(len(alive)) {
		// In a large fleet the reports of holders that change hands would fill narrow links.
		alive = mesh.PreferConnected(alive)
	}
	ids := mesh.IDs(alive)
	self := d.mesh.Self().ID
	if !slices.Contains(ids, self) || d.receivesTooFew(now) {
		return own
	}
	for i := range set.Services() {
		if s := set.Services()[i].Store; s != nil && route.IsAmong(s.Address, self, ids, 1) {
			own[s.Address] = true
		}
	}
	for _, u := range d.fleet.All() {
		s, ok := set.Service(u.Service)
		if ok && s.Engine != nil && route.IsAmong(u.Address, self, ids, 1) {
			own[u.Address] = false
		}
	}
	return own
}

// backsOff reports whether the upstream at an address asks this entry to back off.
func (d *Controller) backsOff(now time.Time, addr string) (backingOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.fleet.AnyBackoff(now) {
		return false
	}
	d.fleet.Scan(func(u *conf.Upstream) {
		backingOff = backingOff || u.Address == addr && d.fleet.BackingOff(now, u.ID)
	})
	return backingOff
}

// receivesTooFew reports whether this entry has just started in a fleet that is large or may be. It would take over the holders of all entries
// that it has not heard yet, whose reports would fill a narrow link when the entry has most to read. The lock is held.
func (d *Controller) receivesTooFew(now time.Time) bool {
	_, known := d.mesh.Sharers(now, rateMemory)
	if known || d.announced > 0 && !watch.Shared(d.announced) {
		return false
	}
	return d.announced == 0 || float64(len(d.mesh.Alive(now))) < receivedShare*float64(d.announced)
}

// receivedShare is the fraction of the announced entries from which an entry that starts must have received heartbeats to act as one of them.
const receivedShare = 0.9

// position is how far the entry that follows a holder has told its changes.
type position struct {
	boot, next int64
	heardAt    time.Time
}

// recordPosition records how far the changes of a holder were told; the lock is held.
func (d *Controller) recordPosition(now time.Time, r *gossip.Report) {
	if r.Next > 0 {
		d.positions[r.Holder] = position{r.Epoch, r.Next, now}
	}
}

// position returns from where to go on following a holder, the zero value if that is its beginning.
func (d *Controller) position(now time.Time, addr string) (p position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.positions, func(_ string, p position) bool { return now.Sub(p.heardAt) >= positionTTL })
	if !watch.Shared(len(d.mesh.Alive(now))) {
		return position{}
	}
	return d.positions[addr]
}

// follower reads the changes of one holder.
type follower struct {
	d     *Daemon
	addr  string
	store bool
	boot  int64
	next  int64
	lost  bool
	// goesOn is set until the first answer to a follower that goes on from where another entry was.
	goesOn bool
}

// newFollower returns a follower that goes on where another entry left off, so that it does not tell all that the holder keeps anew.
func (d *Daemon) newFollower(now time.Time, addr string, store bool) *follower {
	p := d.controller.position(now, addr)
	return &follower{d: d, addr: addr, store: store, boot: p.boot, next: p.next, goesOn: p.next > 0}
}

// run reads changes until the context ends, except from an engine that asks to back off.
func (f *follower) run(ctx context.Context) {
	defer f.d.controller.guard.Check()
	for ctx.Err() == nil {
		start := clock.Now()
		if !f.d.controller.backsOff(start, f.addr) {
			f.step(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(followInterval-clock.Since(start), followInterval/4)):
		}
	}
}

func (f *follower) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followTimeout)
	defer cancel()
	var h port.Holdings
	var err error
	askedAt, wait := clock.Now(), time.Duration(0)
	complete := f.store && f.boot == 0
	if complete {
		h, err = f.d.engines.List(ctx, f.addr)
	} else {
		wait = followWait
		h, err = f.d.engines.Follow(ctx, f.addr, f.next, wait)
	}
	if err != nil {
		f.d.controller.observeCallError(clock.Now(), f.addr, err)
		if !f.lost && ctx.Err() == nil {
			f.d.log.Warn("holder_lost", "holder", f.addr, "error", err)
		}
		f.lost = true
		return
	}
	at := asOf(clock.Now(), askedAt, wait, len(h.Parts) == 0)
	if f.lost {
		f.lost = false
		f.d.log.Info("holder_regained", "holder", f.addr, "incarnation", h.Boot)
	}
	if f.goesOn && h.Boot != f.boot {
		f.goesOn, f.boot, f.next = false, 0, 0
		return
	}
	f.goesOn = false
	if !complete && f.boot != 0 && h.Boot != f.boot {
		f.d.log.Info("holder_restarted", "holder", f.addr, "incarnation", h.Boot)
		f.boot, f.next = h.Boot, 0
		if f.store {
			f.boot = 0
		} else {
			f.d.controller.observeRestart(clock.Now(), f.addr)
		}
		f.d.controller.applyHoldings(at, f.addr, port.Holdings{Boot: h.Boot}, false, false)
		return
	}
	whole := f.next == 0
	f.boot, f.next = h.Boot, h.Next
	if h.HasGap && f.store {
		// The list is read again. Engines are not asked for theirs, which stalls them: their parts are hints.
		f.d.log.Info("holder_changes_lost", "holder", f.addr, "incarnation", h.Boot)
		f.boot = 0
	}
	f.d.controller.applyHoldings(at, f.addr, h, complete, whole)
}

// asOf returns the latest time at which a holder is known to have been as an answer shows it. It is the time at which the
// call was sent, unless the holder waited for a change in vain: then it was so at the end of the wait.
func asOf(now, sentAt time.Time, wait time.Duration, empty bool) time.Time {
	if waited := sentAt.Add(wait); empty && waited.Before(now) {
		return waited
	}
	return sentAt
}

// applyHoldings applies the report of a holder, known to be true at the given time, and queues it for the next heartbeat. complete is set if it lists
// everything that the holder keeps, whole if it has all changes that the holder remembers.
func (d *Controller) applyHoldings(at time.Time, addr string, h port.Holdings, complete, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !h.Clock.IsZero() {
		d.clockOffset, d.clockKnown = h.Clock.Sub(monotonicNow()), true
	}
	msg := parts.ReportMsg{Holder: parts.Holder(addr), Epoch: h.Boot, At: at, Complete: complete}
	for _, k := range h.Parts {
		msg.Changes = append(msg.Changes, parts.Change{Key: parts.NewKey(k.Salt, k.ID), Tokens: k.Tokens})
	}
	if whole {
		msg.Changes = d.index.View(clock.Now(), msg.Holder).Net(msg.Changes)
	}
	d.index.Update(clock.Now(), msg)
	d.outbox.Add(msg, h.Next)
}
