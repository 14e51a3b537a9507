package place

import (
	"time"

	"cicadavalve/core/ident"
)

// staleLoad is how long another entry's load counts: a few of the intervals at which entries tell it.
const staleLoad = 1200 * time.Millisecond

// heardLoad is how long an upstream's own word of its load counts.
const heardLoad = 300 * time.Millisecond

// load is what is under way at one upstream.
type load struct {
	own Load
	// urgent holds the part of the own backlog by rank.
	urgent  [ranks]int
	peers   map[string]peerLoad
	heard   int
	heardAt time.Time
	// cold limits requests while the upstream is cold.
	cold bucket
}

type peerLoad struct {
	Load
	at time.Time
}

// ranks is how many steps of urgency are told apart.
const ranks = 10

func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }

func (m *Model) load(upstream ident.UpstreamID) *load {
	l, ok := m.loads[upstream]
	if !ok {
		l = &load{own: Load{Upstream: upstream}, peers: map[string]peerLoad{}}
		m.loads[upstream] = l
	}
	return l
}

// total is what all entries have under way at the upstream.
func (l *load) total(now time.Time) (t Load) {
	t = l.own
	for peer, p := range l.peers {
		if now.Sub(p.at) > staleLoad {
			delete(l.peers, peer)
			continue
		}
		t.Requests += p.Requests
		t.Backlog += p.Backlog
		t.Memory += p.Memory
	}
	if now.Sub(l.heardAt) < heardLoad {
		t.Requests = max(t.Requests, l.heard)
	}
	return t
}

// ahead is the backlog that an upstream works off before a request of the rank.
func (l *load) ahead(now time.Time, rank int) (tokens int) {
	for r := 0; r <= clampRank(rank); r++ {
		tokens += l.urgent[r]
	}
	return tokens + l.total(now).Backlog - l.own.Backlog
}

// begin notes a request that is sent.
func (l *load) begin(s *sent) {
	l.own.Requests++
	l.own.Backlog += s.backlog
	l.own.Memory += s.memory
	l.urgent[s.rank] += s.backlog
}

// read notes that the prompt of a request has been read.
func (l *load) read(s *sent) {
	l.own.Backlog -= s.backlog
	l.urgent[s.rank] -= s.backlog
	s.backlog = 0
}

// end notes the end of a request.
func (l *load) end(s *sent) {
	l.read(s)
	l.own.Requests--
	l.own.Memory -= s.memory
}

// Loads lists what this entry has under way.
func (m *Model) Loads() (loads []Load) {
	for _, l := range m.loads {
		if l.own.Requests > 0 {
			loads = append(loads, l.own)
		}
	}
	return loads
}

// bucket lets requests through at a rate.
type bucket struct {
	level float64
	at    time.Time
}

// take lets one request through if the rate allows it.
func (b *bucket) take(now time.Time, perSecond, most float64) bool {
	if b.peek(now, perSecond, most) < 1 {
		return false
	}
	b.level--
	return true
}

// peek refills the bucket and tells its level.
func (b *bucket) peek(now time.Time, perSecond, most float64) float64 {
	if b.at.IsZero() {
		b.level = most
	} else {
		b.level = min(most, b.level+now.Sub(b.at).Seconds()*perSecond)
	}
	b.at = now
	return b.level
}

// Busy is how many requests all entries have under way at an upstream.
func (m *Model) Busy(now time.Time, upstream ident.UpstreamID) int {
	l, ok := m.loads[upstream]
	if !ok {
		return 0
	}
	return l.total(now).Requests
}

// Waiting is how many requests wait for an upstream.
func (m *Model) Waiting() int { return len(m.queue) }
