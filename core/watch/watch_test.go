package watch_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/watch"
)

const (
	interval = 600 * time.Millisecond
	maxAge   = 1200 * time.Millisecond
)

var start = time.Unix(1000, 0)

// topic is the simulated topic: for each record, its unique number.
type topic struct {
	records []int
	era     int64
	// matters tells for each number whether its record changes something, written when it was written.
	matters []bool
	written []time.Time
	// long is set if records are too long to be passed on.
	long bool
}

func (p *topic) append(now time.Time, matters bool) {
	p.records = append(p.records, len(p.matters))
	p.matters, p.written = append(p.matters, matters), append(p.written, now)
}

// restore makes the topic lose its last records, in a new era.
func (p *topic) restore(lost int) {
	p.records, p.era = p.records[:len(p.records)-lost], p.era+1
}

// entry watches a topic, some of whose records change something.
type entry struct {
	*watch.Model
	name string
	// seen holds the numbers of the records read that change something.
	seen map[int]bool
	// reads counts the calls to the store.
	reads int
	// tooOld holds the numbers of records that were new although they had been written before KnownAt.
	tooOld []int
}

// newEntries returns a number of entries with their ids.
func newEntries(count int) (ids []string, entries []*entry) {
	for i := range count {
		ids = append(ids, fmt.Sprint("entry", i))
		entries = append(entries, newEntry(ids[i]))
	}
	return ids, entries
}

func newEntry(name string) *entry {
	return &entry{Model: watch.NewModel(interval, maxAge), name: name, seen: map[int]bool{}}
}

// read reads all unread records, as a call to the store would.
func (e *entry) read(now time.Time, p *topic) {
	e.reads++
	if e.Next() > int64(len(p.records)) {
		e.Update(watch.TrimmedMsg{Era: p.era})
		return
	}
	msg := watch.ReadMsg{Era: p.era, Next: int64(len(p.records)), At: now, Snapshot: e.Next() < 0}
	from := max(e.Next(), 0)
	for i, number := range p.records[from:] {
		if p.matters[number] {
			e.see(number, p, e.KnownAt())
			msg.Changed = true
			msg.Records = append(msg.Records, watch.Record{Offset: from + int64(i), Content: []byte(strconv.Itoa(number))})
		}
	}
	if p.long {
		msg.Records = nil
	}
	e.Update(msg)
}

// see notes a record that changes something, when the entry knew all changes as of a time.
func (e *entry) see(number int, p *topic, known time.Time) {
	if !e.seen[number] && p.written[number].Before(known) {
		e.tooOld = append(e.tooOld, number)
	}
	e.seen[number] = true
}

// applyMark applies the mark of another entry.
func (e *entry) applyMark(mark watch.Mark, p *topic) {
	known := e.KnownAt()
	for _, cmd := range e.Update(watch.MarkMsg{Mark: mark}) {
		for _, r := range cmd.(watch.ApplyCmd).Records {
			number, err := strconv.Atoi(string(r.Content))
			if err != nil {
				panic(err)
			}
			e.see(number, p, known)
		}
	}
}

// mark returns the mark that a reader announces.
func (e *entry) mark(now time.Time) (mark watch.Mark, ok bool) {
	mark, ok = e.OwnMark()
	mark.From, mark.Records = e.Share(now.Add(-shareSpan), shareSize)
	return mark, ok
}

// shareSpan and shareSize bound the records of a mark.
const (
	shareSpan = 600 * time.Millisecond
	shareSize = 12
)

// TestEveryEntryReadsEveryChange lets entries read and announce marks of which some are lost, and checks that each
// entry reads every record that changes something within the maximum age of a mark plus one heartbeat interval.
func TestEveryEntryReadsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { watchTopic(t, false) })
}

// TestEveryEntryReadsEveryChangeAfterRestores also lets the topic lose its last records at random; offsets are given out
// again.
func TestEveryEntryReadsEveryChangeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { watchTopic(t, true) })
}

func watchTopic(t *rapid.T, restores bool) {
	const step, beat = 50 * time.Millisecond, 500 * time.Millisecond
	count := rapid.IntRange(9, 20).Draw(t, "entries")
	ids, entries := newEntries(count)
	p := &topic{long: rapid.Bool().Draw(t, "long")}
	for tick := range 200 {
		now := start.Add(time.Duration(tick) * step)
		if restores && rapid.IntRange(0, 39).Draw(t, "restore") == 0 {
			p.restore(rapid.IntRange(0, min(len(p.records), 5)).Draw(t, "records lost"))
		}
		for range rapid.IntRange(0, 2).Draw(t, "records") {
			p.append(now, rapid.IntRange(0, 9).Draw(t, "matters") == 0)
		}
		for i, e := range entries {
			if !now.Before(e.Due(watch.IsReader("topic", e.name, ids))) {
				e.read(now, p)
			}
			if tick%int(beat/step) != i%int(beat/step) {
				continue
			}
			if mark, ok := e.mark(now); ok && watch.IsReader("topic", e.name, ids) {
				for _, other := range entries {
					if other != e && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
						other.applyMark(mark, p)
					}
				}
			}
		}
		for _, e := range entries {
			if len(e.tooOld) > 0 {
				t.Fatalf("%s found records %v new, which are older than what it knew", e.name, e.tooOld)
			}
			for _, number := range p.records {
				if age := now.Sub(p.written[number]); p.matters[number] && age > maxAge+beat && !e.seen[number] {
					t.Fatalf("%s has not read record %d after %v", e.name, number, age)
				}
			}
		}
	}
}

// TestAnswersOfEarlierErasAreIgnored has an entry hear of a new era, and then get late answers and marks of the one before.
func TestAnswersOfEarlierErasAreIgnored(t *testing.T) {
	m := watch.NewModel(interval, maxAge)
	m.Update(watch.ReadMsg{Era: 1, Next: 9, At: start, Snapshot: true})
	m.Update(watch.MarkMsg{Mark: watch.Mark{Era: 2, Next: 4, Changed: 4, At: start}})
	heard := m.Next()
	m.Update(watch.ReadMsg{Era: 1, Next: 10, At: start})
	m.Update(watch.TrimmedMsg{Era: 1})
	m.Update(watch.ReadMsg{Era: 2, Next: 6, At: start, Snapshot: true})
	m.Update(watch.MarkMsg{Mark: watch.Mark{Era: 1, Next: 12, Changed: 12, At: start}})
	m.Update(watch.ReadMsg{Era: 1, Next: 10, At: start})
	got := []any{heard, m.Era(), m.Next(), m.Due(true).IsZero()}
	if diff := cmp.Diff([]any{int64(-1), int64(2), int64(6), false}, got); diff != "" {
		t.Errorf("next after the mark, era, next, due at once (-want +got):\n%s", diff)
	}
}

// TestChangesAreReadByReadersAlone counts the reads of 90 entries in ten seconds in which two records a second change something. Each
// entry must have seen them all.
func TestChangesAreReadByReadersAlone(t *testing.T) {
	const count, seconds = 90, 10
	ids, entries := newEntries(count)
	p := &topic{}
	for tick := range seconds * 20 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		p.append(now, tick%10 == 0 && tick < seconds*20-40)
		for i, e := range entries {
			isReader := watch.IsReader("topic", e.name, ids)
			if !now.Before(e.Due(isReader)) {
				e.read(now, p)
			}
			if mark, ok := e.mark(now); ok && isReader && tick%10 == i%10 {
				for _, other := range entries {
					if other != e {
						other.applyMark(mark, p)
					}
				}
			}
		}
	}
	others := 0
	for _, e := range entries {
		if !watch.IsReader("topic", e.name, ids) {
			others += e.reads
		}
		for number, matters := range p.matters {
			if matters && !e.seen[number] {
				t.Errorf("%s has not seen record %d", e.name, number)
			}
		}
		if len(e.tooOld) > 0 {
			t.Errorf("%s found records %v new, which are older than what it knew", e.name, e.tooOld)
		}
	}
	// A snapshot and the first read after it are each entry's own.
	if others > 3*count {
		t.Errorf("%d reads by the %d entries that are no readers", others, count-4)
	}
}

// TestNonReadersRarelyRead counts the reads of 90 entries in ten seconds in which no record changes anything.
func TestNonReadersRarelyRead(t *testing.T) {
	const count, seconds = 90, 10
	ids, entries := newEntries(count)
	p := &topic{}
	reads, readers := 0, 0
	for tick := range seconds * 20 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		p.append(now, false)
		for i, e := range entries {
			isReader := watch.IsReader("topic", e.name, ids)
			if !now.Before(e.Due(isReader)) {
				e.read(now, p)
			}
			if mark, ok := e.OwnMark(); ok && isReader && tick%10 == i%10 {
				for _, other := range entries {
					other.Update(watch.MarkMsg{Mark: mark})
				}
			}
		}
	}
	for _, e := range entries {
		reads += e.reads
		if watch.IsReader("topic", e.name, ids) {
			readers++
		}
	}
	// Each entry reads twice when it starts.
	if maxReads := 2*count + readers*(seconds*int(time.Second)/int(interval)+1); reads > maxReads {
		t.Errorf("%d reads, at most %d wanted", reads, maxReads)
	}
	if diff := cmp.Diff(4, readers); diff != "" {
		t.Errorf("readers (-want +got):\n%s", diff)
	}
}

// TestFirstReadAfterSnapshotCountsAsChange appends a record while a reader takes a snapshot that already contains it.
// The reader then reads it without a change, but the other entries must still read it.
func TestFirstReadAfterSnapshotCountsAsChange(t *testing.T) {
	reader, other := newEntry("reader"), newEntry("other")
	other.Update(watch.ReadMsg{Next: 5, At: start, Snapshot: true})
	other.Update(watch.ReadMsg{Next: 5, At: start})
	reader.Update(watch.ReadMsg{Next: 5, At: start, Snapshot: true})
	_, okEarly := reader.OwnMark()
	reader.Update(watch.ReadMsg{Next: 6, At: start}) // The snapshot contained the sixth record already.
	mark, ok := reader.OwnMark()
	other.Update(watch.MarkMsg{Mark: mark})
	got := []any{okEarly, ok, other.Next(), other.Due(false).IsZero()}
	if diff := cmp.Diff([]any{false, true, int64(5), true}, got); diff != "" {
		t.Errorf("announced early, announced, next, due at once (-want +got):\n%s", diff)
	}
}
