package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

func candidates(n int) (list []*route.Candidate) {
	for i := range n {
		id := ident.UpstreamID(fmt.Sprintf("engine-%d", i))
		list = append(list, &route.Candidate{ID: id, Hash: route.HashID(id), Zone: "a"})
	}
	return list
}

func affinity(seed uint64) route.Policy {
	return route.New(route.NameAffinity, rand.New(rand.NewPCG(seed, seed)))
}

// TestEntriesAgreeOnAPrompt checks that entries with different seeds choose the same idle upstream for a prompt.
func TestEntriesAgreeOnAPrompt(t *testing.T) {
	list := candidates(12)
	for root := range uint64(100) {
		need := route.Need{Zone: "a", Key: route.Key("one", "v1", root), PromptTokens: 4096}
		want := affinity(1).Pick(time.Time{}, need, list)
		for entry := range uint64(5) {
			if diff := cmp.Diff(want, affinity(entry+2).Pick(time.Time{}, need, list)); diff != "" {
				t.Errorf("prompt %d, entry %d (-want +got):\n%s", root, entry, diff)
			}
		}
	}
}

// TestStaleLoadDoesNotCrowdOneUpstream routes many requests on one stale load report in which one
// upstream is idle and the others are busy.
func TestStaleLoadDoesNotCrowdOneUpstream(t *testing.T) {
	list := candidates(12)
	for _, c := range list[1:] {
		c.Others = 10
	}
	const requests = 1200
	picked := 0
	policy := affinity(1)
	for root := range uint64(requests) {
		need := route.Need{Zone: "a", Key: route.Key("one", "v1", root), PromptTokens: 64}
		if policy.Pick(time.Time{}, need, list) == 0 {
			picked++
		}
	}
	// Each request considers four of the twelve upstreams.
	if picked > requests/2 {
		t.Errorf("%d of %d requests went to one upstream", picked, requests)
	}
}

// TestBusyHomeSpills checks that a long backlog on the first choice moves a prompt to another upstream, and that
// an idle holder of the prompt is chosen.
func TestBusyHomeSpills(t *testing.T) {
	list := candidates(12)
	need := route.Need{Zone: "a", Key: route.Key("one", "v1", 7), PromptTokens: 4096}
	home := affinity(1).Pick(time.Time{}, need, list)
	list[home].Backlog = 20 * need.PromptTokens
	spilled := affinity(1).Pick(time.Time{}, need, list)
	if spilled == home {
		t.Error("the busy first choice is still chosen")
	}
	need.Holders[0] = route.Holder{Hash: list[home].Hash, Tokens: need.PromptTokens}
	list[home].Backlog = 0
	if diff := cmp.Diff(home, affinity(1).Pick(time.Time{}, need, list)); diff != "" {
		t.Errorf("idle upstream that holds the prompt (-want +got):\n%s", diff)
	}
}
