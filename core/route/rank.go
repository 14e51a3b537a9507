package route

import "cicadavalve/core/ident"

// Rank returns the position of one entry in the rendezvous order of entries for a subject, starting at 0. Entries
// with the same list agree on the order without communication.
//
//	if route.Rank("10.0.0.1:80", self, alive) == 0 { follow() }
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
