package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

// Watch is the failure detector of one entry. The members form a ring in the order of a hash
// of their names, and each member pings the next watchersPerMember members.
type Watch struct {
	interval time.Duration
	members  []Member
	// targets are the members that this entry pings, the nearest on the ring first.
	targets []Member
	// misses counts the consecutive pings that a target did not answer.
	misses map[Member]int
	// accusations holds, by accused incarnation and accuser, when the last accusation arrived.
	accusations map[ident.BootID]map[ident.EntryID]time.Time
	// leaving holds the incarnations that announced that they leave.
	leaving map[ident.BootID]bool
	// leavingOrder lists the keys of leaving, the oldest first.
	leavingOrder []ident.BootID
	nextPing     time.Time
	// nextRemoval is the earliest time of the next removal.
	nextRemoval time.Time
}

const (
	defaultPingInterval = time.Second
	// watchersPerMember is how many entries ping each member.
	watchersPerMember = 3
	// accusersNeeded is how many entries must accuse a member before it is removed; fewer in a smaller cluster.
	accusersNeeded = 2
	// missThreshold is the number of consecutive missed pings at which an entry is accused.
	missThreshold = 3
	// maxLeaving limits the incarnations that are remembered as leaving.
	maxLeaving = 1024
	// accusationIntervals is how long an accusation is valid, in ping intervals.
	accusationIntervals = 3
)

func newWatch() *Watch {
	return &Watch{
		interval: defaultPingInterval, misses: map[Member]int{},
		accusations: map[ident.BootID]map[ident.EntryID]time.Time{}, leaving: map[ident.BootID]bool{},
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
		for i := 1; i < len(ring) && i <= watchersPerMember; i++ {
			w.targets = append(w.targets, ring[(at+i)%len(ring)])
		}
	}
	w.prune()
	w.nextRemoval = now.Add(w.interval)
}

// prune drops the misses of entries that are no targets and the accusations of entries that are no members.
func (w *Watch) prune() {
	known := map[ident.BootID]bool{}
	for _, m := range w.members {
		known[m.Incarnation] = true
	}
	for m := range w.misses {
		if !slices.Contains(w.targets, m) {
			delete(w.misses, m)
		}
	}
	for boot := range w.accusations {
		if !known[boot] {
			delete(w.accusations, boot)
		}
	}
}

// markLeaving notes an incarnation that announced that it leaves. Its join may not be folded yet, so the
// note does not depend on the roster; above maxLeaving the oldest note is dropped.
func (w *Watch) markLeaving(boot ident.BootID) {
	if w.leaving[boot] {
		return
	}
	w.leaving[boot] = true
	w.leavingOrder = append(w.leavingOrder, boot)
	if len(w.leavingOrder) > maxLeaving {
		delete(w.leaving, w.leavingOrder[0])
		w.leavingOrder = w.leavingOrder[1:]
	}
}

// issuePings pings every target once per interval.
func (w *Watch) issuePings(now time.Time, self ident.EntryID) (cmds []ident.Cmd) {
	if now.Before(w.nextPing) {
		return nil
	}
	w.nextPing = now.Add(w.interval)
	accusations := w.Accusations(self)
	for _, t := range w.targets {
		cmds = append(cmds, PingCmd{To: t, Accusations: accusations})
	}
	return cmds
}

// nextDue returns the time of the next pings, or of the next removal if that is sooner and a target is accused.
func (w *Watch) nextDue() time.Time {
	for _, t := range w.targets {
		if w.misses[t] >= missThreshold && w.nextRemoval.Before(w.nextPing) {
			return w.nextRemoval
		}
	}
	return w.nextPing
}

// Accusations returns this entry's accusations of its targets.
func (w *Watch) Accusations(self ident.EntryID) (own []Accusation) {
	for _, t := range w.targets {
		if w.misses[t] >= missThreshold {
			own = append(own, Accusation{By: self, Entry: t.Entry, Incarnation: t.Incarnation})
		}
	}
	return own
}

func (w *Watch) recordMiss(now time.Time, self ident.EntryID, to Member) {
	if !slices.Contains(w.targets, to) {
		return
	}
	w.misses[to]++
	if w.misses[to] >= missThreshold {
		w.recordAccusation(now, Accusation{By: self, Entry: to.Entry, Incarnation: to.Incarnation})
	}
}

func (w *Watch) recordAccusation(now time.Time, a Accusation) {
	if w.accusations[a.Incarnation] == nil {
		w.accusations[a.Incarnation] = map[ident.EntryID]time.Time{}
	}
	w.accusations[a.Incarnation][a.By] = now
}

func (w *Watch) handleHeard(now time.Time, msg HeardMsg) {
	delete(w.misses, msg.From)
	delete(w.accusations, msg.From.Incarnation)
	if msg.Leaving {
		w.markLeaving(msg.From.Incarnation)
	}
	for _, a := range msg.Accusations {
		w.recordAccusation(now, a)
	}
	w.prune()
}

// takeLost returns a target that enough entries accuse, at most one per ping interval.
func (w *Watch) takeLost(now time.Time) (m Member, found bool) {
	if now.Before(w.nextRemoval) {
		return m, false
	}
	needed := min(accusersNeeded, len(w.members)-1)
	for _, t := range w.targets {
		if w.misses[t] >= missThreshold && w.countAccusers(now, t) >= needed {
			w.nextRemoval = now.Add(w.interval)
			return t, true
		}
	}
	return m, false
}

// countAccusers returns how many entries have a valid accusation against a member.
func (w *Watch) countAccusers(now time.Time, m Member) (n int) {
	for _, at := range w.accusations[m.Incarnation] {
		if now.Sub(at) <= accusationIntervals*w.interval {
			n++
		}
	}
	return n
}

// Advised returns the members that callers are advised to use: those that are neither leaving nor
// accused. If there are none, it returns all that are not leaving.
func (w *Watch) Advised(now time.Time) (advised []Member) {
	var staying []Member
	for _, m := range w.members {
		if w.leaving[m.Incarnation] {
			continue
		}
		staying = append(staying, m)
		if w.countAccusers(now, m) == 0 {
			advised = append(advised, m)
		}
	}
	if len(advised) == 0 {
		return staying
	}
	return advised
}
