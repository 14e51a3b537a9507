package parts_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/parts"
)

// TestEntryThatStartsReceivesAllParts follows two holders while entries start, and applies the reports to the index of one of them.
// It must not receive parts that were removed between two reports.
func TestEntryThatStartsReceivesAllParts(t *testing.T) {
	now := time.Unix(1000, 0)
	own, other := parts.NewIndex(), parts.NewIndex()
	key := func(i int) parts.Key { return parts.NewKey("salt", fmt.Sprint(i)) }
	report := func(holder parts.Holder, changes ...parts.Change) {
		own.Update(now, parts.ReportMsg{Holder: holder, Epoch: 7, At: now, Changes: changes})
	}
	for i := range 150 {
		report("store", parts.Change{Key: key(i), Tokens: 100 + i})
	}
	report("engine", parts.Change{Key: key(1), Tokens: 16})
	report("not followed", parts.Change{Key: key(1), Tokens: 16})
	own.Update(now, parts.PrefilledMsg{Holder: "not reported yet", Salt: "salt", Chain: []conf.Part{{ID: "1", Tokens: 16}}})
	r := parts.NewResend(own)
	followed := []parts.Holder{"engine", "not reported yet", "store", "unknown"}
	var sizes []int
	beat := func() {
		size := 0
		for _, msg := range r.Next(now, followed, 64) {
			size += len(msg.Changes)
			other.Update(now, msg)
		}
		sizes = append(sizes, size)
		now = now.Add(500 * time.Millisecond)
	}
	beat()
	for range 100 {
		r.Started(now)
	}
	for i := range 6 {
		if i == 4 {
			report("store", parts.Change{Key: key(0)}, parts.Change{Key: key(149)})
		}
		beat()
	}
	// One that starts soon after waits for the interval between rounds.
	r.Started(now)
	for range 7 {
		beat()
	}
	if diff := cmp.Diff([]int{0, 0, 0, 63, 64, 24, 0, 0, 0, 0, 0, 0, 0, 63}, sizes); diff != "" {
		t.Errorf("parts reported at each beat (-want +got):\n%s", diff)
	}
	missing := 0
	for i := 1; i < 149; i++ {
		if other.View(now, "store").Cached(key(i)) != 100+i {
			missing++
		}
	}
	type knowledge struct {
		Missing, Engine, NotFollowed int
		Epoch                        int64
	}
	got := knowledge{missing, other.View(now, "engine").Cached(key(1)), other.View(now, "not followed").Cached(key(1)), other.Epoch("store")}
	if diff := cmp.Diff(knowledge{0, 16, 0, 7}, got); diff != "" {
		t.Errorf("index of the other entry (-want +got):\n%s", diff)
	}
}
