// Package roster folds the records by which entries join and leave.
package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// The kinds of records in the roster stream.
const (
	KindJoin  ledger.Kind = "join"
	KindLeave ledger.Kind = "leave"
)

// Member is an entry as the roster stream tells of it.
type Member struct {
	Entry ident.EntryID `json:"entry"`
	// Incarnation is new at each start of the entry's process.
	Incarnation ident.BootID `json:"incarnation"`
	// Address is where callers connect, host and port.
	Address string `json:"address"`
	// PeerAddress is where other entries connect, host and port.
	PeerAddress string     `json:"peer_address"`
	Zone        ident.Zone `json:"zone"`
}

// ChangedCmd says that the set of members changed.
type ChangedCmd struct {
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
}

// Roster is the fold of the roster stream.
type Roster struct {
	// next is the offset of the first record not folded yet; it never decreases.
	next int64
	// epoch is the offset after the last record that changed the members.
	epoch   int64
	members map[ident.EntryID]Member
}

// NewRoster is a fold that has seen no record.
func NewRoster() *Roster {
	return &Roster{members: map[ident.EntryID]Member{}}
}

// Next is the offset of the first record not folded yet.
func (r *Roster) Next() int64 { return r.next }

// Epoch numbers the current set of members.
func (r *Roster) Epoch() int64 { return r.epoch }

// Members lists the members by entry id.
func (r *Roster) Members() (members []Member) {
	for _, m := range r.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return members
}

// Update folds a [ledger.BatchMsg] of the roster stream.
func (r *Roster) Update(_ time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	batch, ok := msg.(ledger.BatchMsg)
	if !ok || batch.Stream != ledger.StreamRoster {
		return nil
	}
	before := r.epoch
	for _, e := range batch.Entries {
		r.fold(e)
	}
	if r.epoch != before {
		cmds = append(cmds, ChangedCmd{Epoch: r.epoch, Members: r.Members()})
	}
	return cmds
}

func (r *Roster) fold(e ledger.Entry) {
	if e.Offset < r.next {
		return
	}
	r.next = e.Offset + 1
	var m Member
	if err := json.Unmarshal(e.Record.Body, &m); err != nil {
		return
	}
	switch e.Record.Kind {
	case KindJoin:
		r.join(e.Offset, m)
	case KindLeave:
		r.leave(e.Offset, m)
	}
}

func (r *Roster) join(offset int64, m Member) {
	if r.members[m.Entry] == m {
		return
	}
	r.members[m.Entry] = m
	r.epoch = offset + 1
}

// leave ignores a record of an earlier incarnation than the one that joined last.
func (r *Roster) leave(offset int64, m Member) {
	if r.members[m.Entry].Incarnation != m.Incarnation {
		return
	}
	delete(r.members, m.Entry)
	r.epoch = offset + 1
}
