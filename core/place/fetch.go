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
)

const (
	// farFactor is how much longer a transfer takes between availability zones.
	farFactor = 2
	// mostFetch is the longest transfer that is worth waiting for.
	mostFetch = 400 * time.Millisecond
	// slowerStep and fasterStep change what is thought of a link with each late and each timely transfer.
	slowerStep = 1.25
	fasterStep = 0.85
	// lateTransfer is how late a first byte must be, besides the length of the transfer, to blame the link.
	lateTransfer = 40 * time.Millisecond
	// mostLinkSlow bounds how slow a link is taken to be.
	mostLinkSlow = 8
	// fetchFactor is how much longer than reading a transfer may take: reading holds up all requests of an engine.
	fetchFactor = 2
	// leastFetch is a transfer time that is always worth it.
	leastFetch  = 5 * time.Millisecond
	bitsPerByte = 8
)

// link is what is known of a link that parts come over.
type link struct {
	// slow is how much longer than computed transfers take.
	slow float64
	at   time.Time
	// busyUntil is when the transfers that this entry has asked for end, peers when those of others do.
	busyUntil time.Time
	peers     map[string]time.Time
}

func (m *Model) link(holder parts.Holder) *link {
	l, ok := m.links[holder]
	if !ok {
		l = &link{slow: 1, peers: map[string]time.Time{}}
		m.links[holder] = l
	}
	return l
}

func (l *link) begin(now time.Time, took time.Duration) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(took)
}

// learn takes in by how much a first byte came later than expected. One late byte may be the engine's
// doing, so a link is blamed step by step.
func (l *link) learn(now time.Time, late, expected time.Duration) {
	if late > expected+lateTransfer {
		l.slow = min(l.slow*slowerStep, mostLinkSlow)
	} else {
		l.slow = max(l.slow*fasterStep, 1)
	}
	l.at = now
}

// time is how long a transfer takes from now.
func (l *link) time(now time.Time, transfer time.Duration) time.Duration {
	slow := l.slow
	if idle := now.Sub(l.at); idle > fadeAfter {
		slow = 1 + (slow-1)/(1+float64(idle-fadeAfter)/float64(fadeTime))
	}
	wait := max(0, l.busyUntil.Sub(now))
	for peer, until := range l.peers {
		if !until.After(now) {
			delete(l.peers, peer)
			continue
		}
		wait += until.Sub(now)
	}
	return time.Duration(float64(transfer)*slow) + wait
}

// Transfers lists the transfers that this entry has asked for.
func (m *Model) Transfers(now time.Time) (transfers []Transfer) {
	for holder, l := range m.links {
		if left := l.busyUntil.Sub(now); left > 0 {
			transfers = append(transfers, Transfer{holder, left})
		}
	}
	return transfers
}

// transfer is the time of so many tokens over a link.
func transfer(tokens, tokenSize int, bitsPerSecond float64) time.Duration {
	if bitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * float64(tokenSize) * bitsPerByte / bitsPerSecond * float64(time.Second))
}

// origin is a holder that a part could come from.
type origin struct {
	holder parts.Holder
	zone   ident.Zone
	// near is the time of the transfer within the zone, delay what precedes it.
	near, delay time.Duration
	// store tells that the holder drops nothing by itself.
	store bool
}

// prompt is one prompt on one version of the weights.
type prompt struct {
	salt string
	// keys and origins hold the key and the origins of each shared part.
	keys    []parts.Key
	origins [][]origin
	// near holds the best origins of a part for a zone once they were asked for.
	near map[target][]choice
	// reading holds whether some upstream is reading a part, for those that were asked about.
	reading map[parts.Key]bool
}

// target is where a part of a prompt is to go.
type target struct {
	part int
	zone ident.Zone
}

// choice is an origin and how long a part takes from there.
type choice struct {
	origin
	took time.Duration
}

// finder finds where the parts of one prompt could come from. It looks once for each version of the weights.
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

// prompt looks for the parts of the prompt on one version of the weights.
func (f *finder) prompt(version int64) *prompt {
	if p, ok := f.versions[version]; ok {
		return p
	}
	p := &prompt{salt: Salt(f.need.Wall, f.need.Model, version), origins: make([][]origin, len(f.shared)), near: map[target][]choice{}, reading: map[parts.Key]bool{}}
	p.keys = parts.Keys(p.salt, f.shared)
	f.versions[version] = p
	for i, part := range f.shared {
		p.origins[i] = f.holders(version, p.keys[i], part.Tokens)
	}
	return p
}

func (f *finder) holders(version int64, key parts.Key, tokens int) (found []origin) {
	engine := f.service.Engine
	for i := range f.m.set.Services() {
		s := f.m.set.Services()[i].Store
		if s == nil || !f.m.index.Readable(f.now, parts.Holder(s.Address), key, tokens) {
			continue
		}
		near := transfer(tokens, engine.TokenSize, min(s.Link, engine.Link))
		found = append(found, origin{parts.Holder(s.Address), s.Zone, near, s.Delay, true})
	}
	f.m.fleet.Each(f.now, f.need.Service, func(u *conf.Upstream, standing fleet.Standing) {
		if standing.Usable && u.Weights[f.need.Model] == version && f.m.index.Has(parts.Holder(u.Address), key, tokens) {
			found = append(found, origin{parts.Holder(u.Address), u.Zone, transfer(tokens, engine.TokenSize, engine.Link), 0, false})
		}
	})
	return found
}

// holding lists the engines that hold the deepest part of the prompt which some of them hold, none if many do.
func (f *finder) holding(version int64) (holders []origin) {
	origins := f.prompt(version).origins
	for i := len(origins) - 1; i >= 0; i-- {
		if len(origins[i]) > 0 {
			if len(origins[i]) > mostHolders {
				return nil
			}
			return origins[i]
		}
	}
	return nil
}

// fill finds what an engine has of the prompt, and what of the rest is fetched, as long as that is no slower than
// it is worth.
func (f *finder) fill(o *option) {
	p := f.prompt(o.version)
	o.salt, o.keys = p.salt, p.keys
	own := f.m.index.View(f.now, parts.Holder(o.upstream.Address))
	o.kept = own.Kept(p.keys, f.shared)
	f.walk(o, own, func(i int, best choice) {
		o.fetched += f.shared[i].Tokens - own.Part(p.keys[i])
		if best.took > o.fetchTime {
			o.fetchTime, o.source = best.took, best.holder
		}
	})
}

// detail names the origin of each part that an option fetches. It also names a store for the parts that the engine
// is believed to have: nothing moves if it has them, and if it has dropped one, what was fetched of the parts after
// it would be of no use.
func (f *finder) detail(o *option) {
	o.again = 0
	fetch, named := make([]conf.Source, len(f.need.Chain)), false
	own := f.m.index.View(f.now, parts.Holder(o.upstream.Address))
	f.walk(o, own, func(i int, best choice) {
		fetch[i], named = conf.Source{Address: string(best.holder), Tokens: f.shared[i].Tokens}, true
		o.transfers = append(o.transfers, Transfer{best.holder, best.near})
	})
	p := f.prompt(o.version)
	for i, part := range f.shared {
		if !own.Soon(p.keys[i], part.Tokens) {
			continue
		}
		for _, x := range p.origins[i] {
			if x.store {
				fetch[i], named = conf.Source{Address: string(x.holder), Tokens: part.Tokens}, true
				break
			}
		}
	}
	if named {
		o.fetch = fetch
	}
}

// walk hands each part that is worth fetching to a function, and counts what is read though some holder has it.
func (f *finder) walk(o *option, own parts.View, take func(i int, best choice)) {
	p := f.prompt(o.version)
	missing := false
	perToken := f.m.speed(f.need.Service).perToken
	for i, part := range f.shared {
		if own.Soon(p.keys[i], part.Tokens) {
			continue
		}
		best, ok := f.nearest(p, i, parts.Holder(o.upstream.Address), o.upstream.Zone)
		if !ok {
			missing = true
			if f.read(o.version, p, i) {
				o.again += part.Tokens
			}
			continue
		}
		read := time.Duration(perToken * float64(part.Tokens))
		if missing || best.took > mostFetch || best.took > fetchFactor*read+leastFetch {
			missing = true
			o.again += part.Tokens
			continue
		}
		take(i, best)
	}
}

// read tells whether some upstream is reading a part.
func (f *finder) read(version int64, p *prompt, i int) (reading bool) {
	key := p.keys[i]
	if known, ok := p.reading[key]; ok {
		return known
	}
	f.m.fleet.Each(f.now, f.need.Service, func(u *conf.Upstream, _ fleet.Standing) {
		reading = reading || u.Weights[f.need.Model] == version && f.m.index.View(f.now, parts.Holder(u.Address)).Soon(key, f.shared[i].Tokens)
	})
	p.reading[key] = reading
	return reading
}

// nearest is the origin from which a part comes soonest to an upstream in a zone; the upstream itself is none.
func (f *finder) nearest(p *prompt, i int, own parts.Holder, zone ident.Zone) (best choice, ok bool) {
	key := target{i, zone}
	two, known := p.near[key]
	if !known {
		two = f.two(p.origins[i], zone)
		p.near[key] = two
	}
	for _, c := range two {
		if c.holder != own {
			return c, true
		}
	}
	return choice{}, false
}

// two lists the two origins from which a part comes soonest to a zone, the better one first.
func (f *finder) two(origins []origin, zone ident.Zone) (best []choice) {
	for _, x := range origins {
		t := x.near
		if x.zone != zone {
			t *= farFactor
		}
		best = append(best, choice{x, f.m.link(x.holder).time(f.now, t+x.delay)})
		slices.SortFunc(best, func(a, b choice) int {
			return cmp.Or(cmp.Compare(a.took, b.took), cmp.Compare(a.holder, b.holder))
		})
		best = best[:min(len(best), 2)]
	}
	return best
}

// saves chooses the store for each shared part that no store has.
func (m *Model) saves(now time.Time, need *Need, o *option) (save []conf.Source, cmds []ident.Cmd) {
	shared := need.Shared()
	saved := false
	save = make([]conf.Source, len(need.Chain))
	for i, p := range shared {
		key := o.keys[i]
		home, ok := m.home(now, key, p.Tokens)
		if !ok {
			continue
		}
		msg := parts.SaveMsg{Store: parts.Holder(home.Address), Key: key, Tokens: p.Tokens}
		m.index.Update(now, msg)
		save[i], saved = conf.Source{Address: string(msg.Store), Tokens: p.Tokens}, true
		cmds = append(cmds, SavedCmd{msg})
	}
	if !saved {
		return nil, nil
	}
	return save, cmds
}

// home is the store that a part goes to: by rendezvous over the stores' rooms, so that entries agree.
// There is none if a store has the part or is about to.
func (m *Model) home(now time.Time, key parts.Key, tokens int) (home *conf.Store, ok bool) {
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
		choices = append(choices, weighted{s, float64(s.Room) / -ln(h)})
	}
	slices.SortFunc(choices, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	for _, c := range choices {
		if m.index.Saving(now, parts.Holder(c.store.Address), key) {
			return nil, false
		}
		if m.index.Writable(now, parts.Holder(c.store.Address), key, tokens, c.store.Room) {
			return c.store, true
		}
	}
	return nil, false
}

// ln is the natural logarithm of a hash in (0, 1), kept away from both ends.
func ln(h float64) float64 { return math.Log(min(max(h, 1e-12), 1-1e-12)) }

// reads notes the parts that the upstream is about to read or to fetch.
func (m *Model) reads(now time.Time, need *Need, o *option) (cmds []ident.Cmd) {
	own := m.index.View(now, parts.Holder(o.upstream.Address))
	for i, p := range need.Shared() {
		msg := parts.ReadingMsg{Holder: parts.Holder(o.upstream.Address), Key: o.keys[i], Tokens: p.Tokens}
		if own.Soon(msg.Key, msg.Tokens) {
			continue
		}
		m.index.Update(now, msg)
		cmds = append(cmds, ReadingCmd{msg})
	}
	return cmds
}
