package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/route"
	"cicadavalve/core/times"
)

const (
	// crossZoneFactor is how much longer a transfer takes between availability zones than within one.
	crossZoneFactor = 2
	// maxFetch is the longest fetch that a request waits for.
	maxFetch = 400 * time.Millisecond
	// slowdownStep and recoveryStep multiply a link's slowdown at most after a late transfer and after one that was faster than expected,
	// by less than fasterShare of that time.
	slowdownStep = 1.5
	recoveryStep = 0.85
	fasterShare  = 0.9
	// lateMargin is how late a first byte must be to count against the link.
	lateMargin = 40 * time.Millisecond
	// maxLinkSlowdown bounds the slowdown estimated for a link.
	maxLinkSlowdown = 8
	// fetchFactor is how much longer than the prefill a fetch may take: a prefill holds up all requests of an engine.
	fetchFactor = 2
	// fetchAllowance is added to the fetch delay allowed for a part, so that short fetches are always accepted.
	fetchAllowance = 5 * time.Millisecond
	bitsPerByte    = 8
)

const (
	// fetchShare is the fraction of its objective that a request waits for its fetches at least.
	fetchShare = 0.5
	// spareShare is the fraction of the objective up to which a fetch may take longer than the prefill.
	spareShare = 0.25
	// expectedFactor is how many times the expected time to the first byte it waits for them at least.
	expectedFactor = 3
)

// fetchBound returns how long a request waits for its fetches. A link that is much slower than estimated must not hold it up for longer than
// prefilling takes.
func fetchBound(need *Need, expected time.Duration) time.Duration {
	return max(times.Duration(fetchShare*float64(need.Objective)), expectedFactor*expected)
}

// fetchLimit returns how long the fetch of a part may take in place of its prefill: longer than that, since a prefill holds up all requests of an
// engine, but only while that leaves the request most of its objective.
func fetchLimit(need *Need, prefill time.Duration) time.Duration {
	spare := times.Duration(spareShare * float64(need.Objective))
	return min(fetchFactor*prefill, max(prefill, spare)) + fetchAllowance
}

// link holds the estimates for the link of a holder, over which parts are fetched.
type link struct {
	// slowdown is the ratio of actual to computed transfer durations.
	slowdown   float64
	observedAt time.Time
	// busyUntil is when the transfers started by this entry end, peersUntil when those of each other entry end.
	busyUntil  time.Time
	peersUntil map[string]time.Time
}

func (m *Model) link(holder parts.Holder) *link {
	l, ok := m.links[holder]
	if !ok {
		l = &link{slowdown: 1, peersUntil: map[string]time.Time{}}
		m.links[holder] = l
	}
	return l
}

// reserve queues a transfer behind those that this entry has under way.
func (l *link) reserve(now time.Time, took time.Duration) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(took)
}

// observe adjusts the slowdown by how much later than expected a first byte came. The engine may have caused a delay, so one up to
// lateMargin counts for nothing and the estimate changes in steps. It falls only if the transfer was clearly faster than expected: one that
// took the expected time confirms it.
func (l *link) observe(now time.Time, late, expected time.Duration) {
	switch over := late + expected - lateMargin; {
	case over > expected && expected > 0:
		l.slowdown = min(l.slowdown*min(float64(over)/float64(expected), slowdownStep), maxLinkSlowdown)
	case float64(late+expected) < fasterShare*float64(expected):
		l.slowdown = max(l.slowdown*recoveryStep, 1)
	}
	l.observedAt = now
}

// fetchDelay returns how long it takes from now until a transfer ends that takes the given time on an idle link.
func (l *link) fetchDelay(now time.Time, transfer time.Duration) time.Duration {
	wait := max(0, l.busyUntil.Sub(now))
	for peer, until := range l.peersUntil {
		if !until.After(now) {
			delete(l.peersUntil, peer)
			continue
		}
		wait += until.Sub(now)
	}
	return times.Duration(float64(transfer)*l.currentSlowdown(now)) + wait
}

// currentSlowdown returns the slowdown, closer to none the longer ago it was observed.
func (l *link) currentSlowdown(now time.Time) (slowdown float64) {
	if idle := now.Sub(l.observedAt); idle > decayDelay {
		return 1 + (l.slowdown-1)/(1+float64(idle-decayDelay)/float64(decayHalfLife))
	}
	return l.slowdown
}

// Transfers lists the holders from which this entry fetches parts, with the remaining time.
func (m *Model) Transfers(now time.Time) (transfers []Transfer) {
	for holder, l := range m.links {
		if left := l.busyUntil.Sub(now); left > 0 {
			transfers = append(transfers, Transfer{holder, left})
		}
	}
	return transfers
}

// transferDuration returns how long a number of tokens take over a link, 0 if its bandwidth is unknown. tokenSize is
// in bytes.
func transferDuration(tokens, tokenSize int, bitsPerSecond float64) time.Duration {
	if bitsPerSecond <= 0 {
		return 0
	}
	return times.Duration(float64(tokens) * float64(tokenSize) * bitsPerByte / bitsPerSecond * float64(time.Second))
}

// origin is a holder from which a part can be fetched.
type origin struct {
	holder parts.Holder
	zone   ident.Zone
	// near is the duration of the transfer within the holder's zone, delay the fixed delay before it starts.
	near, delay time.Duration
	// store is set for a store, which never evicts parts by itself.
	store bool
}

// prompt holds the look-ups for one prompt on one version of the weights.
type prompt struct {
	salt string
	// keys and origins hold the key and the origins of each shared part.
	keys    []parts.Key
	origins [][]origin
	// nearest caches the fastest origins by part and zone.
	nearest map[destination][]choice
	// prefilling caches whether some upstream has a part or is prefilling it.
	prefilling map[parts.Key]bool
}

// destination is a part of a prompt and the zone it is fetched to.
type destination struct {
	part int
	zone ident.Zone
}

// choice is an origin and the delay of a fetch from there.
type choice struct {
	origin
	fetchDelay time.Duration
}

// finder finds the holders from which the parts of one prompt can be fetched. It caches the result for each version
// of the weights.
type finder struct {
	m       *Model
	now     time.Time
	need    *Need
	service *conf.Service
	shared  []conf.Part
	// tokens is the length of the prompt.
	tokens   int
	versions map[int64]*prompt
}

func newFinder(m *Model, now time.Time, need *Need, service *conf.Service) *finder {
	return &finder{m: m, now: now, need: need, service: service, shared: need.Shared(), tokens: need.Tokens(), versions: map[int64]*prompt{}}
}

// prompt returns the look-ups for one version of the weights.
func (f *finder) prompt(version int64) *prompt {
	if p, ok := f.versions[version]; ok {
		return p
	}
	p := &prompt{salt: Salt(f.m.set.CacheScope(f.need.Org), f.need.Model, version), origins: make([][]origin, len(f.shared)), nearest: map[destination][]choice{}, prefilling: map[parts.Key]bool{}}
	p.keys = parts.Keys(p.salt, f.shared)
	f.versions[version] = p
	for i, part := range f.shared {
		p.origins[i] = f.origins(version, p.keys[i], part.Tokens)
	}
	return p
}

// origins lists the stores and engines that have a part.
func (f *finder) origins(version int64, key parts.Key, tokens int) (found []origin) {
	engine := f.service.Engine
	for i := range f.m.set.Services() {
		s := f.m.set.Services()[i].Store
		if s == nil || parts.Holder(s.Address) == f.need.slowSource || !f.m.index.Readable(f.now, parts.Holder(s.Address), key, tokens) {
			continue
		}
		near := transferDuration(tokens, engine.TokenSize, min(s.Link, engine.Link))
		found = append(found, origin{parts.Holder(s.Address), s.Zone, near, s.Delay, true})
	}
	f.m.fleet.Each(f.now, f.need.Service, func(u *conf.Upstream, status fleet.Status) {
		if status.Usable && parts.Holder(u.Address) != f.need.slowSource && u.Weights[f.need.Model] == version && f.m.index.Has(parts.Holder(u.Address), key, tokens) {
			found = append(found, origin{parts.Holder(u.Address), u.Zone, transferDuration(tokens, engine.TokenSize, engine.Link), 0, false})
		}
	})
	return found
}

// deepestHolders lists the holders of the last part of the prompt that any has, none if there are more than maxHolders.
func (f *finder) deepestHolders(version int64) (holders []origin) {
	origins := f.prompt(version).origins
	for i := len(origins) - 1; i >= 0; i-- {
		if len(origins[i]) > 0 {
			if len(origins[i]) > maxHolders {
				return nil
			}
			return origins[i]
		}
	}
	return nil
}

// planFetch counts the tokens of the prompt that the option's engine has and those that it would fetch, and sets the
// delay of the slowest fetch.
func (f *finder) planFetch(o *option) {
	p := f.prompt(o.version)
	o.salt, o.keys = p.salt, p.keys
	own := f.m.index.View(f.now, parts.Holder(o.upstream.Address))
	o.cached = own.CachedPrefix(p.keys, f.shared)
	f.eachFetch(o, own, func(i int, best choice) {
		o.fetched += f.shared[i].Tokens - own.Cached(p.keys[i])
		if best.fetchDelay > o.fetchDelay {
			o.fetchDelay, o.source = best.fetchDelay, best.holder
		}
		if best.zone != o.upstream.Zone {
			o.fetchZone = best.zone
			o.crossed += f.shared[i].Tokens - own.Cached(p.keys[i])
		}
	})
}

// nameSources sets the source of each part that the option fetches. It also names a store for the parts that the
// engine should have: nothing is transferred if it has them, and without the store an evicted part would make the
// fetched parts after it useless.
func (f *finder) nameSources(o *option) {
	o.recomputed = 0
	fetch, named := make([]conf.Source, len(f.need.Chain)), false
	own := f.m.index.View(f.now, parts.Holder(o.upstream.Address))
	f.eachFetch(o, own, func(i int, best choice) {
		fetch[i], named = conf.Source{Address: string(best.holder), Tokens: f.shared[i].Tokens}, true
		o.transfers = append(o.transfers, Transfer{best.holder, best.near})
	})
	p := f.prompt(o.version)
	for i, part := range f.shared {
		if !own.HasOrPrefills(p.keys[i], part.Tokens) {
			continue
		}
		for _, from := range p.origins[i] {
			if from.store {
				fetch[i], named = conf.Source{Address: string(from.holder), Tokens: part.Tokens}, true
				break
			}
		}
	}
	if named {
		o.fetch = fetch
	}
}

// eachFetch calls visit for each part that is worth fetching, and adds to o.recomputed the tokens that are
// prefilled although another holder has or prefills them.
func (f *finder) eachFetch(o *option, own parts.View, visit func(i int, best choice)) {
	p := f.prompt(o.version)
	missing := false
	perToken := f.m.serviceStats(f.need.Service).perToken
	for i, part := range f.shared {
		if own.HasOrPrefills(p.keys[i], part.Tokens) {
			continue
		}
		best, ok := f.nearest(p, i, parts.Holder(o.upstream.Address), o.upstream.Zone)
		if !ok || o.nearOnly && best.zone != o.upstream.Zone {
			missing = true
			if f.isPrefilling(o.version, p, i) {
				o.recomputed += part.Tokens
			}
			continue
		}
		prefill := times.Duration(perToken * float64(part.Tokens))
		if missing || best.fetchDelay > maxFetch || best.fetchDelay > fetchLimit(f.need, prefill) {
			missing = true
			o.recomputed += part.Tokens
			continue
		}
		visit(i, best)
	}
}

// isPrefilling reports whether some upstream has a part or is prefilling it.
func (f *finder) isPrefilling(version int64, p *prompt, i int) (prefilling bool) {
	key := p.keys[i]
	if known, ok := p.prefilling[key]; ok {
		return known
	}
	f.m.fleet.Each(f.now, f.need.Service, func(u *conf.Upstream, _ fleet.Status) {
		prefilling = prefilling || u.Weights[f.need.Model] == version && f.m.index.View(f.now, parts.Holder(u.Address)).HasOrPrefills(key, f.shared[i].Tokens)
	})
	p.prefilling[key] = prefilling
	return prefilling
}

// nearest returns the fastest origin of a part for the upstream own in a zone, other than that upstream itself.
func (f *finder) nearest(p *prompt, i int, own parts.Holder, zone ident.Zone) (best choice, ok bool) {
	key := destination{i, zone}
	candidates, known := p.nearest[key]
	if !known {
		candidates = f.nearestTwo(p.origins[i], zone)
		p.nearest[key] = candidates
	}
	for _, c := range candidates {
		if c.holder != own {
			return c, true
		}
	}
	return choice{}, false
}

// nearestTwo returns the two origins with the shortest fetch delay to a zone, the faster one first.
func (f *finder) nearestTwo(origins []origin, zone ident.Zone) (best []choice) {
	for _, from := range origins {
		duration := from.near
		if from.zone != zone {
			duration *= crossZoneFactor
		}
		best = append(best, choice{from, f.m.link(from.holder).fetchDelay(f.now, duration+from.delay)})
		slices.SortFunc(best, func(a, b choice) int {
			return cmp.Or(cmp.Compare(a.fetchDelay, b.fetchDelay), cmp.Compare(a.holder, b.holder))
		})
		best = best[:min(len(best), 2)]
	}
	return best
}

// planSaves chooses a store for each shared part that no store has or is about to have. It returns the targets by
// part of the chain, nil if there are none, and the commands that announce them.
func (m *Model) planSaves(now time.Time, need *Need, o *option) (save []conf.Source, cmds []ident.Cmd) {
	shared := need.Shared()
	saved := false
	save = make([]conf.Source, len(need.Chain))
	for i, p := range shared {
		key := o.keys[i]
		picked, ok := m.pickStore(now, key, p.Tokens)
		if !ok {
			continue
		}
		msg := parts.SaveMsg{Store: parts.Holder(picked.Address), Key: key, Tokens: p.Tokens}
		m.index.Update(now, msg)
		save[i], saved = conf.Source{Address: string(msg.Store), Tokens: p.Tokens}, true
		cmds = append(cmds, SavingCmd{msg})
	}
	if !saved {
		return nil, nil
	}
	return save, cmds
}

// pickStore returns the store that a part is saved to. It ranks the stores by rendezvous hashing weighted by capacity,
// so that all entries choose the same one. ok is false if a store has the part, a store that ranks higher is
// receiving it, or none can take it.
func (m *Model) pickStore(now time.Time, key parts.Key, tokens int) (picked *conf.Store, ok bool) {
	type weighted struct {
		store  *conf.Store
		weight float64
	}
	var choices []weighted
	for i := range m.set.Services() {
		s := m.set.Services()[i].Store
		if s == nil {
			continue
		}
		holder := parts.Holder(s.Address)
		if m.index.Has(holder, key, tokens) {
			return nil, false
		}
		h := float64(route.Weight(uint64(key), route.HashID(ident.UpstreamID(s.Address)))>>11) / (1 << 53)
		choices = append(choices, weighted{s, float64(s.Capacity) / -ln(h)})
	}
	slices.SortFunc(choices, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	for _, c := range choices {
		if m.index.Saving(now, parts.Holder(c.store.Address), key) {
			return nil, false
		}
		if m.index.Writable(now, parts.Holder(c.store.Address), key, tokens, c.store.Capacity) {
			return c.store, true
		}
	}
	return nil, false
}

// ln returns the natural logarithm of a hash in (0, 1), clamped to stay finite and below 0.
func ln(h float64) float64 { return math.Log(min(max(h, 1e-12), 1-1e-12)) }

// announcePrefills records the parts that the upstream is about to prefill or fetch, and returns the commands that
// announce them.
func (m *Model) announcePrefills(now time.Time, need *Need, o *option) (cmds []ident.Cmd) {
	own := m.index.View(now, parts.Holder(o.upstream.Address))
	for i, p := range need.Shared() {
		msg := parts.PrefillingMsg{Holder: parts.Holder(o.upstream.Address), Key: o.keys[i], Tokens: p.Tokens}
		if own.HasOrPrefills(msg.Key, msg.Tokens) {
			continue
		}
		m.index.Update(now, msg)
		cmds = append(cmds, PrefillingCmd{msg})
	}
	return cmds
}
