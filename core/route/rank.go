package route

import "cicadavalve/core/ident"

// Rank returns the position of one entry in the rendezvous order of entries for a subject, starting at 0. Entries
// with the same list agree on the order without communication.
//
//	delay := route.Rank("10.0.0.1:80", self, alive) * step
func Rank(subject, self string, entries []string) (rank int) {
	key := HashID(ident.UpstreamID(subject))
	own := Weight(key, HashID(ident.UpstreamID(self)))
	for _, id := range entries {
		if id != self && Weight(key, HashID(ident.UpstreamID(id))) > own {
			rank++
		}
	}
	return rank
}

// IsAmong reports whether the rank of one entry is below a bound. It looks at few of the entries if the bound is small.
//
//	if route.IsAmong("10.0.0.1:80", self, alive, 1) { follow() }
func IsAmong(subject, self string, entries []string, bound int) bool {
	if bound <= 0 || bound > len(entries) {
		return bound > 0
	}
	key := HashID(ident.UpstreamID(subject))
	own := Weight(key, HashID(ident.UpstreamID(self)))
	before := 0
	for _, id := range entries {
		if id == self || Weight(key, HashID(ident.UpstreamID(id))) <= own {
			continue
		}
		if before++; before >= bound {
			return false
		}
	}
	return true
}
