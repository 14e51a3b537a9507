package mesh

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// In a large fleet an entry does not send its heartbeats to each other one. The entries of an availability zone are divided into
// cells, of about as many entries as there are cells. A heartbeat goes to one entry of each cell, its relay, which passes it on to the
// other members together with those of other senders. An entry then sends and receives a number of datagrams that grows with the
// square root of the fleet, and one copy of a heartbeat for each cell crosses between zones.

const (
	// maxDirect is the number of other entries up to which each gets every heartbeat directly.
	maxDirect = 15
	// minCell is the smallest intended number of members of a cell.
	minCell = 8
	// relayChoices is how many members of a cell take turns as a sender's relay. While one has failed and does not count as dead yet, the
	// heartbeats in between still arrive within silenceTimeout.
	relayChoices = 3
	// maxUnrelayed is the number of members up to which a cell needs no relay.
	maxUnrelayed = 2
)

// Cell is a part of the entries of an availability zone.
type Cell struct {
	Zone ident.Zone
	// Index is less than Count, the number of cells into which the zone is divided, and at least 0.
	Index, Count int
}

// Valid reports whether the cell is one of its count.
func (c Cell) Valid() (ok bool) { return c.Count > 0 && c.Index >= 0 && c.Index < c.Count }

// has reports whether an entry is a member. All entries agree on that, whatever entries they know.
func (c Cell) has(p Peer) (ok bool) {
	return p.Zone == c.Zone && int(xxhash.Sum64String(p.ID)%uint64(c.Count)) == c.Index
}

// Hop is the way of a heartbeat to a cell.
type Hop struct {
	Relay string
	Cell  Cell
}

// Paths are the ways of a heartbeat to all live entries.
type Paths struct {
	// Direct lists the entries that get it from the sender.
	Direct []string
	// Relayed has a hop for each cell whose members get it from a relay.
	Relayed []Hop
}

// Paths returns the ways of this entry's heartbeat of a number. Entries that don't pass heartbeats on get it directly.
func (m *Model) Paths(now time.Time, number int64) (paths Paths) {
	alive := m.Alive(now)
	direct := len(alive)-1 <= maxDirect
	relaying := map[ident.Zone][]Peer{}
	for _, p := range alive {
		switch {
		case p.ID == m.self.ID:
			relaying[p.Zone] = append(relaying[p.Zone], p)
		case direct || !p.Relays:
			paths.Direct = append(paths.Direct, p.ID)
		default:
			relaying[p.Zone] = append(relaying[p.Zone], p)
		}
	}
	if direct {
		return paths
	}
	size := max(minCell, int(math.Ceil(math.Sqrt(float64(len(alive))))))
	cellsOf := func(zone ident.Zone) int { return (len(relaying[zone]) + size - 1) / size }
	own := Cell{Zone: m.self.Zone, Count: cellsOf(m.self.Zone)}
	own.Index = int(xxhash.Sum64String(m.self.ID) % uint64(own.Count))
	for _, zone := range slices.Sorted(maps.Keys(relaying)) {
		cells := make([][]Peer, cellsOf(zone))
		for _, p := range relaying[zone] {
			if i := xxhash.Sum64String(p.ID) % uint64(len(cells)); p.ID != m.self.ID {
				cells[i] = append(cells[i], p)
			}
		}
		for i, members := range cells {
			cell := Cell{zone, i, len(cells)}
			if relay, ok := chooseRelay(own, cell, members, number); ok {
				paths.Relayed = append(paths.Relayed, Hop{relay, cell})
			} else {
				paths.Direct = append(paths.Direct, IDs(members)...)
			}
		}
	}
	return paths
}

// chooseRelay returns the relay of a cell for a heartbeat; ok is false if its members are to get it directly. Senders of one cell choose
// among the same ones, so that a relay passes on several heartbeats in a datagram.
func chooseRelay(from, to Cell, members []Peer, number int64) (relay string, ok bool) {
	if len(members) <= maxUnrelayed {
		return "", false
	}
	key := xxhash.Sum64String(fmt.Sprint(from, to))
	type candidate struct {
		id     string
		weight uint64
	}
	var candidates []candidate
	for _, p := range members {
		if p.State == Ready {
			candidates = append(candidates, candidate{p.ID, route.Weight(key, xxhash.Sum64String(p.ID))})
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	turns := int64(min(len(candidates), relayChoices))
	return candidates[number%turns].id, true
}

// Members returns the live entries of a cell other than this one to which heartbeats are passed on.
func (m *Model) Members(now time.Time, cell Cell) (members []string) {
	for _, p := range m.Alive(now) {
		if p.ID != m.self.ID && p.Relays && cell.has(p) {
			members = append(members, p.ID)
		}
	}
	return members
}

// NextSilent returns up to a number of entries that have fallen silent without leaving, other ones at each call. After a cut each side
// finds the other again by them.
func (m *Model) NextSilent(now time.Time, limit int) (ids []string) {
	for range m.sorted {
		if len(ids) == limit {
			break
		}
		m.nextSilent = (m.nextSilent + 1) % len(m.sorted)
		if p := m.sorted[m.nextSilent]; p.State != Leaving && now.Sub(p.lastSeen) >= silenceTimeout {
			ids = append(ids, p.ID)
		}
	}
	return ids
}
