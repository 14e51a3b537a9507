package place

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
)

// peerLoadTTL is how long the loads reported by another entry are used: a few report intervals.
const peerLoadTTL = 1200 * time.Millisecond

// reportedLoadTTL is how long the load that an upstream reports itself is used.
const reportedLoadTTL = 300 * time.Millisecond

// load holds the requests under way at one upstream.
type load struct {
	own Load
	// backlogByRank splits the backlog of own by rank.
	backlogByRank [rankCount]int
	// others is the sum of the loads reported by the other entries.
	others Load
	// reported is the number of requests that the upstream reported at reportedAt.
	reported   int
	reportedAt time.Time
	// rate limits the requests while the upstream is cold or names a limit.
	rate bucket
	// concurrency limits the requests while the upstream tolerates few rejections.
	concurrency concurrencyLimit
	// limitedAt is when such a request was last sent.
	limitedAt time.Time
}

// peer holds the newest loads reported by another entry until they expire.
type peer struct {
	// loads are included in the others field of each load.
	loads []Load
	// pending are those at upstreams that have no load here. Entries learn of new upstreams at different times.
	pending []Load
	// holders are those whose links have transfers of the peer.
	holders []parts.Holder
	at      time.Time
}

// add adds a peer's load to the sum if sign is 1, and subtracts it if sign is -1.
func (l *load) add(o Load, sign int) {
	l.others.Requests += sign * o.Requests
	l.others.Backlog += sign * o.Backlog
	l.others.Memory += sign * o.Memory
}

// replacePeer replaces the loads and transfers of a peer with the loads that it reports now.
func (m *Model) replacePeer(now time.Time, name string, loads []Load) (p *peer) {
	m.dropPeer(name)
	p = &peer{at: now}
	for _, l := range loads {
		if _, known := m.fleet.Get(l.Upstream); known {
			m.load(l.Upstream).add(l, 1)
			p.loads = append(p.loads, l)
		} else {
			p.pending = append(p.pending, l)
		}
	}
	m.peers[name] = p
	return p
}

// addPending includes the pending loads at an upstream in its load.
func (p *peer) addPending(l *load) {
	p.pending = slices.DeleteFunc(p.pending, func(o Load) bool {
		if o.Upstream != l.own.Upstream {
			return false
		}
		l.add(o, 1)
		p.loads = append(p.loads, o)
		return true
	})
}

// dropPeer removes the loads and transfers of a peer.
func (m *Model) dropPeer(name string) {
	p, ok := m.peers[name]
	if !ok {
		return
	}
	for _, o := range p.loads {
		// The upstream may have been removed meanwhile.
		if l, known := m.loads[o.Upstream]; known {
			l.add(o, -1)
		}
	}
	for _, holder := range p.holders {
		if l, known := m.links[holder]; known {
			delete(l.peersUntil, name)
		}
	}
	delete(m.peers, name)
}

// expirePeers removes the loads of peers whose last report is older than peerLoadTTL.
func (m *Model) expirePeers(now time.Time) {
	if now.Before(m.nextPeerExpiry) {
		return
	}
	m.nextPeerExpiry = now.Add(peerLoadTTL)
	for name, p := range m.peers {
		if until := p.at.Add(peerLoadTTL); !now.Before(until) {
			m.dropPeer(name)
		} else if until.Before(m.nextPeerExpiry) {
			m.nextPeerExpiry = until
		}
	}
}

// forgetUpstream removes the load of an upstream.
func (m *Model) forgetUpstream(upstream ident.UpstreamID) {
	delete(m.loads, upstream)
	for _, p := range m.peers {
		p.loads = slices.DeleteFunc(p.loads, func(l Load) bool { return l.Upstream == upstream })
	}
}

// rankCount is the number of distinct ranks; higher ranks count as the last one.
const rankCount = 10

func clampRank(rank int) int { return min(max(rank, 0), rankCount-1) }

func (m *Model) load(upstream ident.UpstreamID) *load {
	l, ok := m.loads[upstream]
	if !ok {
		l = &load{own: Load{Upstream: upstream}}
		m.loads[upstream] = l
		for _, p := range m.peers {
			p.addPending(l)
		}
	}
	return l
}

// total returns the load of all entries at the upstream. The requests are at least those that the upstream recently
// reported.
func (l *load) total(now time.Time) (t Load) {
	t = l.own
	t.Requests += l.others.Requests
	t.Backlog += l.others.Backlog
	t.Memory += l.others.Memory
	if now.Sub(l.reportedAt) < reportedLoadTTL {
		t.Requests = max(t.Requests, l.reported)
	}
	return t
}

// ahead returns the backlog that the upstream prefills before a request of the rank, in tokens. The backlog of other
// entries counts in full, since its ranks aren't known.
func (l *load) ahead(rank int) (tokens int) {
	for r := 0; r <= clampRank(rank); r++ {
		tokens += l.backlogByRank[r]
	}
	return tokens + l.others.Backlog
}

// begin adds a request that is sent.
func (l *load) begin(s *sent) {
	l.own.Requests++
	l.own.Backlog += s.backlog
	l.own.Memory += s.memory
	l.backlogByRank[s.rank] += s.backlog
}

// finishPrefill removes a request's prompt from the backlog.
func (l *load) finishPrefill(s *sent) {
	l.own.Backlog -= s.backlog
	l.backlogByRank[s.rank] -= s.backlog
	s.backlog = 0
}

// end removes a request that has ended.
func (l *load) end(s *sent) {
	l.finishPrefill(s)
	l.own.Requests--
	l.own.Memory -= s.memory
}

// Loads lists this entry's load at each upstream where it has requests under way.
func (m *Model) Loads() (loads []Load) {
	for _, l := range m.loads {
		if l.own.Requests > 0 {
			loads = append(loads, l.own)
		}
	}
	return loads
}

// bucket is a token bucket that limits the rate of requests.
type bucket struct {
	level float64
	at    time.Time
}

// take removes one token and returns true, or returns false if there is none.
func (b *bucket) take(now time.Time, perSecond, burst float64) bool {
	if b.refill(now, perSecond, burst) < 1 {
		return false
	}
	b.level--
	return true
}

// refill adds the tokens due since the last call, up to burst, and returns the level.
func (b *bucket) refill(now time.Time, perSecond, burst float64) float64 {
	if b.at.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+now.Sub(b.at).Seconds()*perSecond)
	}
	b.at = now
	return b.level
}

// InFlight returns how many requests all entries have under way at an upstream.
func (m *Model) InFlight(now time.Time, upstream ident.UpstreamID) int {
	m.expirePeers(now)
	if _, known := m.fleet.Get(upstream); !known {
		return 0
	}
	return m.load(upstream).total(now).Requests
}

// Waiting returns the number of queued requests.
func (m *Model) Waiting() int { return len(m.queue) }
