package place

import (
	"math"
	"slices"
	"time"

	"cicadavalve/core/conf"
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
}

// finder finds where the parts of one prompt could come from. It looks once for each version of the weights.
type finder struct {
	m       *Model
	now     time.Time
	need    *Need
	service *conf.Service
	salts   map[int64]string
	// origins holds the origins of each shared part by version.
	origins map[int64][][]origin
	// reading tells of each part without an origin whether some upstream is reading it.
	reading map[parts.Key]bool
}

func (f *finder) salt(version int64) string {
	if f.salts == nil {
		f.salts, f.origins, f.reading = map[int64]string{}, map[int64][][]origin{}, map[parts.Key]bool{}
	}
	salt, ok := f.salts[version]
	if !ok {
		salt = Salt(f.need.Wall, f.need.Model, version)
		f.salts[version] = salt
	}
	return salt
}

// look lists the origins of every shared part.
func (f *finder) look(version int64) [][]origin {
	if found, ok := f.origins[version]; ok {
		return found
	}
	shared := f.need.Shared()
	found := make([][]origin, len(shared))
	for i, p := range shared {
		found[i] = f.holders(version, parts.NewKey(f.salt(version), p.ID), p.Tokens)
	}
	f.origins[version] = found
	return found
}

func (f *finder) holders(version int64, key parts.Key, tokens int) (found []origin) {
	engine := f.service.Engine
	for i := range f.m.set.Services() {
		s := f.m.set.Services()[i].Store
		if s == nil || !f.m.index.Readable(f.now, parts.Holder(s.Address), key, tokens) {
			continue
		}
		near := transfer(tokens, engine.TokenSize, min(s.Link, engine.Link))
		found = append(found, origin{parts.Holder(s.Address), s.Zone, near, s.Delay})
	}
	f.m.fleet.Each(f.need.Service, func(u *conf.Upstream) {
		if u.Weights[f.need.Model] == version && f.m.index.Has(parts.Holder(u.Address), key, tokens) && f.m.fleet.Usable(f.now, u.ID) {
			found = append(found, origin{parts.Holder(u.Address), u.Zone, transfer(tokens, engine.TokenSize, engine.Link), 0})
		}
	})
	return found
}

// fill finds where the parts that an engine lacks come from, as long as fetching is no slower than it is worth.
func (f *finder) fill(o *option) {
	shared := f.need.Shared()
	own := parts.Holder(o.upstream.Address)
	missing := false
	perToken := f.m.speed(f.need.Service).perToken
	for i, p := range shared {
		if f.m.index.Soon(f.now, own, parts.NewKey(o.salt, p.ID), p.Tokens) {
			continue
		}
		best, took, ok := f.nearest(f.look(o.version)[i], own, o.upstream.Zone)
		if !ok {
			missing = true
			if f.read(o.version, p) {
				o.again += p.Tokens
			}
			continue
		}
		read := time.Duration(perToken * float64(p.Tokens))
		if missing || took > mostFetch || took > fetchFactor*read+leastFetch {
			missing = true
			o.again += p.Tokens
			continue
		}
		if o.fetch == nil {
			o.fetch = make([]conf.Source, len(f.need.Chain))
		}
		o.fetch[i] = conf.Source{Address: string(best.holder), Tokens: p.Tokens}
		o.fetched += p.Tokens - f.m.index.Part(own, parts.NewKey(o.salt, p.ID))
		o.transfers = append(o.transfers, Transfer{best.holder, best.near})
		if took > o.fetchTime {
			o.fetchTime, o.source = took, best.holder
		}
	}
}

// read tells whether some upstream is reading a part.
func (f *finder) read(version int64, p conf.Part) (reading bool) {
	key := parts.NewKey(f.salt(version), p.ID)
	if known, ok := f.reading[key]; ok {
		return known
	}
	f.m.fleet.Each(f.need.Service, func(u *conf.Upstream) {
		reading = reading || u.Weights[f.need.Model] == version && f.m.index.Soon(f.now, parts.Holder(u.Address), key, p.Tokens)
	})
	f.reading[key] = reading
	return reading
}

func (f *finder) nearest(origins []origin, own parts.Holder, zone ident.Zone) (best origin, took time.Duration, ok bool) {
	for _, x := range origins {
		if x.holder == own {
			continue
		}
		t := x.near
		if x.zone != zone {
			t *= farFactor
		}
		t = f.m.link(x.holder).time(f.now, t+x.delay)
		if !ok || t < took || t == took && x.holder < best.holder {
			best, took, ok = x, t, true
		}
	}
	return best, took, ok
}

// saves chooses the store for each shared part that no store has.
func (m *Model) saves(now time.Time, need *Need, o *option) (save []conf.Source, cmds []ident.Cmd) {
	shared := need.Shared()
	saved := false
	save = make([]conf.Source, len(need.Chain))
	for i, p := range shared {
		key := parts.NewKey(o.salt, p.ID)
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
	type choice struct {
		store  *conf.Store
		weight float64
	}
	var choices []choice
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
		choices = append(choices, choice{s, float64(s.Room) / -ln(h)})
	}
	slices.SortFunc(choices, func(a, b choice) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return 0
	})
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
	for _, p := range need.Shared() {
		msg := parts.ReadingMsg{Holder: parts.Holder(o.upstream.Address), Key: parts.NewKey(o.salt, p.ID), Tokens: p.Tokens}
		if m.index.Soon(now, msg.Holder, msg.Key, msg.Tokens) {
			continue
		}
		m.index.Update(now, msg)
		cmds = append(cmds, ReadingCmd{msg})
	}
	return cmds
}
