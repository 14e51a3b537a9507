// Package roster manages cluster membership: it folds the records by which entries join, leave
// and are removed, holds this entry's lease, and detects failures of other entries.
package roster

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// The kinds of records in the roster stream.
const (
	KindJoin   ledger.Kind = "join"
	KindLeave  ledger.Kind = "leave"
	KindRemove ledger.Kind = "remove"
)

// Member describes an entry in the roster stream.
type Member struct {
	Entry ident.EntryID `json:"entry"`
	// Incarnation is new at each start of the entry's process, and after each removal.
	Incarnation ident.BootID `json:"incarnation"`
	// Address is where callers connect, host and port.
	Address string `json:"address"`
	// PeerAddress is where other entries connect, host and port.
	PeerAddress string     `json:"peer_address"`
	Zone        ident.Zone `json:"zone"`
}

// JoinBody makes an entry a member.
type JoinBody struct {
	Member
	// Base is the version of the entry's name that the writer has folded; the record
	// is ignored if the version has changed since.
	Base int64 `json:"base"`
}

// RemoveBody ends the membership of an entry that did not leave.
type RemoveBody struct {
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	// Epoch is the epoch that the writer has folded; the record is ignored in any other epoch.
	Epoch int64 `json:"epoch"`
}

// ChangedCmd reports a change of the set of members; one is returned for each folded epoch, in order.
type ChangedCmd struct {
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
	// HistoryUnknown is true if earlier memberships are not known, as after restoring a snapshot.
	HistoryUnknown bool `json:"cut"`
}

// Roster is the fold of the roster stream.
type Roster struct {
	// next is the offset of the first record not folded yet; it never decreases.
	next int64
	// epoch is the offset after the last record that changed the members.
	epoch   int64
	members map[ident.EntryID]Member
	// versions holds, for each name, the offset after the last record that changed its membership.
	versions map[ident.EntryID]int64
	// historyUnknown is true from a restore until the next ChangedCmd, since earlier records were not folded.
	historyUnknown bool
	// gapOpen is true while the log no longer retains the next record and no usable snapshot has been read.
	gapOpen bool
	// readFrom is the offset to read next: next itself, or a later one while looking for a snapshot.
	readFrom int64
}

// NewRoster returns an empty fold.
func NewRoster() *Roster {
	return &Roster{members: map[ident.EntryID]Member{}, versions: map[ident.EntryID]int64{}}
}

// Next returns the offset of the first record not folded yet.
func (r *Roster) Next() int64 { return r.next }

// ReadOffset returns the offset to read next; it can be greater than [Roster.Next] while looking for a snapshot.
func (r *Roster) ReadOffset() int64 { return max(r.readFrom, r.next) }

// Epoch returns the number of the current set of members: the offset after the last record that changed it.
func (r *Roster) Epoch() int64 { return r.epoch }

// Member returns the member of the given name; known is false if there is none.
func (r *Roster) Member(id ident.EntryID) (m Member, known bool) {
	m, known = r.members[id]
	return m, known
}

// Version returns the version of a name, which a join has to name as its base; 0 if the name never joined.
func (r *Roster) Version(id ident.EntryID) int64 { return r.versions[id] }

// Members returns the members sorted by entry id.
func (r *Roster) Members() (members []Member) {
	for _, m := range r.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return members
}

// State returns a copy of the fold.
func (r *Roster) State() State {
	s := State{Next: r.next, Epoch: r.epoch, Members: r.Members(), Versions: maps.Clone(r.versions)}
	s.Digest = s.computeDigest()
	return s
}

// Restore replaces the fold by a state that covers more records, and reports the members in it. A state
// that covers no more records or is damaged is ignored. Since a state is a function of the records,
// it can't bring back a removed incarnation.
func (r *Roster) Restore(s State) (cmds []ident.Cmd) {
	if s.Next <= r.next || s.Epoch < r.epoch || s.Digest != s.computeDigest() {
		return nil
	}
	r.next, r.epoch, r.versions = s.Next, s.Epoch, maps.Clone(s.Versions)
	if r.versions == nil {
		r.versions = map[ident.EntryID]int64{}
	}
	r.members = map[ident.EntryID]Member{}
	for _, m := range s.Members {
		r.members[m.Entry] = m
	}
	r.readFrom = r.next
	r.historyUnknown = true
	return []ident.Cmd{r.newChangedCmd()}
}

// Update folds a [ledger.BatchMsg] of the roster stream. It rejects a batch if records before it are
// missing, unless the batch contains a snapshot that covers them.
func (r *Roster) Update(_ time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	batch, ok := msg.(ledger.BatchMsg)
	if !ok || batch.Stream != ledger.StreamRoster {
		return nil
	}
	cmds = r.bridgeGap(batch)
	if r.gapOpen {
		return cmds
	}
	for _, e := range batch.Entries {
		before := r.epoch
		cmds = append(cmds, r.fold(e)...)
		if r.epoch != before {
			cmds = append(cmds, r.newChangedCmd())
		}
	}
	return cmds
}

// newChangedCmd reports the current members and clears historyUnknown.
func (r *Roster) newChangedCmd() ChangedCmd {
	cmd := ChangedCmd{Epoch: r.epoch, Members: r.Members(), HistoryUnknown: r.historyUnknown}
	r.historyUnknown = false
	return cmd
}

// fold applies one record; a record out of offset order is ignored.
func (r *Roster) fold(e ledger.Entry) (cmds []ident.Cmd) {
	if e.Offset != r.next {
		return nil
	}
	if e.Record.Kind == KindSnapshot {
		cmds = r.compareSnapshot(e.Record)
	}
	r.next = e.Offset + 1
	r.readFrom = r.next
	switch e.Record.Kind {
	case KindJoin:
		applyBody(e, r.join)
	case KindLeave:
		applyBody(e, r.leave)
	case KindRemove:
		applyBody(e, r.remove)
	}
	return cmds
}

// applyBody decodes a record's body and applies it; one that can't be decoded is ignored.
func applyBody[B any](e ledger.Entry, apply func(int64, B)) {
	var body B
	if json.Unmarshal(e.Record.Body, &body) == nil {
		apply(e.Offset, body)
	}
}

// join ignores a record whose writer had not folded the last change of its name, such as
// one of an older incarnation that reached the log late or twice.
func (r *Roster) join(offset int64, b JoinBody) {
	if b.Base != r.versions[b.Entry] {
		return
	}
	r.members[b.Entry] = b.Member
	r.advanceVersion(offset, b.Entry)
}

// leave ignores a record of an incarnation that is no member.
func (r *Roster) leave(offset int64, m Member) {
	if current, known := r.members[m.Entry]; known && current.Incarnation == m.Incarnation {
		delete(r.members, m.Entry)
		r.advanceVersion(offset, m.Entry)
	}
}

func (r *Roster) remove(offset int64, b RemoveBody) {
	if b.Epoch == r.epoch {
		r.leave(offset, Member{Entry: b.Entry, Incarnation: b.Incarnation})
	}
}

func (r *Roster) advanceVersion(offset int64, id ident.EntryID) {
	r.epoch = offset + 1
	r.versions[id] = offset + 1
}
