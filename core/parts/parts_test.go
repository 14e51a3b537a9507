package parts_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/parts"
)

var start = time.Unix(1000, 0)

const (
	store    = parts.Holder("store")
	capacity = 100_000
)

func report(at time.Time, epoch int64, changes ...parts.Change) parts.ReportMsg {
	return parts.ReportMsg{Holder: store, Epoch: epoch, At: at, Changes: changes}
}

func TestPartIsReadableOnlyWhileStoreIsConfirmed(t *testing.T) {
	key := parts.NewKey("salt", "a")
	x := parts.NewIndex()
	x.Update(start, parts.SaveMsg{Store: store, Key: key, Tokens: 512})
	saving := x.Readable(start, store, key, 512)
	x.Update(start, report(start, 1, parts.Change{Key: key, Tokens: 512}))
	complete := x.Readable(start, store, key, 512)
	stale := x.Readable(start.Add(2*time.Second), store, key, 512)
	x.Update(start.Add(2*time.Second), report(start.Add(2*time.Second), 2))
	restarted := x.Readable(start.Add(2*time.Second), store, key, 512)
	if diff := cmp.Diff([]bool{false, true, false, false}, []bool{saving, complete, stale, restarted}); diff != "" {
		t.Errorf("readable while saved, complete, unconfirmed, restarted (-want +got):\n%s", diff)
	}
}

// TestNobodyReadsWhatAnotherWritesAnew has two entries detect the restart of a store at different times: a part must
// never be readable for one while the other may already save it again.
func TestNobodyReadsWhatAnotherWritesAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := parts.NewKey("salt", "a")
		reader, writer := parts.NewIndex(), parts.NewIndex()
		for _, x := range []*parts.Index{reader, writer} {
			x.Update(start, report(start, 1, parts.Change{Key: key, Tokens: 512}))
		}
		restart := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "restart")) * time.Millisecond)
		// The last report of the old incarnation may reach the reader just before the restart.
		reader.Update(restart, report(restart, 1))
		detected := restart.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "detected")) * time.Millisecond)
		writer.Update(detected, report(detected, 2))
		for after := time.Duration(0); after < 8*time.Second; after += 50 * time.Millisecond {
			now := detected.Add(after)
			writer.Update(now, report(now, 2))
			if reader.Readable(now, store, key, 512) && writer.Writable(now, store, key, 512, capacity) {
				t.Fatalf("readable and writable %v after the restart", now.Sub(restart))
			}
		}
	})
}

func TestCachedPrefixEndsAtFirstGap(t *testing.T) {
	chain := []conf.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 200}, {ID: "c", Tokens: 50}}
	x := parts.NewIndex()
	cached := func(holder parts.Holder, salt string) int {
		return x.View(start, holder).CachedPrefix(parts.Keys(salt, chain), chain)
	}
	x.Update(start, parts.PrefilledMsg{Holder: "engine", Salt: "s", Chain: chain})
	whole := cached("engine", "s")
	x.Update(start, parts.ReportMsg{Holder: "engine", Epoch: 1, Changes: []parts.Change{
		{Key: parts.NewKey("s", "a"), Tokens: 100}, {Key: parts.NewKey("s", "b"), Tokens: 64}, {Key: parts.NewKey("s", "c"), Tokens: 50},
	}})
	got := []int{whole, cached("engine", "s"), cached("engine", "other"), cached("nobody", "s")}
	if diff := cmp.Diff([]int{350, 164, 0, 0}, got); diff != "" {
		t.Errorf("tokens (-want +got):\n%s", diff)
	}
}

// TestStoreCapacityIsNotExceeded saves parts of random sizes as long as the store is writable.
func TestStoreCapacityIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := parts.NewIndex()
		x.Update(start, report(start, 1))
		for i := range rapid.IntRange(1, 60).Draw(t, "saves") {
			key := parts.NewKey("s", string(rune('a'+i)))
			tokens := rapid.IntRange(1, 20_000).Draw(t, "tokens")
			if !x.Writable(start, store, key, tokens, capacity) {
				continue
			}
			if rapid.Bool().Draw(t, "reported") {
				x.Update(start, report(start, 1, parts.Change{Key: key, Tokens: tokens}))
			} else {
				x.Update(start, parts.SaveMsg{Store: store, Key: key, Tokens: tokens})
			}
		}
		if used := x.Used(start, store); used > capacity {
			t.Fatalf("%d of %d tokens used", used, capacity)
		}
	})
}

func TestLostSaveIsRetried(t *testing.T) {
	key := parts.NewKey("s", "a")
	x := parts.NewIndex()
	x.Update(start, report(start, 1))
	x.Update(start, parts.SaveMsg{Store: store, Key: key, Tokens: 512})
	during := x.Writable(start, store, key, 512, capacity)
	later := start.Add(10 * time.Second)
	x.Update(later, report(later, 1))
	if diff := cmp.Diff([]bool{false, true}, []bool{during, x.Writable(later, store, key, 512, capacity)}); diff != "" {
		t.Errorf("writable during and after (-want +got):\n%s", diff)
	}
}
