package gossip_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cicadavalve/io/gossip"
)

// fields is a datagram as another build may send it.
type fields map[any]any

// with returns a datagram of an entry with more fields.
func with(more fields) fields {
	f := fields{1: "a", 2: "a:1", 3: "z", 4: 1, 5: 7}
	for key, value := range more {
		f[key] = value
	}
	return f
}

// message returns what is read of a datagram with these contents.
func message(change func(m *gossip.Message)) *gossip.Message {
	m := &gossip.Message{ID: "a", Address: "a:1", Zone: "z", State: 1, Boot: 7}
	change(m)
	return m
}

// TestFieldsOfOtherBuildsLoseNoOthers sends what a later or an earlier build may say in place of a field. Whatever can be read counts.
func TestFieldsOfOtherBuildsLoseNoOthers(t *testing.T) {
	load, loads := []any{"u", 2, 3, 4}, []gossip.Load{{Upstream: "u", Requests: 2, Backlog: 3, Memory: 4}}
	loaded := func(more func(m *gossip.Message)) *gossip.Message {
		return message(func(m *gossip.Message) {
			m.Heartbeat, m.Loads = true, loads
			more(m)
		})
	}
	same := func(*gossip.Message) {}
	cases := []struct {
		name   string
		fields fields
		want   *gossip.Message
	}{
		{"unknown keys", fields{9: true, 10: []any{load}, 99: "new", "name": []any{1}, -1: fields{1: 2}}, loaded(same)},
		{"missing fields", fields{}, message(same)},
		{"one element more", fields{9: true, 10: []any{append(load, "new")}, 26: []any{[]any{"u", 5, 1, 2}}}, loaded(func(m *gossip.Message) {
			m.Leaving = []gossip.Leaving{{Upstream: "u", Born: 5}}
		})},
		{"one element fewer", fields{9: true, 10: []any{load}, 26: []any{[]any{"u"}, []any{"v", 5}}}, loaded(func(m *gossip.Message) {
			m.Leaving = []gossip.Leaving{{Upstream: "v", Born: 5}}
		})},
		{"wrong type in an element", fields{9: true, 10: []any{load}, 19: []any{[]any{"u", 5, "yes", 2.5, 1}, []any{"v", 5, true, 2.5, 1}}}, loaded(func(m *gossip.Message) {
			m.Limits = []gossip.Limit{{Upstream: "v", Born: 5, Named: true, PerSecond: 2.5, AgeMS: 1}}
		})},
		{"list of another type", fields{9: true, 10: []any{load}, 19: "none", 13: fields{1: 2}, 25: 7}, loaded(same)},
		{"number of another type", fields{9: true, 10: []any{load}, 29: "five", 23: 2}, loaded(same)},
		{"number that is too large", fields{9: true, 10: []any{load}, 26: []any{[]any{"u", uint64(1) << 63}}}, loaded(same)},
		{"unreadable load", fields{9: true, 10: []any{load, []any{"v"}}}, message(func(m *gossip.Message) { m.Loads = loads })},
		{"unreadable orders", fields{9: true, 10: []any{load}, 8: []any{"u", 7}}, message(func(m *gossip.Message) { m.Loads, m.Ordered = loads, []string{"u"} })},
		{"unreadable transfer", fields{9: true, 10: []any{load}, 14: []any{7}}, message(func(m *gossip.Message) { m.Loads = loads })},
		{"unreadable report", fields{9: true, 10: []any{load}, 11: []any{[]any{"h"}, []any{"g", 1, []any{}}}, 22: []any{5, 6}, 28: []any{7, 8}}, loaded(same)},
		{"unreadable position", fields{9: true, 10: []any{load}, 11: []any{[]any{"g", 1, []any{}}}, 22: []any{6}, 28: []any{"end"}}, loaded(same)},
		{"unreadable era", fields{9: true, 10: []any{load}, 16: []any{[]any{0, 5, 5, 1}}, 20: "second"}, loaded(same)},
		{"marks", fields{9: true, 10: []any{load}, 16: []any{[]any{0, 5, 5, 1, "new"}}, 20: 2}, loaded(func(m *gossip.Message) {
			m.Marks, m.Era = []gossip.Mark{{Next: 5, Changed: 5, AgeMS: 1}}, 2
		})},
		{"unreadable incarnation", fields{5: "first", 10: []any{load}}, nil},
		{"unreadable state", fields{4: []any{}, 10: []any{load}}, nil},
	}
	to, addr := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	messages := make(chan gossip.Message, 1)
	go to.Run(ctx, func(m gossip.Message) { messages <- m }, func(err error) { t.Log(err) })
	raw, err := net.Dial("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		b, err := cbor.Marshal(with(c.fields))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := raw.Write(b); err != nil {
			t.Fatal(err)
		}
		var got *gossip.Message
		select {
		case m := <-messages:
			got = &m
		case <-time.After(200 * time.Millisecond):
		}
		ignored := cmpopts.IgnoreUnexported(gossip.Load{}, gossip.Leaving{}, gossip.Limit{}, gossip.Mark{}, gossip.Report{})
		if diff := cmp.Diff(c.want, got, ignored, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: message (-want +got):\n%s", c.name, diff)
		}
	}
}
