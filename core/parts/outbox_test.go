package parts_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/parts"
)

// TestOutboxSendsNewestStateWithinLimit replays the first reports after all entries have started: long histories of several holders at
// once, of which most is outdated. A notice must not exceed the limit, no holder may wait for all changes of another one, and the position
// that a successor goes on from must not skip changes that were not sent.
func TestOutboxSendsNewestStateWithinLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	key := func(i int) parts.Key { return parts.NewKey("salt", fmt.Sprint(i)) }
	own, other, o := parts.NewIndex(), parts.NewIndex(), parts.NewOutbox()
	var history []parts.Change
	for i := range 1000 {
		history = append(history, parts.Change{Key: key(i), Tokens: 100}, parts.Change{Key: key(i - 10)})
	}
	holders := []parts.Holder{"engine-1", "engine-2"}
	for _, holder := range holders {
		net := own.View(now, holder).Net(history)
		msg := parts.ReportMsg{Holder: holder, Epoch: 7, At: now, Changes: net}
		own.Update(now, msg)
		o.Add(msg, 2000)
	}
	type sent struct {
		Changes int
		Next    int64
	}
	var got []map[parts.Holder]sent
	for range 5 {
		beat := map[parts.Holder]sent{}
		for _, n := range o.Next(8) {
			beat[n.Holder] = sent{len(n.Changes), n.Next}
			other.Update(now, n.ReportMsg)
		}
		got = append(got, beat)
	}
	want := []map[parts.Holder]sent{
		{"engine-1": {8, 0}, "engine-2": {0, 0}}, {"engine-2": {8, 0}}, {"engine-1": {2, 2000}, "engine-2": {2, 2000}}, {}, {},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes sent with each heartbeat (-want +got):\n%s", diff)
	}
	_, known := other.Count()
	if diff := cmp.Diff(2*10, known); diff != "" {
		t.Errorf("parts known to the other entry (-want +got):\n%s", diff)
	}
}

// TestOutboxKeepsNewerState guards against a repeated report that brings back a part which the holder has evicted since, and against
// reports of an incarnation that has ended.
func TestOutboxKeepsNewerState(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(epoch int64, changes ...parts.Change) parts.ReportMsg {
		return parts.ReportMsg{Holder: "engine", Epoch: epoch, At: now, Changes: changes}
	}
	cases := []struct {
		name string
		fill func(o *parts.Outbox)
		want []parts.Change
	}{
		{"evicted since", func(o *parts.Outbox) {
			o.Add(report(1, parts.Change{Key: 1}), 5)
			o.AddAgain(report(1, parts.Change{Key: 1, Tokens: 16}, parts.Change{Key: 2, Tokens: 32}))
		}, []parts.Change{{Key: 1}, {Key: 2, Tokens: 32}}},
		{"later report of a queued part", func(o *parts.Outbox) {
			o.Add(report(1, parts.Change{Key: 1, Tokens: 16}), 5)
			o.Add(report(1, parts.Change{Key: 1, Tokens: 48}), 6)
		}, []parts.Change{{Key: 1, Tokens: 48}}},
		{"ended incarnation", func(o *parts.Outbox) {
			o.Add(report(1, parts.Change{Key: 1, Tokens: 16}), 5)
			o.Add(report(2), 0)
			o.AddAgain(report(1, parts.Change{Key: 1, Tokens: 16}))
		}, nil},
	}
	for _, c := range cases {
		o := parts.NewOutbox()
		c.fill(o)
		var got []parts.Change
		for _, n := range o.Next(100) {
			got = append(got, n.Changes...)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: changes sent (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestResendWaitsForKnowledge replays the start of all entries at once: a round of repeated reports must not end before the followed holders
// have reported anything, or parts that were lost on the way are never sent.
func TestResendWaitsForKnowledge(t *testing.T) {
	now := time.Unix(1000, 0)
	index := parts.NewIndex()
	r := parts.NewResend(index)
	r.Started(now)
	followed := []parts.Holder{"engine"}
	now = now.Add(1500 * time.Millisecond)
	early := len(r.Next(now, nil, 64)) + len(r.Next(now, followed, 64))
	index.Update(now, parts.ReportMsg{Holder: "engine", Epoch: 1, At: now, Changes: []parts.Change{{Key: 1, Tokens: 16}}})
	if diff := cmp.Diff([]int{0, 1}, []int{early, len(r.Next(now, followed, 64))}); diff != "" {
		t.Errorf("reports before and after the holder was read (-want +got):\n%s", diff)
	}
}
