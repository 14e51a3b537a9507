// Package watch decides when an entry reads a topic of the store itself and when it relies on other entries.
//
// Many entries watch the same few records, most of which change nothing. A few readers read at a fixed interval and
// announce how far they have read and where the last record was that changed something. The other entries advance
// without reading, read at once when they have not read such a record, and read themselves when no mark arrives.
package watch

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

const (
	// readerCount is the number of entries that read for all: enough that two may fail and one be cut off at once.
	readerCount = 4
	// maxUnshared is the number of entries up to which all of them read: sharing would save little, and so no entry
	// depends on another.
	maxUnshared = 8
)

// Shared reports whether this number of entries share their reads.
func Shared(entries int) bool { return entries > maxUnshared }

// IsReader reports whether an entry is one of those that read a topic for all.
func IsReader(topic, self string, entries []string) bool {
	return !Shared(len(entries)) || route.Rank(topic, self, entries) < readerCount
}

// Mark is the position up to which a topic has been read.
type Mark struct {
	// Era is the era of the store in which the offsets count: a store that comes back from a copy gives out offsets
	// again, and increases its era.
	Era int64
	// Next is the offset of the first unread record.
	Next int64
	// Changed is the offset after the last record that changed something; it is at most Next.
	Changed int64
	// At is the latest time at which the topic is known to have ended at Next. It is not later than that was so.
	At time.Time
}

// ReadMsg is the result of a read of the topic by this entry.
type ReadMsg struct {
	Era int64
	// Next is the offset of the first unread record.
	Next int64
	// At is the latest time at which the topic is known to have ended at Next: an answer shows its state at some time
	// after the read was sent, and may be handled much later than it was made.
	At time.Time
	// Changed means that one of the records read changed something.
	Changed bool
	// Snapshot marks a snapshot of the whole topic. Its content may be newer than Next.
	Snapshot bool
}

// MarkMsg is a mark received from another entry.
type MarkMsg struct{ Mark Mark }

// TrimmedMsg reports that the records to be read next have been trimmed from the topic.
type TrimmedMsg struct{ Era int64 }

// Model holds the position of one entry in one topic. Its methods aren't safe for concurrent use.
type Model struct {
	// interval is the time between two reads of a reader. Other entries read once their mark is maxAge old.
	interval, maxAge time.Duration
	// mark is the position up to which this entry has read or need not read; its Next is -1 before the first read.
	mark Mark
	// ownRead means that this entry has read the topic after its last snapshot of it.
	ownRead bool
	// changedEnd is the highest Changed offset among the marks received of this era.
	changedEnd int64
	// knownAt is the latest time as of which this entry knows all changes, in any era; zero before the first read.
	knownAt time.Time
}

// NewModel returns a model that has read nothing.
//
//	m := watch.NewModel(600*time.Millisecond, 1200*time.Millisecond)
//	if !now.Before(m.Due(reader)) { read(m.Next()) }
func NewModel(interval, maxAge time.Duration) *Model {
	return &Model{interval: interval, maxAge: maxAge, mark: Mark{Next: -1}}
}

// Update applies one message; it returns no commands.
func (m *Model) Update(msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ReadMsg:
		if !m.enter(msg.Era) || m.mark.Next < 0 && !msg.Snapshot {
			return nil
		}
		// A snapshot may contain records after its Next. The first read after the snapshot reads them again and
		// finds no change, although they are new to other entries. So that read always counts as a change.
		if msg.Changed || !m.ownRead {
			m.mark.Changed = max(m.mark.Changed, msg.Next)
		}
		m.mark.Next, m.mark.At = max(m.mark.Next, msg.Next), msg.At
		m.ownRead = !msg.Snapshot
		m.know(msg.At)
	case MarkMsg:
		m.applyMark(msg.Mark)
	case TrimmedMsg:
		if m.enter(msg.Era) {
			m.mark, m.ownRead = Mark{Era: msg.Era, Next: -1}, false
		}
	}
	return nil
}

// enter discards all positions if an era is newer than the known one. It returns false for an earlier era, of which
// nothing counts any more.
func (m *Model) enter(era int64) (current bool) {
	if era > m.mark.Era {
		m.mark, m.ownRead, m.changedEnd = Mark{Era: era, Next: -1}, false, 0
	}
	return era == m.mark.Era
}

// applyMark advances to the mark of another entry unless records that changed something would be skipped.
func (m *Model) applyMark(mark Mark) {
	if !m.enter(mark.Era) {
		return
	}
	m.changedEnd = max(m.changedEnd, mark.Changed)
	if m.mark.Next < 0 || mark.Next < m.mark.Next || m.changedEnd > m.mark.Next {
		return
	}
	m.mark.Next, m.mark.Changed = mark.Next, max(m.mark.Changed, mark.Changed)
	if mark.At.After(m.mark.At) {
		m.mark.At = mark.At
	}
	m.know(mark.At)
}

func (m *Model) know(at time.Time) {
	if at.After(m.knownAt) {
		m.knownAt = at
	}
}

// KnownAt returns the latest time as of which this entry knows all changes, the zero time before its first read. What the
// next read finds new was written after that.
func (m *Model) KnownAt() time.Time { return m.knownAt }

// Era returns the newest known era of the store.
func (m *Model) Era() int64 { return m.mark.Era }

// Next returns the offset to read from, -1 if the whole topic must be read.
func (m *Model) Next() int64 { return m.mark.Next }

// Due returns when the entry has to read next; the zero time means at once.
func (m *Model) Due(reader bool) time.Time {
	switch {
	case m.mark.Next < 0 || m.changedEnd > m.mark.Next:
		return time.Time{}
	case reader:
		return m.mark.At.Add(m.interval)
	}
	return m.mark.At.Add(m.maxAge)
}

// OwnMark returns the mark that a reader announces to the others; ok reports whether it is based on a read of this
// entry. Entries that are no readers must not announce theirs: each would make all others read the store once after its
// start.
func (m *Model) OwnMark() (mark Mark, ok bool) { return m.mark, m.ownRead }
