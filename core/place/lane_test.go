package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/lane"
	"cicadavalve/core/place"
)

// TestLongPromptsStayOffEnginesOfStreams replays long prompts among short ones whose streams pause for too long: from then on no engine may get
// both, and an entry's long prompts go to few engines, of whose load it knows. Before that, and where streams are in time, engines get both.
func TestLongPromptsStayOffEnginesOfStreams(t *testing.T) {
	const engines = 30
	type result struct {
		// Both counts the engines that got long and short prompts, Long those that got long ones.
		Both, Long int
		Unserved   int
	}
	replay := func(pause time.Duration) (r result) {
		b := newBench(engines, 1_000_000)
		b.place = place.NewModel(b.fleet, b.index, rand.New(rand.NewPCG(1, 1)), place.WithLanes(lane.NewModel()))
		b.place.SetConfig(conf.NewSet(conf.Data{Services: b.set.Services(), Routes: []conf.Route{
			{Objective: time.Second, MaxGap: 400 * time.Millisecond, Shares: []conf.Share{{Service: "llm", Weight: 1}}},
		}}))
		b.place.SetMembers(place.Members{Self: "self", Sharers: []string{"self"}, Zone: "z", ReportInterval: 400 * time.Millisecond})
		long, short := map[ident.UpstreamID]bool{}, map[ident.UpstreamID]bool{}
		for i := range 600 {
			now, ticket := start.Add(time.Duration(i)*50*time.Millisecond), place.Ticket(i+1)
			tokens := 500
			if i%4 == 0 {
				tokens = 12_000
			}
			n := need(ticket, now, tokens, fmt.Sprint("doc", i%200), time.Second)
			n.MaxGap, n.Stream = 400*time.Millisecond, true
			sent := sends(b.place.Update(now, place.ArriveMsg{Need: n}))
			if len(sent) == 0 {
				r.Unserved++
				continue
			}
			if i >= 200 {
				map[bool]map[ident.UpstreamID]bool{true: long, false: short}[tokens > 500][sent[0].Upstream.ID] = true
			}
			first := now.Add(40*time.Millisecond + time.Duration(tokens)*12*time.Microsecond)
			b.place.Update(first, place.FirstByteMsg{Ticket: ticket})
			b.place.Update(first, place.PauseMsg{Ticket: ticket, Pause: pause})
			b.place.Update(first, place.EndMsg{Ticket: ticket})
		}
		r.Long = len(long)
		for id := range long {
			if short[id] {
				r.Both++
			}
		}
		return r
	}
	late, inTime := replay(500*time.Millisecond), replay(300*time.Millisecond)
	if diff := cmp.Diff(result{Both: 0, Long: late.Long}, late); diff != "" || late.Long > engines/2 {
		t.Errorf("streams pause too long: %d engines for long prompts (-want +got):\n%s", late.Long, diff)
	}
	if inTime.Both == 0 || inTime.Unserved > 0 {
		t.Errorf("streams in time: %+v, engines are divided without need", inTime)
	}
}

// TestLongPromptsSpreadWhenTheirEnginesAreOut takes all engines for long prompts out of service: their prompts must go to the others.
func TestLongPromptsSpreadWhenTheirEnginesAreOut(t *testing.T) {
	b := newBench(12, 1_000_000)
	lanes := lane.NewModel()
	for range 40 {
		lanes.ObserveStream(start, "llm", true)
	}
	b.place = place.NewModel(b.fleet, b.index, rand.New(rand.NewPCG(1, 1)), place.WithLanes(lanes))
	b.place.SetConfig(conf.NewSet(conf.Data{Services: b.set.Services(), Routes: []conf.Route{
		{Objective: time.Second, MaxGap: 400 * time.Millisecond, Shares: []conf.Share{{Service: "llm", Weight: 1}}},
	}}))
	b.place.SetMembers(place.Members{Self: "self", Sharers: []string{"self"}, Zone: "z", ReportInterval: 400 * time.Millisecond})
	used := map[ident.UpstreamID]int{}
	for i := range 40 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		n := need(place.Ticket(i+1), now, 12_000, fmt.Sprint("doc", i), time.Second)
		var avoid []ident.UpstreamID
		for id := range used {
			avoid = append(avoid, id)
		}
		for _, s := range sends(b.place.Update(now, place.ArriveMsg{Need: n, Avoid: avoid})) {
			used[s.Upstream.ID]++
		}
		b.place.Update(now, place.EndMsg{Ticket: n.Ticket, Outcome: place.Cancelled})
	}
	if diff := cmp.Diff(12, len(used)); diff != "" {
		t.Errorf("engines that got a long prompt once the ones before were avoided (-want +got):\n%s", diff)
	}
}
