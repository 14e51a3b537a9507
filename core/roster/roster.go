// Package roster decides which entries are members: the fold of the records by which
// entries join, leave and are removed, the lease of this entry, and the watch over others.
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

// Member is an entry as the roster stream tells of it.
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
	// counts only while that is still the version.
	Base int64 `json:"base"`
}

// RemoveBody ends the membership of an entry that did not leave.
type RemoveBody struct {
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	// Epoch is the one that the writer has folded; the record counts only in that epoch.
	Epoch int64 `json:"epoch"`
}

// ChangedCmd says that the set of members changed; one comes for each epoch, in order.
type ChangedCmd struct {
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
	// Cut is true where the memberships before are not known, as after a snapshot.
	Cut bool `json:"cut"`
}

// Roster is the fold of the roster stream.
type Roster struct {
	// next is the offset of the first record not folded yet; it never decreases.
	next int64
	// epoch is the offset after the last record that changed the members.
	epoch   int64
	members map[ident.EntryID]Member
	// versions holds, for each name, the offset after the last record that counted for it.
	versions map[ident.EntryID]int64
	// cut is true until the first change is told, where records before were not folded.
	cut bool
	// stuck is true while the log no longer keeps the next record and no usable snapshot has been read.
	stuck bool
	// wanted is the offset to read next: next itself, or a later one while a snapshot is sought.
	wanted int64
}

// NewRoster is a fold that has seen no record.
func NewRoster() *Roster {
	return &Roster{members: map[ident.EntryID]Member{}, versions: map[ident.EntryID]int64{}}
}

// Next is the offset of the first record not folded yet.
func (r *Roster) Next() int64 { return r.next }

// Wanted is the offset of the record to read next; it lies beyond [Roster.Next] while a snapshot is sought.
func (r *Roster) Wanted() int64 { return max(r.wanted, r.next) }

// Epoch numbers the current set of members.
func (r *Roster) Epoch() int64 { return r.epoch }

// Member is the member of a name, and whether there is one.
func (r *Roster) Member(id ident.EntryID) (m Member, known bool) {
	m, known = r.members[id]
	return m, known
}

// Version is what a join of a name must be based on.
func (r *Roster) Version(id ident.EntryID) int64 { return r.versions[id] }

// Members lists the members by entry id.
func (r *Roster) Members() (members []Member) {
	for _, m := range r.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return members
}

// State copies the fold.
func (r *Roster) State() State {
	s := State{Next: r.next, Epoch: r.epoch, Members: r.Members(), Versions: maps.Clone(r.versions)}
	s.Digest = s.sum()
	return s
}

// Restore replaces the fold by one of more records, and reports the members that it has. Since a
// state is a function of the records, no removed incarnation comes back by it.
func (r *Roster) Restore(s State) (cmds []ident.Cmd) {
	if s.Next <= r.next || s.Epoch < r.epoch || s.Digest != s.sum() {
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
	r.wanted = r.next
	r.cut = true
	return []ident.Cmd{r.changed()}
}

// Update folds a [ledger.BatchMsg] of the roster stream. It refuses one before which records are
// missing, unless the batch holds a snapshot to go on from.
func (r *Roster) Update(_ time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	batch, ok := msg.(ledger.BatchMsg)
	if !ok || batch.Stream != ledger.StreamRoster {
		return nil
	}
	cmds = r.bridge(batch)
	if r.stuck {
		return cmds
	}
	for _, e := range batch.Entries {
		before := r.epoch
		cmds = append(cmds, r.fold(e)...)
		if r.epoch != before {
			cmds = append(cmds, r.changed())
		}
	}
	return cmds
}

func (r *Roster) changed() ChangedCmd {
	cmd := ChangedCmd{Epoch: r.epoch, Members: r.Members(), Cut: r.cut}
	r.cut = false
	return cmd
}

// fold takes one record in offset order.
func (r *Roster) fold(e ledger.Entry) (cmds []ident.Cmd) {
	if e.Offset != r.next {
		return nil
	}
	if e.Record.Kind == KindSnapshot {
		cmds = r.compare(e.Record)
	}
	r.next = e.Offset + 1
	r.wanted = r.next
	switch e.Record.Kind {
	case KindJoin:
		fold(e, r.join)
	case KindLeave:
		fold(e, r.leave)
	case KindRemove:
		fold(e, r.remove)
	}
	return cmds
}

// fold decodes a record's body; one that can't be decoded does not count.
func fold[B any](e ledger.Entry, apply func(int64, B)) {
	var body B
	if json.Unmarshal(e.Record.Body, &body) == nil {
		apply(e.Offset, body)
	}
}

// join ignores a record whose writer did not know the last one about its name, such as
// one of an older incarnation that reached the log late or twice.
func (r *Roster) join(offset int64, b JoinBody) {
	if b.Base != r.versions[b.Entry] {
		return
	}
	r.members[b.Entry] = b.Member
	r.count(offset, b.Entry)
}

// leave ignores a record of another incarnation than the member's.
func (r *Roster) leave(offset int64, m Member) {
	if current, known := r.members[m.Entry]; known && current.Incarnation == m.Incarnation {
		delete(r.members, m.Entry)
		r.count(offset, m.Entry)
	}
}

func (r *Roster) remove(offset int64, b RemoveBody) {
	if b.Epoch == r.epoch {
		r.leave(offset, Member{Entry: b.Entry, Incarnation: b.Incarnation})
	}
}

func (r *Roster) count(offset int64, id ident.EntryID) {
	r.epoch = offset + 1
	r.versions[id] = offset + 1
}
