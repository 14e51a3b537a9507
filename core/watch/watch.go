// Package watch decides when an entry reads a topic of the store itself and when it relies on other entries.
//
// Many entries watch the same few records, most of which change nothing. A few readers read at a fixed interval and
// announce how far they have read and where the last record was that changed something, together with such records of the last
// moments. The other entries advance without reading and apply these records. They read at once when a record that changed something was
// not passed on to them, and also when no mark arrives.
package watch

import (
	"slices"
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
	return !Shared(len(entries)) || route.IsAmong(topic, self, entries, readerCount)
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
	// From is the offset from which on Records holds all records before Next that changed something; it is at most Next.
	From    int64
	Records []Record
}

// Record is a record that changed something.
type Record struct {
	Offset  int64
	Content []byte
}

// ApplyCmd requests that the records of another entry's mark be applied. They follow one another, and all others between them change
// nothing.
type ApplyCmd struct{ Records []Record }

// ReadMsg is the result of a read of the topic by this entry.
type ReadMsg struct {
	Era int64
	// Next is the offset of the first unread record.
	Next int64
	// At is the latest time at which the topic is known to have ended at Next: an answer shows its state at some time
	// after the read was sent, and may be handled much later than it was made.
	At time.Time
	// Changed means that one of the records read changed something. Records holds all that did, unless some can't be passed on: then
	// it is empty.
	Changed bool
	Records []Record
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
	// shared holds all records from the offset sharedFrom on that changed something, and when they were read. sharedFrom is at most the
	// Next of mark.
	shared     []sharedRecord
	sharedFrom int64
	// knownAt is the latest time as of which this entry knows all changes, in any era; zero before the first read.
	knownAt time.Time
}

// sharedRecord is a record with the time as of which it was read.
type sharedRecord struct {
	Record
	at time.Time
}

// NewModel returns a model that has read nothing.
//
//	m := watch.NewModel(600*time.Millisecond, 1200*time.Millisecond)
//	if !now.Before(m.Due(reader)) { read(m.Next()) }
func NewModel(interval, maxAge time.Duration) *Model {
	return &Model{interval: interval, maxAge: maxAge, mark: Mark{Next: -1}}
}

// Update applies one message and returns the records to apply.
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
		if !m.ownRead || msg.Changed && len(msg.Records) == 0 {
			m.shared, m.sharedFrom = nil, m.mark.Next
		} else {
			m.share(msg.At, msg.Records)
		}
		m.ownRead = !msg.Snapshot
		m.know(msg.At)
	case MarkMsg:
		return m.applyMark(msg.Mark)
	case TrimmedMsg:
		if m.enter(msg.Era) {
			m.mark, m.ownRead, m.shared = Mark{Era: msg.Era, Next: -1}, false, nil
		}
	}
	return nil
}

// enter discards all positions if an era is newer than the known one. It returns false for an earlier era, of which
// nothing counts any more.
func (m *Model) enter(era int64) (current bool) {
	if era > m.mark.Era {
		m.mark, m.ownRead, m.changedEnd = Mark{Era: era, Next: -1}, false, 0
		m.shared, m.sharedFrom = nil, 0
	}
	return era == m.mark.Era
}

// applyMark advances to the mark of another entry and returns the records that have to be applied for that. It advances past no record that
// changed something and that the mark does not hold.
func (m *Model) applyMark(mark Mark) (cmds []ident.Cmd) {
	if !m.enter(mark.Era) {
		return nil
	}
	m.changedEnd = max(m.changedEnd, mark.Changed)
	next := mark.Next
	if m.changedEnd > mark.Changed {
		// Another entry knows of a record after those that this one took for changes.
		next = min(next, mark.Changed)
	}
	if m.mark.Next < 0 || next < m.mark.Next {
		return nil
	}
	if m.changedEnd > m.mark.Next {
		// A snapshot may be newer than the records after its offset; only a read by this entry gets past that.
		if !m.ownRead || mark.From > m.mark.Next {
			return nil
		}
		missing := slices.DeleteFunc(slices.Clone(mark.Records), func(r Record) bool { return r.Offset < m.mark.Next || r.Offset >= next })
		if len(missing) > 0 {
			m.share(mark.At, missing)
			cmds = []ident.Cmd{ApplyCmd{missing}}
		}
	}
	m.mark.Next, m.mark.Changed = next, max(m.mark.Changed, min(mark.Changed, next))
	if next < mark.Next {
		return cmds
	}
	if mark.At.After(m.mark.At) {
		m.mark.At = mark.At
	}
	m.know(mark.At)
	return cmds
}

// share keeps records to pass them on.
func (m *Model) share(at time.Time, records []Record) {
	for _, r := range records {
		m.shared = append(m.shared, sharedRecord{r, at})
	}
}

// Share returns the records that changed something and were read after a time, at most maxSize bytes of them, and the offset from which on
// these are all.
func (m *Model) Share(after time.Time, maxSize int) (from int64, records []Record) {
	size, first := 0, len(m.shared)
	for first > 0 && m.shared[first-1].at.After(after) && size+len(m.shared[first-1].Content) <= maxSize {
		first--
		size += len(m.shared[first].Content)
	}
	if first > 0 {
		m.sharedFrom = m.shared[first-1].Offset + 1
		m.shared = slices.Delete(m.shared, 0, first)
	}
	for _, r := range m.shared {
		records = append(records, r.Record)
	}
	return m.sharedFrom, records
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
// start. It holds no records; [Model.Share] returns those.
func (m *Model) OwnMark() (mark Mark, ok bool) {
	mark = m.mark
	mark.From = mark.Changed
	return mark, m.ownRead
}
