package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// Advise returns the entries to which a caller in an availability zone may connect, at most limit. It prefers those of the zone. Of more
// entries than the limit, a caller gets the same ones as long as they serve, and different callers get different ones.
func (m *Model) Advise(now time.Time, caller string, zone ident.Zone, limit int) (advised []Peer) {
	advised = m.Serving(now)
	if len(advised) <= limit {
		return advised
	}
	key := xxhash.Sum64String(string(zone) + " " + caller)
	weights := make(map[string]uint64, len(advised))
	for _, p := range advised {
		weights[p.ID] = route.Weight(key, xxhash.Sum64String(p.ID))
	}
	slices.SortFunc(advised, func(a, b Peer) int {
		return cmp.Or(compareBool(b.Zone == zone, a.Zone == zone), cmp.Compare(weights[b.ID], weights[a.ID]))
	})
	return advised[:limit]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
