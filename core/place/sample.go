package place

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/parts"
	"cicadavalve/core/route"
)

// In a large fleet the interval between load reports is longer than the interval between requests. Entries that all
// choose the best upstream of outdated reports choose the same one until the next reports show it full. Each request
// therefore scores only a small sample of the upstreams, which differs from request to request. The sampling is meant
// for an even stream of requests over many entries.

const (
	// freshLoadAge is the report interval up to which all upstreams are scored: about the shortest interval between
	// two requests to one upstream under full load.
	freshLoadAge = 20 * time.Millisecond
	// callChoices and engineChoices are the minimum sample sizes. With outdated loads, two choices are known to
	// balance far better than one or all; for engines a third is added so that one of them is chosen at random.
	callChoices   = 2
	engineChoices = 3
	// maxHolders is the maximum number of holders of a part that are added to the sample. If more have it, a random
	// sample is likely to include some, and none are added.
	maxHolders = 12
)

// sample is the subset of a service's upstreams that is scored for one request.
type sample struct {
	// all is set if the sample includes every upstream.
	all       bool
	positions []int
	holders   []origin
}

// has reports whether the upstream at a position of the fleet is in the sample.
func (s *sample) has(position int, u *conf.Upstream) bool {
	return s.all || slices.Contains(s.positions, position) ||
		slices.ContainsFunc(s.holders, func(o origin) bool { return string(o.holder) == u.Address })
}

// sample chooses the upstreams to score. For a prompt it includes those that rendezvous hashing ranks first, so that
// requests with the same prompt meet there from any entry, and the holders of its last cached part. At least one
// upstream is chosen at random. Those that the gate does not admit are included only as holders.
func (m *Model) sample(find *finder, g gate) (s sample) {
	if m.members.ReportInterval <= freshLoadAge {
		return sample{all: true}
	}
	var open []int
	var hashes []uint64
	position, newest := 0, int64(0)
	m.fleet.Each(find.now, find.need.Service, func(u *conf.Upstream, status fleet.Status) {
		if m.admits(g, u) && m.open(find.now, u, status, find.service, find.need) && m.tokens(find.now, u.ID, m.quota(u, status.Cold, status.Limit)) >= 1 {
			open, hashes = append(open, position), append(hashes, route.HashID(u.ID))
		}
		position, newest = position+1, max(newest, u.Weights[find.need.Model])
	})
	minimum := callChoices
	if find.service.Engine != nil {
		minimum = engineChoices
	}
	count := max(minimum, int(int64(len(open))*int64(freshLoadAge)/int64(m.members.ReportInterval)))
	if count >= len(open) {
		return sample{all: true}
	}
	if last := len(find.shared) - 1; last >= 0 {
		s.positions = topRanked(parts.NewKey(m.set.CacheScope(find.need.Org), find.shared[last].ID), open, hashes, count-1)
		s.holders = find.deepestHolders(newest)
	}
	for len(s.positions) < count {
		if p := open[m.rng.IntN(len(open))]; !slices.Contains(s.positions, p) {
			s.positions = append(s.positions, p)
		}
	}
	return s
}

// topRanked returns the positions that rendezvous hashing ranks first for a key, at most count.
func topRanked(key parts.Key, open []int, hashes []uint64, count int) (first []int) {
	type home struct {
		position int
		weight   uint64
	}
	var best []home
	for i, h := range hashes {
		weight := route.Weight(uint64(key), h)
		if len(best) == count && weight <= best[count-1].weight {
			continue
		}
		best = append(best, home{open[i], weight})
		slices.SortFunc(best, func(a, b home) int { return cmp.Compare(b.weight, a.weight) })
		best = best[:min(len(best), count)]
	}
	for _, h := range best {
		first = append(first, h.position)
	}
	return first
}
