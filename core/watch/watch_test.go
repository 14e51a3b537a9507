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
	pace     = 600 * time.Millisecond
	patience = 1200 * time.Millisecond
)

var start = time.Unix(1000, 0)

// entry watches a topic whose records matter or not.
type entry struct {
	*watch.Model
	name string
	// seen holds the records that mattered and were read, by offset.
	seen map[int64]bool
	// reads counts the calls to the store.
	reads int
}

func newEntry(name string) *entry {
	return &entry{Model: watch.NewModel(pace, patience), name: name, seen: map[int64]bool{}}
}

// read reads all records that the entry has not, as a call to the store would.
func (e *entry) read(now time.Time, records []bool) {
	e.reads++
	msg := watch.ReadMsg{Next: int64(len(records)), At: now, Whole: e.Next() < 0}
	for i := max(e.Next(), 0); i < int64(len(records)); i++ {
		if records[i] {
			e.seen[i], msg.Mattered = true, true
		}
	}
	e.Update(msg)
}

// TestNoRecordThatMattersIsMissed lets entries read, tell each other with losses, and fail, and checks that each
// knows every record that matters within the patience and a pause between heartbeats.
func TestNoRecordThatMattersIsMissed(t *testing.T) {
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
				if mark, ok := e.Own(); ok && watch.IsReader("topic", e.name, ids) {
					for _, other := range entries {
						if other != e && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
							other.Update(watch.HeardMsg{Mark: mark})
						}
					}
				}
			}
			for _, e := range entries {
				for i, matters := range records {
					if matters && now.Sub(written[i]) > patience+beat && !e.seen[int64(i)] {
						t.Fatalf("%s does not know record %d after %v", e.name, i, now.Sub(written[i]))
					}
				}
			}
		}
	})
}

// TestOthersReadLittle counts the reads of 90 entries in ten seconds without a record that matters.
func TestOthersReadLittle(t *testing.T) {
	const count, seconds = 90, 10
	var ids []string
	var entries []*entry
	for i := range count {
		ids = append(ids, fmt.Sprint("entry", i))
		entries = append(entries, newEntry(ids[i]))
	}
	var records []bool
	reads, reader := 0, 0
	for tick := range seconds * 20 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		records = append(records, false)
		for i, e := range entries {
			isReader := watch.IsReader("topic", e.name, ids)
			if !now.Before(e.Due(isReader)) {
				e.read(now, records)
			}
			if mark, ok := e.Own(); ok && isReader && tick%10 == i%10 {
				for _, other := range entries {
					other.Update(watch.HeardMsg{Mark: mark})
				}
			}
		}
	}
	for _, e := range entries {
		reads += e.reads
		if watch.IsReader("topic", e.name, ids) {
			reader++
		}
	}
	// Each entry reads twice when it starts.
	if most := 2*count + reader*(seconds*int(time.Second)/int(pace)+1); reads > most {
		t.Errorf("%d reads, at most %d wanted", reads, most)
	}
	if diff := cmp.Diff(4, reader); diff != "" {
		t.Errorf("readers (-want +got):\n%s", diff)
	}
}

// TestTheWholeTopicMayBeNewerThanItsEnd has an entry read the whole topic while a record is written, which it then
// reads once more: for the others that record must still matter.
func TestTheWholeTopicMayBeNewerThanItsEnd(t *testing.T) {
	reader, other := newEntry("reader"), newEntry("other")
	other.Update(watch.ReadMsg{Next: 5, At: start, Whole: true})
	other.Update(watch.ReadMsg{Next: 5, At: start})
	reader.Update(watch.ReadMsg{Next: 5, At: start, Whole: true})
	_, early := reader.Own()
	reader.Update(watch.ReadMsg{Next: 6, At: start}) // The sixth record was shown already and changes nothing.
	mark, ok := reader.Own()
	other.Update(watch.HeardMsg{Mark: mark})
	got := []any{early, ok, other.Next(), other.Due(false).IsZero()}
	if diff := cmp.Diff([]any{false, true, int64(5), true}, got); diff != "" {
		t.Errorf("told early, told, next, due at once (-want +got):\n%s", diff)
	}
}
