package route

import "cicadavalve/core/ident"

// Rank is the place of one entry in the line of entries for a matter, 0 the first: by rendezvous hash, so that
// entries agree on the line without talking.
//
//	if route.Rank("10.0.0.1:80", self, alive) == 0 { follow() }
func Rank(matter, self string, entries []string) (rank int) {
	key := HashID(ident.UpstreamID(matter))
	own := Weight(key, HashID(ident.UpstreamID(self)))
	for _, id := range entries {
		if id != self && Weight(key, HashID(ident.UpstreamID(id))) > own {
			rank++
		}
	}
	return rank
}
