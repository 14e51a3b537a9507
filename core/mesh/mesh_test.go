package mesh_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
)

func TestServingExcludesSilentAndLeavingEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	m := mesh.NewModel(start, mesh.Peer{ID: "self", State: mesh.Ready})
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "ready", State: mesh.Ready, Boot: 2}})
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "leaving", State: mesh.Leaving}})
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "ready", State: mesh.Starting, Boot: 1}}) // A delayed datagram of an earlier boot.
	got := [][]string{mesh.IDs(m.Serving(start)), mesh.IDs(m.Alive(start)), mesh.IDs(m.Serving(start.Add(2 * time.Second)))}
	want := [][]string{{"ready", "self"}, {"leaving", "ready", "self"}, {"self"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("serving, alive, serving later (-want +got):\n%s", diff)
	}
}

// TestSilentEntriesStillShare lets entries fall silent. One that was leaving has gone; the other may only be cut off.
func TestSilentEntriesStillShare(t *testing.T) {
	start := time.Unix(1000, 0)
	m := mesh.NewModel(start, mesh.Peer{ID: "self", State: mesh.Ready})
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "cut", State: mesh.Ready}})
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "leaving", State: mesh.Leaving}})
	var got [][]string
	var known []bool
	for _, after := range []time.Duration{0, 2 * time.Second, time.Hour} {
		sharers, ok := m.Sharers(start.Add(after), time.Minute)
		got, known = append(got, mesh.IDs(sharers)), append(known, ok)
	}
	if diff := cmp.Diff([][]string{{"cut", "leaving", "self"}, {"cut", "self"}, {"self"}}, got); diff != "" {
		t.Errorf("sharers at once, after the silence and after the memory (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]bool{false, true, true}, known); diff != "" {
		t.Errorf("known (-want +got):\n%s", diff)
	}
}

// TestNeighbourSeen asks when another entry in the zone of an entry last sent a heartbeat that arrived.
func TestNeighbourSeen(t *testing.T) {
	start := time.Unix(1000, 0)
	m := mesh.NewModel(start, mesh.Peer{ID: "self", Zone: "z0"})
	for i, id := range []string{"a", "b", "c"} {
		m.Update(start.Add(time.Duration(i)*time.Second), mesh.HeartbeatMsg{Peer: mesh.Peer{ID: id, Zone: map[string]ident.Zone{"a": "z1", "b": "z1", "c": "z2"}[id]}})
	}
	got := map[string]time.Time{}
	for _, id := range []string{"a", "b", "c", "unknown"} {
		got[id] = m.NeighbourSeen(id)
	}
	want := map[string]time.Time{"a": start.Add(time.Second), "b": start, "c": {}, "unknown": {}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("seen (-want +got):\n%s", diff)
	}
}
