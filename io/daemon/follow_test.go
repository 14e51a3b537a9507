package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
)

// TestNewEntryOfALargeFleetWaitsBeforeItFollows starts an entry that has heard few of the others, of which the store lists many or few.
func TestNewEntryOfALargeFleetWaitsBeforeItFollows(t *testing.T) {
	got, want := map[int][]bool{}, map[int][]bool{0: {false, true}, 7: {true, true}, 90: {false, true}}
	for announced := range want {
		now := time.Now()
		d := newFleet(Settings{}, 3, now)[0]
		d.applyConfig(conf.Data{Version: 1, Services: []conf.Service{{Name: "app", Engine: &conf.Engine{}}}})
		for i := range 30 {
			d.applyUpstream(now, upstream(ident.UpstreamID(fmt.Sprint("u", i)), 1))
		}
		d.setAnnounced(announced)
		for _, after := range []time.Duration{0, 2 * time.Second} {
			got[announced] = append(got[announced], len(d.ownHolders(now.Add(after))) > 0)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("owns holders at the start and later, by the entries listed (-want +got):\n%s", diff)
	}
}

// TestIsolatedEntryTakesOverHoldersGradually lets an entry that receives no heartbeats own 170 holders.
// It must not request all their lists at once.
func TestIsolatedEntryTakesOverHoldersGradually(t *testing.T) {
	f := newFollowers(nil)
	own := map[string]bool{}
	for i := range 170 {
		own[fmt.Sprint("holder", i)] = false
	}
	start := time.Unix(1000, 0)
	var got []int
	for _, after := range []time.Duration{0, assignInterval, 10 * time.Second} {
		taken := f.takeOver(start.Add(after), own)
		for _, addr := range taken {
			f.running[addr] = func() {}
		}
		got = append(got, len(taken))
	}
	share := map[string]bool{"a": false, "b": true, "c": false}
	got = append(got, len(f.takeOver(start.Add(10*time.Second), share)))
	if diff := cmp.Diff([]int{4, 0, 4, 3}, got); diff != "" {
		t.Errorf("taken at once, after an interval, after ten seconds, and of a share of three (-want +got):\n%s", diff)
	}
}

// followedEngines answer followers with all changes from the position that they ask for.
type followedEngines struct {
	port.Engines
	boot    int64
	changes int
}

func (e *followedEngines) Follow(_ context.Context, _ string, from int64, _ time.Duration) (h port.Holdings, err error) {
	h = port.Holdings{Boot: e.boot, Next: int64(e.changes)}
	for i := from; i < h.Next; i++ {
		h.Parts = append(h.Parts, port.PartState{ID: fmt.Sprint("part", i), Tokens: 100})
	}
	return h, nil
}

func (e *followedEngines) List(ctx context.Context, addr string) (h port.Holdings, err error) {
	return e.Follow(ctx, addr, 0, 0)
}

// TestHolderThatChangesHandsIsNotToldAnew lets one entry follow a holder, and then another one, and counts the changes that the second
// one tells.
func TestHolderThatChangesHandsIsNotToldAnew(t *testing.T) {
	cases := []struct {
		name    string
		entries int
		store   bool
		// after is how long after the first entry's report the second one begins, boot the incarnation that it finds.
		after time.Duration
		boot  int64
		want  int
	}{
		{"engine", 10, false, time.Second, 1, 5},
		{"store", 10, true, time.Second, 1, 5},
		{"few entries", 3, false, time.Second, 1, 305},
		{"long ago", 10, false, 2 * positionTTL, 1, 305},
		{"another incarnation", 10, false, time.Second, 2, 305},
	}
	for _, c := range cases {
		now, engines := clock.Now(), &followedEngines{boot: 1, changes: 300}
		fleet := newFleet(Settings{}, c.entries, now)
		daemons := make([]*Daemon, 2)
		for i := range daemons {
			daemons[i] = &Daemon{engines: engines, log: slog.New(slog.DiscardHandler), controller: fleet[i]}
		}
		daemons[0].newFollower(now, "holder", c.store).step(t.Context())
		told, _ := fleet[0].message(now)
		fleet[1].applyMessage(now, told)
		engines.boot, engines.changes = c.boot, 305
		now = now.Add(c.after)
		for i := range fleet {
			fleet[1].applyMessage(now, gossip.Message{ID: fmt.Sprint("entry-", i), State: int(mesh.Ready), Boot: 1})
		}
		second := daemons[1].newFollower(now, "holder", c.store)
		for range 3 {
			second.step(t.Context())
		}
		got := 0
		told, _ = fleet[1].message(now)
		for _, r := range told.Reports {
			got += len(r.Changes)
		}
		if got != c.want {
			t.Errorf("%s: the second entry tells %d changes, want %d", c.name, got, c.want)
		}
	}
}
