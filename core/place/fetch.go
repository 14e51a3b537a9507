package place

import (
	"math"
	"slices"
	"strconv"
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
	// leastShared is the shortest part worth a transfer of its own, in tokens.
	leastShared = 64
)

// link is what is known of a link that parts come over.
type link struct {
	// slow is how much longer than computed transfers take.
	slow float64
	at   time.Time
	// busyUntil is when the transfers that this entry has asked for end.
	busyUntil time.Time
}

func (m *Model) link(holder parts.Holder) *link {
	l, ok := m.links[holder]
	if !ok {
		l = &link{slow: 1}
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
	return time.Duration(float64(transfer)*slow) + max(0, l.busyUntil.Sub(now))
}

// transfer is the time of so many tokens over a link.
func transfer(tokens, tokenSize int, bitsPerSecond float64, far bool) time.Duration {
	if bitsPerSecond <= 0 {
		return 0
	}
	t := time.Duration(float64(tokens) * float64(tokenSize) * 8 / bitsPerSecond * float64(time.Second))
	if far {
		t *= farFactor
	}
	return t
}

// origin is a holder that a part could come from.
type origin struct {
	holder parts.Holder
	took   time.Duration
}

// fetches fills in where the parts that the engine lacks come from. It returns how many of the
// tokens to be read some holder has read already.
func (m *Model) fetches(now time.Time, need *Need, service *conf.Service, o *option, shared []conf.Part) (again int) {
	fetch := make([]conf.Source, len(need.Chain))
	own := parts.Holder(o.upstream.Address)
	missing := false
	for i, p := range shared {
		key := parts.NewKey(o.salt, p.ID)
		if m.index.Has(own, key, p.Tokens) {
			continue
		}
		found, ok := m.nearest(now, need, service, o, key, p.Tokens)
		read := time.Duration(m.speed(need.Service).perToken * float64(p.Tokens))
		if missing || !ok || found.took > mostFetch || found.took > 2*read+o.fetchTime && p.Tokens >= leastShared {
			missing = true
			if ok {
				again += p.Tokens
			}
			continue
		}
		fetch[i] = conf.Source{Address: string(found.holder), Tokens: p.Tokens}
		o.fetchTime = max(o.fetchTime, found.took)
		if p.Tokens >= leastShared || o.source == "" {
			o.source = found.holder
		}
	}
	if o.source != "" {
		o.fetch = fetch
	}
	return again
}

// nearest finds the holder from which a part comes soonest.
func (m *Model) nearest(now time.Time, need *Need, service *conf.Service, o *option, key parts.Key, tokens int) (best origin, ok bool) {
	engine := service.Engine
	consider := func(holder parts.Holder, took time.Duration) {
		took = m.link(holder).time(now, took)
		if !ok || took < best.took || took == best.took && holder < best.holder {
			best, ok = origin{holder, took}, true
		}
	}
	for i := range m.set.Services() {
		s := &m.set.Services()[i]
		if s.Store == nil || !m.index.Readable(now, parts.Holder(s.Store.Address), key, tokens) {
			continue
		}
		took := s.Store.Delay + transfer(tokens, engine.TokenSize, min(s.Store.Link, engine.Link), s.Store.Zone != o.upstream.Zone)
		consider(parts.Holder(s.Store.Address), took)
	}
	for _, u := range m.fleet.All() {
		if u.Service != need.Service || u.ID == o.upstream.ID || !m.fleet.Usable(now, u.ID) || u.Weights[need.Model] != o.version {
			continue
		}
		if m.index.Has(parts.Holder(u.Address), key, tokens) {
			consider(parts.Holder(u.Address), transfer(tokens, engine.TokenSize, engine.Link, u.Zone != o.upstream.Zone))
		}
	}
	return best, ok
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

func itoa(v int64) string { return strconv.FormatInt(v, 10) }

// ln is the natural logarithm of a hash in (0, 1), kept away from both ends.
func ln(h float64) float64 { return math.Log(min(max(h, 1e-12), 1-1e-12)) }
