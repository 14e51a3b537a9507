package roster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// KindSnapshot marks a record that carries a [State].
const KindSnapshot ledger.Kind = "snapshot"

// peerRequestInterval is the minimum time between two requests for the states of other entries.
const peerRequestInterval = time.Second

// ErrState reports a state that does not match its digest or can't be decoded.
var ErrState = errors.New("damaged roster state")

// State is the content of a snapshot. It depends only on the records before Next.
type State struct {
	// Next is the offset of the first record that the state does not cover.
	Next     int64                   `json:"next"`
	Epoch    int64                   `json:"epoch"`
	Members  []Member                `json:"members"`
	Versions map[ident.EntryID]int64 `json:"versions"`
	// Digest is the hash of the other fields.
	Digest uint64 `json:"digest"`
}

// computeDigest hashes every field but Digest. It is deterministic since encoding/json sorts map keys.
func (s State) computeDigest() uint64 {
	s.Digest = 0
	return xxhash.Sum64(s.encode())
}

func (s State) encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // State holds only strings and numbers.
	}
	return raw
}

// DecodeState reads the body of a snapshot record and checks its digest.
func DecodeState(raw []byte) (s State, err error) {
	if err := json.Unmarshal(raw, &s); err != nil {
		return State{}, errors.Mark(err, ErrState)
	}
	if s.Digest != s.computeDigest() {
		return State{}, errors.Wrapf(ErrState, "state up to offset %d", s.Next)
	}
	return s, nil
}

// PeerStatesMsg carries the states of the entries that answered an [AskPeersCmd].
type PeerStatesMsg struct {
	States []State `json:"states"`
}

// AskPeersCmd requests the states of other entries, to be delivered in a [PeerStatesMsg].
type AskPeersCmd struct {
	// Above is the offset of the first record that this entry has not folded.
	Above int64 `json:"above"`
}

// DivergedCmd reports that another entry folded the same records to a different state.
type DivergedCmd struct {
	Next   int64  `json:"next"`
	Writer string `json:"writer"`
}

// snapshotter decides when this entry appends a snapshot and when it requests the states of other entries.
type snapshotter struct {
	schedule *ledger.SnapshotSchedule
	// logStart is the lowest offset that the log retains, as last reported.
	logStart int64
	// records holds the offsets of the records that the newest snapshot does not cover, snapshots excluded.
	records []int64
	// nextRequest is the earliest time of the next request to the other entries.
	nextRequest time.Time
}

func newSnapshotter(entry ident.EntryID, seed uint64, records int64, interval time.Duration) *snapshotter {
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(entry)+"/roster")))
	return &snapshotter{schedule: ledger.NewSnapshotSchedule(rng, records, interval)}
}

// observe notes a folded record; live is false while the fold may still be catching up on old ones.
func (k *snapshotter) observe(now time.Time, e ledger.Entry, live bool) {
	if e.Record.Kind != KindSnapshot {
		k.records = append(k.records, e.Offset)
		return
	}
	s, err := DecodeState(e.Record.Body)
	if err != nil {
		return
	}
	k.schedule.Observe(now, s.Next, live)
	k.trim()
}

// trim drops the records that the newest snapshot covers.
func (k *snapshotter) trim() {
	k.records = slices.DeleteFunc(k.records, func(offset int64) bool { return offset < k.schedule.Covered() })
}

// appendSnapshot appends the state when a snapshot is due. An entry that has not read to the log's end
// within the lease appends none, since another entry may have done so already.
func (m *Membership) appendSnapshot(now time.Time) []ident.Cmd {
	k := m.snapshotter
	p := ledger.Progress{First: k.logStart, Next: m.roster.next, Records: len(k.records)}
	if !m.maySnapshot(now) || !k.schedule.IsDue(now, p) {
		return nil
	}
	k.schedule.RecordAppend(now)
	s := m.roster.State()
	id := fmt.Sprintf("snapshot/%s/%d", m.boot, s.Next)
	rec := ledger.Record{ID: id, Kind: KindSnapshot, Writer: string(m.self.Entry), Body: s.encode()}
	return []ident.Cmd{AppendCmd{Record: rec}}
}

// maySnapshot reports whether the fold is recent and complete enough for a snapshot at the given time.
func (m *Membership) maySnapshot(at time.Time) bool {
	return at.Before(m.freshUntil) && m.roster.ReadOffset() <= m.roster.next && m.roster.next > 0
}

// requestPeerStates requests states while the log no longer retains records that this fold needs.
func (m *Membership) requestPeerStates(now time.Time) []ident.Cmd {
	if !m.roster.gapOpen || now.Before(m.snapshotter.nextRequest) {
		return nil
	}
	m.snapshotter.nextRequest = now.Add(peerRequestInterval)
	return []ident.Cmd{AskPeersCmd{Above: m.roster.next}}
}

// restoreFromPeers restores the state with the highest offset among those whose next record the log still retains.
func (m *Membership) restoreFromPeers(now time.Time, msg PeerStatesMsg) (cmds []ident.Cmd) {
	for _, s := range msg.States {
		if s.Next >= m.snapshotter.logStart {
			cmds = append(cmds, m.roster.Restore(s)...)
		}
	}
	if len(cmds) == 0 {
		return nil
	}
	m.watch.setMembers(now, m.self.Entry, m.roster.Members())
	cmds = append(cmds, m.checkOwnRecord(now)...)
	return append(cmds, m.updateLease())
}

// bridgeGap replaces missing records by a snapshot of the batch. If the batch has no usable one, the fold
// stays as it is and later records are read to look for one.
func (r *Roster) bridgeGap(batch ledger.BatchMsg) (cmds []ident.Cmd) {
	if batch.Gap(r.next) {
		cmds = r.restoreFrom(batch)
	}
	r.gapOpen = batch.Gap(r.next)
	r.readFrom = r.next
	if r.gapOpen && batch.First > r.next {
		r.readFrom = max(batch.First, batch.End())
	}
	return cmds
}

// restoreFrom restores the snapshot of a batch that covers the most records, if the log retains the record after it.
// The newest snapshot may cover fewer records than an earlier one, since its writer may have been paused.
func (r *Roster) restoreFrom(batch ledger.BatchMsg) []ident.Cmd {
	var best State
	for _, e := range batch.Entries {
		if e.Record.Kind != KindSnapshot {
			continue
		}
		if s, err := DecodeState(e.Record.Body); err == nil && s.Next > best.Next {
			best = s
		}
	}
	if best.Next < batch.First {
		return nil
	}
	return r.Restore(best)
}

// compareSnapshot reports a divergence if a snapshot covers exactly the records folded here but has another digest.
func (r *Roster) compareSnapshot(rec ledger.Record) []ident.Cmd {
	s, err := DecodeState(rec.Body)
	if err != nil || s.Next != r.next || s.Digest == r.State().Digest {
		return nil
	}
	return []ident.Cmd{DivergedCmd{Next: s.Next, Writer: rec.Writer}}
}
