package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/reach"
)

// TestUnreachablePeersAreTriedNowAndThen hands 30 requests a second over, while connections to some of ten entries fail, and after that.
func TestUnreachablePeersAreTriedNowAndThen(t *testing.T) {
	type result struct {
		// Most is set if more than one in twenty requests met an entry out of reach, Few if under half met one that is reached,
		// Back if all did a while after the connections succeeded again.
		Most, Few, Back bool
	}
	var serving []string
	for i := range 10 {
		serving = append(serving, fmt.Sprint("entry-", i))
	}
	got := map[int]result{}
	for _, lost := range []int{0, 1, 2, 10} {
		now, m := time.Unix(1000, 0), reach.NewPeerModel(rand.New(rand.NewPCG(1, 1)))
		offer := func(isLost func(id string) bool) (failed, reached int) {
			for range 300 {
				now = now.Add(time.Second / 30)
				if id, ok := m.Choose(now, serving, nil); ok {
					if isLost(id) {
						failed++
					} else {
						reached++
					}
					m.Update(now, reach.PeerTriedMsg{ID: id, Reached: !isLost(id)})
				}
			}
			return failed, reached
		}
		failed, reached := offer(func(id string) bool { return id < fmt.Sprint("entry-", lost) || lost == len(serving) })
		offer(func(string) bool { return false })
		_, back := offer(func(string) bool { return false })
		got[lost] = result{failed > 15, reached < 150, back == 300}
	}
	want := map[int]result{0: {Back: true}, 1: {Back: true}, 2: {Back: true}, 10: {Few: true, Back: true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("by the number of entries out of reach (-want +got):\n%s", diff)
	}
}
