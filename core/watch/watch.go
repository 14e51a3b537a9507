// Package watch decides when an entry reads a topic of the store by itself and when it relies on the others.
//
// The load pattern is many entries that all watch the same few records, most of which change nothing. A few readers
// read at a steady pace and tell the others how far they have read and where the last record was that mattered. The
// others then move on without reading, read at once when they are behind such a record, and read by themselves when
// they hear nothing.
package watch

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

const (
	// readers is how many entries read for all: enough that two may be lost at once and one be cut off.
	readers = 4
	// leastShared is the number of entries up to which all read: there is little to save, and none depends on others.
	leastShared = 8
)

// Shared tells whether so many entries share their reads.
func Shared(entries int) bool { return entries > leastShared }

// IsReader tells whether an entry is one of those that read a topic for all.
func IsReader(topic, self string, entries []string) bool {
	return !Shared(len(entries)) || route.Rank(topic, self, entries) < readers
}

// Mark tells how far a topic has been read.
type Mark struct {
	// Next is the offset of the first record that was not read.
	Next int64
	// Changed is the offset after the last record that mattered; it is at most Next.
	Changed int64
	// At is when the topic ended at Next.
	At time.Time
}

// ReadMsg is a read of the topic by this entry.
type ReadMsg struct {
	Next int64
	// At is when the store answered.
	At time.Time
	// Mattered tells that a record among those read changed something.
	Mattered bool
	// Whole tells a read of all that the topic holds. What it shows may be newer than Next.
	Whole bool
}

// HeardMsg is the mark of another entry.
type HeardMsg struct{ Mark Mark }

// TrimmedMsg tells that the records to be read next are gone.
type TrimmedMsg struct{}

// Model follows one topic for one entry. Its methods aren't safe for concurrent use.
type Model struct {
	// pace is the time between two reads of a reader, patience how long another entry goes without a mark.
	pace, patience time.Duration
	// own is the mark of what this entry has read or need not read; its Next is -1 before the first read.
	own Mark
	// read tells that own rests on a read of this entry since the last one of the whole topic.
	read bool
	// behind is the offset after the last record that matters of which the entry has heard.
	behind int64
}

// NewModel has read nothing.
//
//	m := watch.NewModel(600*time.Millisecond, 1200*time.Millisecond)
//	if !now.Before(m.Due(reader)) { read(m.Next()) }
func NewModel(pace, patience time.Duration) *Model {
	return &Model{pace: pace, patience: patience, own: Mark{Next: -1}}
}

// Update takes in one message.
func (m *Model) Update(msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ReadMsg:
		// The first read after one of the whole topic tells others of all that the whole one may have shown.
		if msg.Mattered || !m.read {
			m.own.Changed = max(m.own.Changed, msg.Next)
		}
		m.own.Next, m.own.At = max(m.own.Next, msg.Next), msg.At
		m.read = !msg.Whole
	case HeardMsg:
		m.hear(msg.Mark)
	case TrimmedMsg:
		m.own, m.read = Mark{Next: -1}, false
	}
	return nil
}

func (m *Model) hear(mark Mark) {
	m.behind = max(m.behind, mark.Changed)
	if m.own.Next < 0 || mark.Next < m.own.Next || m.behind > m.own.Next {
		return
	}
	m.own.Next, m.own.Changed = mark.Next, max(m.own.Changed, mark.Changed)
	if mark.At.After(m.own.At) {
		m.own.At = mark.At
	}
}

// Next is the offset to read from, -1 if the whole topic must be read.
func (m *Model) Next() int64 { return m.own.Next }

// Due is when the entry has to read; a reader reads at its pace.
func (m *Model) Due(reader bool) time.Time {
	switch {
	case m.own.Next < 0 || m.behind > m.own.Next:
		return time.Time{}
	case reader:
		return m.own.At.Add(m.pace)
	}
	return m.own.At.Add(m.patience)
}

// Own is what a reader tells the others; ok tells whether there is a mark that rests on a read of this entry. Other
// entries tell nothing: each of them would send the rest to the store once after its start.
func (m *Model) Own() (mark Mark, ok bool) { return m.own, m.read }
