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

// KindSnapshot is the kind of a record that carries a [State].
const KindSnapshot ledger.Kind = "snapshot"

// askInterval is the time between two questions for the states of other entries.
const askInterval = time.Second

// ErrState says that a state does not match its own digest or can't be decoded.
var ErrState = errors.New("damaged roster state")

// State is what a snapshot keeps of the fold. It is a function of the records before Next alone.
type State struct {
	// Next is the offset of the first record that the state does not cover.
	Next     int64                   `json:"next"`
	Epoch    int64                   `json:"epoch"`
	Members  []Member                `json:"members"`
	Versions map[ident.EntryID]int64 `json:"versions"`
	// Digest is the hash of the other fields.
	Digest uint64 `json:"digest"`
}

// sum is the hash of every field but Digest; encoding/json writes a map in the order of its keys.
func (s State) sum() uint64 {
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
	if s.Digest != s.sum() {
		return State{}, errors.Wrapf(ErrState, "state up to offset %d", s.Next)
	}
	return s, nil
}

// PeerStatesMsg carries the states of the entries that were reached.
type PeerStatesMsg struct {
	States []State `json:"states"`
}

// AskPeersCmd asks to read the roster of other entries and to answer with a [PeerStatesMsg].
type AskPeersCmd struct {
	// Above is the offset that this entry has folded up to.
	Above int64 `json:"above"`
}

// DivergedCmd says that another entry folded the same records to another state.
type DivergedCmd struct {
	Next   int64  `json:"next"`
	Writer string `json:"writer"`
}

// snapshotter decides when this entry appends a snapshot, and when it asks others for their state.
type snapshotter struct {
	pace *ledger.Snapshots
	// first is the lowest offset that the log was last seen to keep.
	first int64
	// records holds the offsets of the records since the newest snapshot, without snapshots.
	records []int64
	// asked is when the other entries may be asked again.
	asked time.Time
}

func newSnapshotter(entry ident.EntryID, seed uint64, records int64, interval time.Duration) *snapshotter {
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(entry)+"/roster")))
	return &snapshotter{pace: ledger.NewSnapshots(rng, records, interval)}
}

// note takes a record that was folded; live is false for one that may be old.
func (k *snapshotter) note(now time.Time, e ledger.Entry, live bool) {
	if e.Record.Kind != KindSnapshot {
		k.records = append(k.records, e.Offset)
		return
	}
	s, err := DecodeState(e.Record.Body)
	if err != nil {
		return
	}
	k.pace.Seen(now, s.Next, live)
	k.trim()
}

// trim drops the records that the newest snapshot covers.
func (k *snapshotter) trim() {
	k.records = slices.DeleteFunc(k.records, func(offset int64) bool { return offset < k.pace.Covered() })
}

// snapshot appends the state when a snapshot is due. An entry that has not read the log to its end
// within the lease appends none, since it can't see that another one has.
func (m *Membership) snapshot(now time.Time) []ident.Cmd {
	k := m.snapshotter
	p := ledger.Progress{First: k.first, Next: m.roster.next, Records: len(k.records)}
	if !m.maySnapshot(now) || !k.pace.IsDue(now, p) {
		return nil
	}
	k.pace.Written(now)
	s := m.roster.State()
	id := fmt.Sprintf("snapshot/%s/%d", m.boot, s.Next)
	rec := ledger.Record{ID: id, Kind: KindSnapshot, Writer: string(m.self.Entry), Body: s.encode()}
	return []ident.Cmd{AppendCmd{Record: rec}}
}

// maySnapshot reports whether a snapshot may be appended at a time, as far as reads of the log decide it.
func (m *Membership) maySnapshot(at time.Time) bool {
	return at.Before(m.fresh) && m.roster.Wanted() <= m.roster.next && m.roster.next > 0
}

// askPeers asks for states while the log has lost records that this fold needs.
func (m *Membership) askPeers(now time.Time) []ident.Cmd {
	if !m.roster.stuck || now.Before(m.snapshotter.asked) {
		return nil
	}
	m.snapshotter.asked = now.Add(askInterval)
	return []ident.Cmd{AskPeersCmd{Above: m.roster.next}}
}

// takePeers takes the state with the highest offset, unless the log no longer keeps the record after it.
func (m *Membership) takePeers(now time.Time, msg PeerStatesMsg) (cmds []ident.Cmd) {
	for _, s := range msg.States {
		if s.Next >= m.snapshotter.first {
			cmds = append(cmds, m.roster.Restore(s)...)
		}
	}
	if len(cmds) == 0 {
		return nil
	}
	m.watch.setMembers(now, m.self.Entry, m.roster.Members())
	cmds = append(cmds, m.meetOwn(now)...)
	return append(cmds, m.tellLease())
}

// bridge goes over missing records by the newest snapshot of the batch; where there is none to go
// on from, the fold stays where it is and reads on to look for one.
func (r *Roster) bridge(batch ledger.BatchMsg) (cmds []ident.Cmd) {
	if batch.Gap(r.next) {
		cmds = r.restoreFrom(batch)
	}
	r.stuck = batch.Gap(r.next)
	r.wanted = r.next
	if r.stuck && batch.First > r.next {
		r.wanted = max(batch.First, batch.End())
	}
	return cmds
}

// restoreFrom takes the snapshot of a batch that covers most, if the log keeps the record after it.
// The newest one may cover less than one before it, since its writer may have been paused.
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

// compare checks a snapshot of as many records as this fold has taken.
func (r *Roster) compare(rec ledger.Record) []ident.Cmd {
	s, err := DecodeState(rec.Body)
	if err != nil || s.Next != r.next || s.Digest == r.State().Digest {
		return nil
	}
	return []ident.Cmd{DivergedCmd{Next: s.Next, Writer: rec.Writer}}
}
