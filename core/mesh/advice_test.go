package mesh_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
)

// TestCallersOfALargeFleetUseAllEntries asks for callers of all zones, of which each takes one of the named entries at random. No entry may
// be left out, nor get three times as many callers as there are for each.
func TestCallersOfALargeFleetUseAllEntries(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	const callers, limit = 600, 64
	for _, c := range []struct{ entries, zones int }{{40, 2}, {90, 3}, {295, 5}, {400, 2}} {
		n := newNetwork(start, c.entries, c.zones, func(int) bool { return true })
		load := map[string]float64{}
		for i := range callers {
			zone := ident.Zone(fmt.Sprint("zone", i%c.zones))
			advised := n.models[n.peers[i%c.entries].ID].Advise(start, fmt.Sprint("10.9.0.", i), zone, limit)
			if len(advised) != min(c.entries, limit) {
				t.Fatalf("%d entries: %d are named", c.entries, len(advised))
			}
			for _, p := range advised {
				load[p.ID] += 1 / float64(len(advised))
			}
		}
		for _, p := range n.peers {
			if share := load[p.ID] / callers * float64(c.entries); share < 0.3 || share > 3 {
				t.Errorf("%d entries in %d zones: %s gets %.2f times its part of the callers", c.entries, c.zones, p.ID, share)
			}
		}
	}
}

// TestCallersStayAtTheirZoneAndEntries loses one entry, and most of a zone.
func TestCallersStayAtTheirZoneAndEntries(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	n := newNetwork(start, 295, 5, func(int) bool { return true })
	m := n.models["10.0.0.0:7700"]
	of := func(zone ident.Zone) (ids []string, own int) {
		for _, p := range m.Advise(start, "10.9.0.1", zone, 64) {
			ids = append(ids, p.ID)
			if p.Zone == zone {
				own++
			}
		}
		return ids, own
	}
	before, own := of("zone1")
	if own != 59 {
		t.Errorf("%d of 59 entries of the caller's zone are named", own)
	}
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: before[0], Zone: "zone1", State: mesh.Leaving}})
	after, _ := of("zone1")
	kept := slices.DeleteFunc(slices.Clone(before), func(id string) bool { return !slices.Contains(after, id) })
	if diff := cmp.Diff(before[1:], kept); diff != "" {
		t.Errorf("entries still named after one has left (-want +got):\n%s", diff)
	}
	for _, p := range n.peers {
		if p.Zone == "zone1" && p.ID > "10.1.0.3" {
			m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: p.ID, Zone: p.Zone, State: mesh.Leaving}})
		}
	}
	if named, own := of("zone1"); len(named) != 64 || own == 0 {
		t.Errorf("%d entries are named after most of the zone has left, %d of it", len(named), own)
	}
}
