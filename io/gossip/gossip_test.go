package gossip_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cicadavalve/io/gossip"
)

func listen(t *testing.T) (s *gossip.Socket, addr string) {
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.LocalAddr().String()
	_ = l.Close()
	if s, err = gossip.Listen(addr); err != nil {
		t.Fatal(err)
	}
	return s, addr
}

// TestLongReportsAreSplit sends more changes than fit one datagram, after bytes that are not a message.
func TestLongReportsAreSplit(t *testing.T) {
	from, _ := listen(t)
	to, addr := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	messages, faults := make(chan gossip.Message, 100), make(chan error, 1)
	go to.Run(ctx, func(m gossip.Message) { messages <- m }, func(err error) { faults <- err })
	raw, err := net.Dial("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(raw, "no message")
	if err := <-faults; err == nil {
		t.Error("no error for bytes that are not a message")
	}
	want := gossip.Message{ID: "a", Heartbeat: true, Reports: []gossip.Report{{Holder: "h", Epoch: 1, AgeMS: 700, Next: 900}}, Loads: []gossip.Load{{Upstream: "u", Requests: 2}}}
	for i := range 300 {
		want.Reports[0].Changes = append(want.Reports[0].Changes, gossip.Change{Key: uint64(i), Tokens: i})
	}
	if err := from.Send([]string{addr}, want); err != nil {
		t.Fatal(err)
	}
	got := gossip.Message{ID: "a", Heartbeat: true, Reports: []gossip.Report{{Holder: "h", Epoch: 1}}}
	beats := 0
	for len(got.Reports[0].Changes) < 300 {
		select {
		case m := <-messages:
			if m.Heartbeat {
				beats++
				got.Loads = m.Loads
			}
			for _, r := range m.Reports {
				if r.Next > 0 && got.Reports[0].Next > 0 {
					t.Error("two parts tell the position")
				}
				got.Reports[0].AgeMS, got.Reports[0].Next = r.AgeMS, max(got.Reports[0].Next, r.Next)
				got.Reports[0].Changes = append(got.Reports[0].Changes, r.Changes...)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("parts are missing")
		}
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(gossip.Report{}, gossip.Change{}, gossip.Load{}), cmpopts.SortSlices(func(a, b gossip.Change) bool { return a.Key < b.Key })); diff != "" {
		t.Errorf("message (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, beats); diff != "" {
		t.Errorf("heartbeats (-want +got):\n%s", diff)
	}
}

// TestUnreachableEntryDoesNotBlockOthers sends a message of many datagrams to an invalid address and to a valid one.
// The error of the first must not stop the sends to the second.
func TestUnreachableEntryDoesNotBlockOthers(t *testing.T) {
	from, _ := listen(t)
	to, addr := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	messages := make(chan gossip.Message, 100)
	go to.Run(ctx, func(m gossip.Message) { messages <- m }, func(error) {})
	m := gossip.Message{ID: "a", Reports: []gossip.Report{{Holder: "h", Epoch: 1}}}
	for i := range 300 {
		m.Reports[0].Changes = append(m.Reports[0].Changes, gossip.Change{Key: uint64(i), Tokens: i})
	}
	if err := from.Send([]string{"nowhere", addr}, m); err == nil {
		t.Error("no error for an invalid address")
	}
	changes := 0
	for changes < 300 {
		select {
		case got := <-messages:
			for _, r := range got.Reports {
				changes += len(r.Changes)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("%d of 300 changes arrived", changes)
		}
	}
}

// TestEachDatagramDescribesItsSender splits a long message. Each datagram replaces what is known of its sender, so that one without the cache scope
// made the sender an entry that shares context in another one.
func TestEachDatagramDescribesItsSender(t *testing.T) {
	m := gossip.Message{ID: "a", Address: "b", Zone: "z", State: 1, Boot: 2, Partitioned: true, Version: 3, Relays: true, Scope: "*4", Number: 5, Heartbeat: true}
	want := m
	m.Reports = []gossip.Report{{Holder: "h", Epoch: 1}}
	for i := range 300 {
		m.Reports[0].Changes = append(m.Reports[0].Changes, gossip.Change{Key: uint64(i), Tokens: i})
	}
	datagrams, err := gossip.Encode(m)
	if err != nil || len(datagrams) < 2 {
		t.Fatalf("%d datagrams, error %v", len(datagrams), err)
	}
	for i, b := range datagrams {
		var got gossip.Message
		if err := cbor.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		got = gossip.Message{
			ID: got.ID, Address: got.Address, Zone: got.Zone, State: got.State, Boot: got.Boot, Partitioned: got.Partitioned, Version: got.Version,
			Relays: got.Relays, Scope: got.Scope, Number: got.Number, Heartbeat: true,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("datagram %d (-want +got):\n%s", i, diff)
		}
	}
}
