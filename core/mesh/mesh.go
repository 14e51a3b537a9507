// Package mesh tracks which entries are alive by the heartbeats that they exchange in datagrams.
package mesh

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/times"
)

const (
	// silenceTimeout is how long after its last heartbeat an entry counts as dead: several heartbeat intervals, and
	// well below the time after which an answer must no longer name a stopped entry.
	silenceTimeout = 1600 * time.Millisecond
	// retention is how long an entry is kept after its last heartbeat: longer than availability zones may be cut off
	// from each other. Until then heartbeats of an earlier boot are ignored.
	retention = 2 * time.Hour
)

// State is the state that an entry announces for itself.
type State int

// The states of an entry.
const (
	// Starting entries have not loaded what they need to serve.
	Starting State = iota
	// Ready entries accept new connections.
	Ready
	// Leaving entries are shutting down and complete what they have accepted.
	Leaving
)

// Peer is an entry as it describes itself.
type Peer struct {
	// ID is the entry's address for datagrams.
	ID      string
	Address string
	Zone    ident.Zone
	State   State
	// Boot identifies the incarnation and increases from one to the next.
	Boot int64
	// Partitioned is set while the entry has lost most of its links to upstreams.
	Partitioned bool
	// Version is that of its configuration, 0 if it is not known.
	Version int64
	// Scope is the cache scope in which organisations share context there.
	Scope string
	// Relays is set if the entry passes heartbeats on to the other members of its cell.
	Relays bool
}

// HeartbeatMsg reports a message of another entry, which shows that it is alive.
type HeartbeatMsg struct {
	Peer Peer
	// Number counts the heartbeats of the incarnation, 0 if the message has none.
	Number int64
}

// StalledMsg reports that this entry has stood still and heard nothing.
type StalledMsg struct {
	// From is when it last ran before.
	From time.Time
}

// Model holds one entry's view of all entries. Its methods aren't safe for concurrent use.
type Model struct {
	self Peer
	// startedAt is when this entry started, or when it went on after it stood still soon after its start.
	startedAt time.Time
	peers     map[string]*peerState
	// sorted holds the peers in the order of their ids.
	sorted []*peerState
	// nextSilent is the position in sorted of the entry that NextSilent returned last.
	nextSilent int
	// prunedAt is when peers were last removed.
	prunedAt time.Time
}

// peerState is a peer with the time of its last heartbeat.
type peerState struct {
	Peer
	lastSeen time.Time
	// number is that of its newest heartbeat.
	number int64
}

// NewModel returns a model that contains only the entry itself.
//
//	m := mesh.NewModel(now, mesh.Peer{ID: "10.0.0.1:7700", Zone: "a"})
func NewModel(now time.Time, self Peer) *Model {
	return &Model{self: self, startedAt: now, peers: map[string]*peerState{}}
}

// Update applies one message; it returns no commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	if stalled, ok := msg.(StalledMsg); ok && stalled.From.Sub(m.startedAt) < silenceTimeout {
		m.startedAt = now
	}
	heartbeat, ok := msg.(HeartbeatMsg)
	if !ok || heartbeat.Peer.ID == m.self.ID {
		return nil
	}
	if m.Outdated(heartbeat) {
		return nil
	}
	known := m.peers[heartbeat.Peer.ID]
	if known == nil {
		known = &peerState{}
		m.insert(heartbeat.Peer.ID, known)
	}
	number := heartbeat.Number
	if known.Boot == heartbeat.Peer.Boot {
		number = max(number, known.number)
	}
	*known = peerState{heartbeat.Peer, times.Later(known.lastSeen, now), number}
	if now.Sub(m.prunedAt) >= pruneInterval {
		m.prune(now)
	}
	return nil
}

// Outdated reports whether a newer message of the same entry has arrived before: heartbeats that are passed on may overtake each other.
func (m *Model) Outdated(msg HeartbeatMsg) (outdated bool) {
	known := m.peers[msg.Peer.ID]
	if known == nil {
		return false
	}
	return known.Boot > msg.Peer.Boot || known.Boot == msg.Peer.Boot && msg.Number > 0 && msg.Number < known.number
}

// HasReceived reports whether a message of an entry's incarnation, or of a later one, has been received.
func (m *Model) HasReceived(id string, boot int64) bool {
	known := m.peers[id]
	return id == m.self.ID || known != nil && known.Boot >= boot
}

// insert adds a peer that is not known.
func (m *Model) insert(id string, p *peerState) {
	at, _ := slices.BinarySearchFunc(m.sorted, id, func(p *peerState, id string) int { return cmp.Compare(p.ID, id) })
	m.peers[id], m.sorted = p, slices.Insert(m.sorted, at, p)
}

// pruneInterval is the interval at which peers are removed whose retention is over.
const pruneInterval = time.Minute

func (m *Model) prune(now time.Time) {
	m.prunedAt = now
	m.sorted = slices.DeleteFunc(m.sorted, func(p *peerState) bool {
		outdated := now.Sub(p.lastSeen) > retention
		if outdated {
			delete(m.peers, p.ID)
		}
		return outdated
	})
}

// SetState sets the state that the entry announces.
func (m *Model) SetState(state State) { m.self.State = state }

// SetPartitioned sets whether the entry announces that it has lost most of its links to upstreams.
func (m *Model) SetPartitioned(partitioned bool) { m.self.Partitioned = partitioned }

// Self returns the entry's own description.
func (m *Model) Self() Peer { return m.self }

// Alive returns the live entries including this one, sorted by ID.
func (m *Model) Alive(now time.Time) (alive []Peer) {
	return m.list(func(p *peerState) bool { return now.Sub(p.lastSeen) < silenceTimeout })
}

// list returns this entry and the peers for which a condition holds, sorted by ID.
func (m *Model) list(holds func(p *peerState) bool) (list []Peer) {
	list = make([]Peer, 0, len(m.sorted)+1)
	added := false
	for _, p := range m.sorted {
		if !added && p.ID > m.self.ID {
			list, added = append(list, m.self), true
		}
		if holds(p) {
			list = append(list, p.Peer)
		}
	}
	if !added {
		list = append(list, m.self)
	}
	return list
}

// Sharers returns the entries that may still use a part of a shared limit, including this one, sorted by ID. An entry
// that has fallen silent may only be cut off, and counts for the memory given, unless it was leaving. Right after its own
// start an entry has heard too little to tell, and known is false.
func (m *Model) Sharers(now time.Time, memory time.Duration) (sharers []Peer, known bool) {
	sharers = m.list(func(p *peerState) bool {
		silence := now.Sub(p.lastSeen)
		return silence < silenceTimeout || silence < memory && p.State != Leaving
	})
	return sharers, now.Sub(m.startedAt) >= silenceTimeout
}

// IsAlive reports whether an entry is alive; it is always true for this entry.
func (m *Model) IsAlive(now time.Time, id string) bool {
	p, ok := m.peers[id]
	return id == m.self.ID || ok && now.Sub(p.lastSeen) < silenceTimeout
}

// NeighbourSeen returns when an entry in the availability zone of an entry, other than that one, last sent a heartbeat that arrived;
// zero if there is none.
func (m *Model) NeighbourSeen(id string) (at time.Time) {
	p, ok := m.peers[id]
	if !ok {
		return time.Time{}
	}
	for _, other := range m.sorted {
		if other.Zone == p.Zone && other.ID != id {
			at = times.Later(at, other.lastSeen)
		}
	}
	return at
}

// Serving returns the live entries that are ready for callers, sorted by ID. Partitioned entries are left out unless all are.
func (m *Model) Serving(now time.Time) (serving []Peer) {
	return PreferConnected(slices.DeleteFunc(m.Alive(now), func(p Peer) bool { return p.State != Ready }))
}

// PreferConnected returns those of the peers that are not partitioned, or all if all are.
func PreferConnected(peers []Peer) (preferred []Peer) {
	if connected := Connected(peers); len(connected) > 0 {
		return connected
	}
	return peers
}

// Connected returns those of the peers that are not partitioned.
func Connected(peers []Peer) (connected []Peer) {
	for _, p := range peers {
		if !p.Partitioned {
			connected = append(connected, p)
		}
	}
	return connected
}

// IDs returns the IDs of peers in their order.
func IDs(peers []Peer) (ids []string) {
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	return ids
}
