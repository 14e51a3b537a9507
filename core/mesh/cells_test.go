package mesh_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
)

// network is a fleet whose entries all know each other.
type network struct {
	peers  []mesh.Peer
	models map[string]*mesh.Model
	// sent counts the datagrams of each entry, if each hop is one.
	sent map[string]int
}

func newNetwork(start time.Time, entries, zones int, relays func(i int) bool) *network {
	n := &network{models: map[string]*mesh.Model{}, sent: map[string]int{}}
	for i := range entries {
		n.peers = append(n.peers, mesh.Peer{
			ID: fmt.Sprintf("10.%d.0.%d:7700", i%zones, i/zones), Zone: ident.Zone(fmt.Sprint("zone", i%zones)), State: mesh.Ready, Relays: relays(i),
		})
	}
	for _, self := range n.peers {
		m := mesh.NewModel(start, self)
		for _, p := range n.peers {
			m.Update(start, mesh.HeartbeatMsg{Peer: p})
		}
		n.models[self.ID] = m
	}
	return n
}

// send sends a heartbeat and returns how often each entry gets it. Entries that have failed pass nothing on.
func (n *network) send(now time.Time, from string, number int64, failed map[string]bool) (received map[string]int) {
	received = map[string]int{}
	paths := n.models[from].Paths(now, number)
	n.sent[from] += len(paths.Direct) + len(paths.Relayed)
	for _, id := range paths.Direct {
		received[id]++
	}
	for _, hop := range paths.Relayed {
		received[hop.Relay]++
		if failed[hop.Relay] {
			continue
		}
		for _, id := range n.models[hop.Relay].Members(now, hop.Cell) {
			n.sent[hop.Relay]++
			if id != from {
				received[id]++
			}
		}
	}
	return received
}

// TestEachEntryGetsEachHeartbeatOnce sends heartbeats in fleets of any size, some of whose entries are of a build that passes none on.
func TestEachEntryGetsEachHeartbeatOnce(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		older := rapid.IntRange(0, 3).Draw(t, "entries of ten of an older build")
		n := newNetwork(start, rapid.IntRange(1, 120).Draw(t, "entries"), rapid.IntRange(1, 7).Draw(t, "zones"), func(i int) bool { return i%10 >= older })
		from := rapid.SampledFrom(n.peers).Draw(t, "sender").ID
		want := map[string]int{}
		for _, p := range n.peers {
			if p.ID != from {
				want[p.ID] = 1
			}
		}
		got := n.send(start, from, rapid.Int64Range(0, 9).Draw(t, "number"), nil)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("copies received (-want +got):\n%s", diff)
		}
	})
}

// TestFailedRelayLosesNoTwoHeartbeats lets an entry fail that the others still take for alive.
func TestFailedRelayLosesNoTwoHeartbeats(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	n := newNetwork(start, 120, 3, func(int) bool { return true })
	for _, failed := range n.peers[:12] {
		for _, from := range n.peers[30:40] {
			missed := map[string]int{}
			for number := range int64(9) {
				got := n.send(start, from.ID, number, map[string]bool{failed.ID: true})
				for _, p := range n.peers {
					if p.ID == from.ID || got[p.ID] > 0 {
						missed[p.ID] = 0
					} else if missed[p.ID]++; missed[p.ID] > 1 {
						t.Fatalf("%s misses two heartbeats of %s in a row while %s has failed", p.ID, from.ID, failed.ID)
					}
				}
			}
		}
	}
}

// TestHeartbeatsOfLargeFleetsAreFew sends one heartbeat of each entry. What an entry sends must grow with the square root of the fleet,
// also that of the busiest relay.
func TestHeartbeatsOfLargeFleetsAreFew(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	for _, entries := range []int{100, 300, 1000} {
		n := newNetwork(start, entries, 5, func(int) bool { return true })
		crossing, most := 0, 0
		for _, p := range n.peers {
			for _, hop := range n.models[p.ID].Paths(start, 1).Relayed {
				if hop.Cell.Zone != p.Zone {
					crossing++
				}
			}
		}
		// A relay passes the heartbeats of one cell on together, so that it sends one datagram to each member for each cell.
		jobs := map[string]map[string]bool{}
		for _, p := range n.peers {
			for _, hop := range n.models[p.ID].Paths(start, 1).Relayed {
				if jobs[hop.Relay] == nil {
					jobs[hop.Relay] = map[string]bool{}
				}
				jobs[hop.Relay][fmt.Sprint(hop.Cell)] = true
			}
		}
		for _, p := range n.peers {
			sent := len(n.models[p.ID].Paths(start, 1).Relayed)
			for range jobs[p.ID] {
				sent += int(math.Sqrt(float64(entries)))
			}
			most = max(most, sent)
		}
		root := math.Sqrt(float64(entries))
		t.Logf("%d entries: at most %d datagrams an interval, %.1f copies of a heartbeat cross zones", entries, most, float64(crossing)/float64(entries))
		if float64(most) > 4*root || float64(crossing) > 2*root*float64(entries) {
			t.Errorf("%d entries: an entry sends %d datagrams an interval, %d copies of all heartbeats cross zones", entries, most, crossing)
		}
	}
}

// TestOvertakenHeartbeatIsIgnored applies heartbeats in the wrong order, and one of the next incarnation.
func TestOvertakenHeartbeatIsIgnored(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	m := mesh.NewModel(now, mesh.Peer{ID: "self"})
	states := []mesh.State{}
	for _, msg := range []mesh.HeartbeatMsg{
		{Peer: mesh.Peer{ID: "p", Boot: 1, State: mesh.Leaving}, Number: 5},
		{Peer: mesh.Peer{ID: "p", Boot: 1, State: mesh.Ready}, Number: 4},
		{Peer: mesh.Peer{ID: "p", Boot: 2, State: mesh.Ready}, Number: 1},
		{Peer: mesh.Peer{ID: "p", Boot: 2, State: mesh.Leaving}},
	} {
		m.Update(now, msg)
		states = append(states, m.Alive(now)[0].State)
	}
	if diff := cmp.Diff([]mesh.State{mesh.Leaving, mesh.Leaving, mesh.Ready, mesh.Leaving}, states); diff != "" {
		t.Errorf("states after each message (-want +got):\n%s", diff)
	}
}

// TestSilentEntriesAreFoundInTurn lets most of a fleet fall silent and asks for a few of them again and again.
func TestSilentEntriesAreFoundInTurn(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	m, want, got := mesh.NewModel(start, mesh.Peer{ID: "self"}), map[string]bool{}, map[string]bool{}
	for i := range 50 {
		id := fmt.Sprint("silent", i)
		want[id] = true
		m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: id, State: mesh.Ready}})
	}
	m.Update(start, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "left", State: mesh.Leaving}})
	later := start.Add(5 * time.Second)
	m.Update(later, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: "alive", State: mesh.Ready}})
	for range 25 {
		for _, id := range m.NextSilent(later, 2) {
			got[id] = true
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("entries found in 25 calls (-want +got):\n%s", diff)
	}
}
