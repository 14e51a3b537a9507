package watch_test

import (
	"fmt"
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

// entry watches a topic, some of whose records change something.
type entry struct {
	*watch.Model
	name string
	// seen holds the offsets of the records read that change something.
	seen map[int64]bool
	// reads counts the calls to the store.
	reads int
}

func newEntry(name string) *entry {
	return &entry{Model: watch.NewModel(interval, maxAge), name: name, seen: map[int64]bool{}}
}

// read reads all unread records, as a call to the store would.
func (e *entry) read(now time.Time, records []bool) {
	e.reads++
	msg := watch.ReadMsg{Next: int64(len(records)), At: now, Snapshot: e.Next() < 0}
	for i := max(e.Next(), 0); i < int64(len(records)); i++ {
		if records[i] {
			e.seen[i], msg.Changed = true, true
		}
	}
	e.Update(msg)
}

// TestEveryEntryReadsEveryChange lets entries read and announce marks of which some are lost, and checks that each
// entry reads every record that changes something within the maximum age of a mark plus one heartbeat interval.
func TestEveryEntryReadsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step, beat = 50 * time.Millisecond, 500 * time.Millisecond
		count := rapid.IntRange(9, 20).Draw(t, "entries")
		var ids []string
		var entries []*entry
		for i := range count {
			ids = append(ids, fmt.Sprint("entry", i))
			entries = append(entries, newEntry(ids[i]))
		}
		var records []bool
		var written []time.Time
		for tick := range 200 {
			now := start.Add(time.Duration(tick) * step)
			for range rapid.IntRange(0, 2).Draw(t, "records") {
				records, written = append(records, rapid.IntRange(0, 9).Draw(t, "matters") == 0), append(written, now)
			}
			for i, e := range entries {
				if !now.Before(e.Due(watch.IsReader("topic", e.name, ids))) {
					e.read(now, records)
				}
				if tick%int(beat/step) != i%int(beat/step) {
					continue
				}
				if mark, ok := e.OwnMark(); ok && watch.IsReader("topic", e.name, ids) {
					for _, other := range entries {
						if other != e && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
							other.Update(watch.MarkMsg{Mark: mark})
						}
					}
				}
			}
			for _, e := range entries {
				for i, matters := range records {
					if matters && now.Sub(written[i]) > maxAge+beat && !e.seen[int64(i)] {
						t.Fatalf("%s has not read record %d after %v", e.name, i, now.Sub(written[i]))
					}
				}
			}
		}
	})
}

// TestNonReadersRarelyRead counts the reads of 90 entries in ten seconds in which no record changes anything.
func TestNonReadersRarelyRead(t *testing.T) {
	const count, seconds = 90, 10
	var ids []string
	var entries []*entry
	for i := range count {
		ids = append(ids, fmt.Sprint("entry", i))
		entries = append(entries, newEntry(ids[i]))
	}
	var records []bool
	reads, readers := 0, 0
	for tick := range seconds * 20 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		records = append(records, false)
		for i, e := range entries {
			isReader := watch.IsReader("topic", e.name, ids)
			if !now.Before(e.Due(isReader)) {
				e.read(now, records)
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
