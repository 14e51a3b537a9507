package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

// Watch is what one entry knows of the reach of others. The members stand on a ring in the
// order of a hash of their names, and each watches the next few.
type Watch struct {
	interval time.Duration
	members  []Member
	// targets are the members that this entry pings, the nearest on the ring first.
	targets []Member
	// misses counts the pings in a row that a target did not answer.
	misses map[Member]int
	// accused holds when each accuser last said that it could not reach an incarnation.
	accused map[ident.BootID]map[ident.EntryID]time.Time
	leaving map[ident.BootID]bool
	// left lists the keys of leaving, the oldest first.
	left []ident.BootID
	// next is when the targets are pinged again; quiet is when a removal may be appended again.
	next  time.Time
	quiet time.Time
}

const (
	defaultPingInterval = time.Second
	// watchers is how many entries watch each.
	watchers = 3
	// accusers is how many entries must have missed one before it is removed.
	accusers = 2
	// mostMisses is how many pings in a row an entry may miss.
	mostMisses = 3
	// mostLeaving bounds the incarnations that are remembered as leaving.
	mostLeaving = 1024
	// keepIntervals is for how many ping intervals an accusation counts.
	keepIntervals = 3
)

func newWatch() *Watch {
	return &Watch{
		interval: defaultPingInterval, misses: map[Member]int{},
		accused: map[ident.BootID]map[ident.EntryID]time.Time{}, leaving: map[ident.BootID]bool{},
	}
}

func ringOrder(a, b Member) int {
	x, y := xxhash.Sum64String(string(a.Entry)), xxhash.Sum64String(string(b.Entry))
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(string(a.Entry), string(b.Entry))
}

func (w *Watch) setMembers(now time.Time, self ident.EntryID, members []Member) {
	w.members = members
	ring := slices.Clone(members)
	slices.SortFunc(ring, ringOrder)
	at := slices.IndexFunc(ring, func(m Member) bool { return m.Entry == self })
	w.targets = w.targets[:0]
	if at >= 0 {
		for i := 1; i < len(ring) && i <= watchers; i++ {
			w.targets = append(w.targets, ring[(at+i)%len(ring)])
		}
	}
	w.forget()
	w.quiet = now.Add(w.interval)
}

// forget drops what is known of entries that are no members any more.
func (w *Watch) forget() {
	known := map[ident.BootID]bool{}
	for _, m := range w.members {
		known[m.Incarnation] = true
	}
	for m := range w.misses {
		if !slices.Contains(w.targets, m) {
			delete(w.misses, m)
		}
	}
	for boot := range w.accused {
		if !known[boot] {
			delete(w.accused, boot)
		}
	}
}

// leaves notes an entry that leaves. It may be one whose join is not folded yet, so that the
// word is kept beyond the roster; the oldest goes first.
func (w *Watch) leaves(boot ident.BootID) {
	if w.leaving[boot] {
		return
	}
	w.leaving[boot] = true
	w.left = append(w.left, boot)
	if len(w.left) > mostLeaving {
		delete(w.leaving, w.left[0])
		w.left = w.left[1:]
	}
}

func (w *Watch) pings(now time.Time, self ident.EntryID) (cmds []ident.Cmd) {
	if now.Before(w.next) {
		return nil
	}
	w.next = now.Add(w.interval)
	accusations := w.Accusations(self)
	for _, t := range w.targets {
		cmds = append(cmds, PingCmd{To: t, Accusations: accusations})
	}
	return cmds
}

// due is when the targets are pinged again, or sooner where one may be lost.
func (w *Watch) due() time.Time {
	for _, t := range w.targets {
		if w.misses[t] >= mostMisses && w.quiet.Before(w.next) {
			return w.quiet
		}
	}
	return w.next
}

// Accusations are this entry's own.
func (w *Watch) Accusations(self ident.EntryID) (own []Accusation) {
	for _, t := range w.targets {
		if w.misses[t] >= mostMisses {
			own = append(own, Accusation{By: self, Entry: t.Entry, Incarnation: t.Incarnation})
		}
	}
	return own
}

func (w *Watch) miss(now time.Time, self ident.EntryID, to Member) {
	if !slices.Contains(w.targets, to) {
		return
	}
	w.misses[to]++
	if w.misses[to] >= mostMisses {
		w.accuse(now, Accusation{By: self, Entry: to.Entry, Incarnation: to.Incarnation})
	}
}

func (w *Watch) accuse(now time.Time, a Accusation) {
	if w.accused[a.Incarnation] == nil {
		w.accused[a.Incarnation] = map[ident.EntryID]time.Time{}
	}
	w.accused[a.Incarnation][a.By] = now
}

func (w *Watch) hear(now time.Time, msg HeardMsg) {
	delete(w.misses, msg.From)
	delete(w.accused, msg.From.Incarnation)
	if msg.Leaving {
		w.leaves(msg.From.Incarnation)
	}
	for _, a := range msg.Accusations {
		w.accuse(now, a)
	}
	w.forget()
}

// lost finds a member that enough entries accuse; it gives one at most once an interval.
func (w *Watch) lost(now time.Time) (m Member, found bool) {
	if now.Before(w.quiet) {
		return m, false
	}
	needed := min(accusers, len(w.members)-1)
	for _, t := range w.targets {
		if w.misses[t] >= mostMisses && w.accusers(now, t) >= needed {
			w.quiet = now.Add(w.interval)
			return t, true
		}
	}
	return m, false
}

func (w *Watch) accusers(now time.Time, m Member) (n int) {
	for _, at := range w.accused[m.Incarnation] {
		if now.Sub(at) <= keepIntervals*w.interval {
			n++
		}
	}
	return n
}

// Advised lists the members that callers are told to use: those that neither leave nor are
// out of reach. Where none is left, it lists those that do not leave.
func (w *Watch) Advised(now time.Time) (advised []Member) {
	var staying []Member
	for _, m := range w.members {
		if w.leaving[m.Incarnation] {
			continue
		}
		staying = append(staying, m)
		if w.accusers(now, m) == 0 {
			advised = append(advised, m)
		}
	}
	if len(advised) == 0 {
		return staying
	}
	return advised
}
