package mesh_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/mesh"
)

func TestServingExcludesSilentAndLeavingEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	m := mesh.NewModel(mesh.Peer{ID: "self", State: mesh.Ready})
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "ready", State: mesh.Ready, Boot: 2}})
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "leaving", State: mesh.Leaving}})
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "ready", State: mesh.Starting, Boot: 1}}) // A delayed datagram of an earlier boot.
	got := [][]string{mesh.IDs(m.Serving(start)), mesh.IDs(m.Alive(start)), mesh.IDs(m.Serving(start.Add(2 * time.Second)))}
	want := [][]string{{"ready", "self"}, {"leaving", "ready", "self"}, {"self"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("serving, alive, serving later (-want +got):\n%s", diff)
	}
}
