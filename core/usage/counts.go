package usage

import (
	"cmp"
	"maps"
	"slices"

	"cicadavalve/core/ident"
)

// Counts holds the number of requests that began, by organisation.
type Counts map[ident.OrgID]int64

// Sum returns the number of requests of all organisations.
func (c Counts) Sum() (sum int64) {
	for _, n := range c {
		sum += n
	}
	return sum
}

// Group holds the counters of one incarnation of an entry for one window, or some of them. Counters only grow.
type Group struct {
	Entry  string
	Boot   int64
	Window int64
	// Total is the sum of all counters of the group when it was sent, also of those that are left out.
	Total  int64
	Counts Counts
}

// key identifies a group.
type key struct {
	entry  string
	boot   int64
	window int64
}

func (g *Group) key() key { return key{g.Entry, g.Boot, g.Window} }

// whole reports whether all counters of the group are known.
func (g *Group) whole() bool { return g.Counts.Sum() >= g.Total }

// maxCount bounds a counter, so that sums of wrong ones don't overflow: no entry begins as many requests in a window.
const maxCount = 1 << 40

// kept is a group with the sum of its counters that a checkpoint holds.
type kept struct {
	Group
	saved int64
}

// table holds groups by key.
type table map[key]*kept

// get returns the group of a key, which is added if it is missing.
func (t table) get(k key) *kept {
	known, ok := t[k]
	if !ok {
		known = &kept{Group: Group{Entry: k.entry, Boot: k.boot, Window: k.window, Counts: Counts{}}}
		t[k] = known
	}
	return known
}

// merge raises counters to those of a group and returns by how much they grew. The result is the same in any order and with repetitions.
func (t table) merge(g Group) (grown int64) {
	known := t.get(g.key())
	if g.Total <= maxCount {
		known.Total = max(known.Total, g.Total)
	}
	for org, n := range g.Counts {
		if before := known.Counts[org]; n > before && n <= maxCount {
			known.Counts[org] = n
			grown += n - before
		}
	}
	return grown
}

// save notes that a checkpoint holds groups.
func (t table) save(groups []Group) {
	for _, g := range groups {
		if known, ok := t[g.key()]; ok {
			known.saved = max(known.saved, g.Counts.Sum())
		}
	}
}

// sum returns the counts of a window over all entries. It is not nil.
func (t table) sum(window int64) (counts Counts) {
	counts = Counts{}
	for k, g := range t {
		if k.window == window {
			for org, n := range g.Counts {
				counts[org] += n
			}
		}
	}
	return counts
}

// has reports whether there is a group of a window.
func (t table) has(window int64) bool {
	for k := range t {
		if k.window == window {
			return true
		}
	}
	return false
}

// list returns copies of the groups for which a condition holds, in a fixed order.
func (t table) list(holds func(k key) bool) (groups []Group) {
	for k, g := range t {
		if holds(k) {
			c := g.Group
			c.Counts = maps.Clone(g.Counts)
			groups = append(groups, c)
		}
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Boot, b.Boot))
	})
	return groups
}
