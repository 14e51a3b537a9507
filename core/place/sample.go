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

// In a large fleet the entries' words about their load are older than the gaps between requests. Entries that all
// take the upstream that looks best then take the same one, until the next word shows it full. The load pattern is
// an even stream of requests over many entries; it is answered by weighing a few upstreams alone, which differ from
// request to request.

const (
	// freshPace is the age of the others' words up to which all upstreams are weighed: about the shortest gap
	// between two requests to one upstream under full load.
	freshPace = 20 * time.Millisecond
	// callChoices and engineChoices are how many upstreams are weighed at the least. Two choices with old loads are
	// known to balance far better than one or all; engines have a third so that one of them is picked at random.
	callChoices   = 2
	engineChoices = 3
	// mostHolders is how many holders of a part are weighed besides; a part that more have needs no such help.
	mostHolders = 12
)

// sample is the part of a service's upstreams that is weighed for one request.
type sample struct {
	// all tells that every upstream is in it.
	all       bool
	positions []int
	holders   []origin
}

// has tells whether the upstream at a position is in the sample.
func (s *sample) has(position int, u *conf.Upstream) bool {
	return s.all || slices.Contains(s.positions, position) ||
		slices.ContainsFunc(s.holders, func(o origin) bool { return string(o.holder) == u.Address })
}

// sample picks the upstreams to weigh: for a prompt those at which it is at home, so that requests which share it
// meet there whatever entry they come from, those that hold some of it, and always one at random.
func (m *Model) sample(find *finder) (s sample) {
	if m.members.Pace <= freshPace {
		return sample{all: true}
	}
	var open []int
	var hashes []uint64
	position, newest := 0, int64(0)
	m.fleet.Each(find.now, find.need.Service, func(u *conf.Upstream, standing fleet.Standing) {
		if m.open(find.now, u, standing, find.service, find.need) {
			open, hashes = append(open, position), append(hashes, route.HashID(u.ID))
		}
		position, newest = position+1, max(newest, u.Weights[find.need.Model])
	})
	least := callChoices
	if find.service.Engine != nil {
		least = engineChoices
	}
	count := max(least, int(int64(len(open))*int64(freshPace)/int64(m.members.Pace)))
	if count >= len(open) {
		return sample{all: true}
	}
	if last := len(find.shared) - 1; last >= 0 {
		s.positions = homes(parts.NewKey(find.need.Wall, find.shared[last].ID), open, hashes, count-1)
		s.holders = find.holding(newest)
	}
	for len(s.positions) < count {
		if p := open[m.rng.IntN(len(open))]; !slices.Contains(s.positions, p) {
			s.positions = append(s.positions, p)
		}
	}
	return s
}

// homes are the positions that rendezvous hashing ranks first for a key.
func homes(key parts.Key, open []int, hashes []uint64, count int) (first []int) {
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
