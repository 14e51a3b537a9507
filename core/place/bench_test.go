package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
	"cicadavalve/core/share"
)

// BenchmarkPlace places prompts of three parts on engines that have many of them cached, with the loads of other
// entries reported.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct {
		engines, stores, entries int
		shares                   bool
	}{{12, 5, 6, false}, {140, 31, 75, false}, {12, 5, 6, true}, {140, 31, 75, true}} {
		b.Run(fmt.Sprintf("engines=%d,shares=%v", size.engines, size.shares), func(b *testing.B) {
			stores := make([]conf.Store, size.stores)
			for i := range stores {
				stores[i] = conf.Store{Address: fmt.Sprint("s", i), Zone: "z", Capacity: 1 << 20, Link: 100e9}
			}
			bench := newBench(size.engines, 1<<20, stores...)
			rng := rand.New(rand.NewPCG(1, 2))
			if size.shares {
				place.WithShares(share.NewModel(rng))(bench.place)
			}
			for i := range stores {
				bench.index.Update(start, parts.ReportMsg{Holder: parts.Holder(stores[i].Address), Epoch: 1, At: start})
			}
			for e := range size.entries {
				msg := place.PeerMsg{Peer: fmt.Sprint("entry", e)}
				for range 10 {
					msg.Loads = append(msg.Loads, place.Load{Upstream: engineID(rng.IntN(size.engines)), Requests: 1, Backlog: 100, Memory: 100})
				}
				bench.place.Update(start, msg)
			}
			ticket, orgs := place.Ticket(0), [24]ident.OrgID{}
			for i := range orgs {
				orgs[i] = ident.OrgID(fmt.Sprint("org", i))
			}
			for b.Loop() {
				ticket++
				n := need(ticket, start, 2000, fmt.Sprint("doc", rng.IntN(600)), time.Minute)
				n.Org = orgs[ticket%24]
				n.Chain = append([]conf.Part{{ID: fmt.Sprint("common", rng.IntN(8)), Tokens: 300}}, n.Chain...)
				bench.place.Update(start, place.ArriveMsg{Need: n})
				bench.place.Update(start, place.FirstByteMsg{Ticket: ticket})
				bench.place.Update(start, place.EndMsg{Ticket: ticket})
			}
		})
	}
}
