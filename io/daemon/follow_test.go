package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

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
