package node_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/node"
	"cicadavalve/core/once"
	"cicadavalve/core/roster"
	"cicadavalve/core/rules"
	"cicadavalve/core/sched"
)

var epoch = time.Date(2026, 12, 5, 18, 0, 0, 0, time.UTC)

func newNode() *node.Node {
	return node.NewNode(node.Settings{Entry: "entry-0", Incarnation: "boot", Zone: "zone-0", Seed: 1})
}

func heapAlloc() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// reportGrowth reports the heap retained by the node that build returns, per item.
func reportGrowth(b *testing.B, unit string, items int, build func() *node.Node) {
	b.Helper()
	before := heapAlloc()
	n := build()
	b.ReportMetric((float64(heapAlloc())-float64(before))/float64(items), unit)
	runtime.KeepAlive(n)
}

func upstreams(count int) (list []sched.Upstream) {
	for i := range count {
		list = append(list, sched.Upstream{
			ID: ident.UpstreamID(fmt.Sprintf("engine-%d", i)), Role: sched.RoleEngine,
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Zone: ident.Zone(fmt.Sprintf("zone-%d", i%29)),
		})
	}
	return list
}

func loadMsg(i int) sched.LoadMsg {
	return sched.LoadMsg{
		Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", i)),
		Load: sched.Load{
			BootID: "boot", Running: i % 16,
			Loaded: []sched.Loaded{{Model: ident.ModelName(fmt.Sprintf("model-%d", i%14)), Version: "v1"}},
		},
	}
}

// BenchmarkUpstreams handles one load report; bytes/upstream is the heap that the node retains per upstream.
func BenchmarkUpstreams(b *testing.B) {
	for _, count := range []int{12, 300, 2700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			build := func() *node.Node {
				n := newNode()
				n.Update(epoch, sched.UpstreamsMsg{Upstreams: upstreams(count)})
				for i := range count {
					n.Update(epoch, loadMsg(i))
				}
				return n
			}
			n := build()
			msg := loadMsg(count / 2)
			now := epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				n.Update(now, msg)
			}
			reportGrowth(b, "bytes/upstream", count, build)
		})
	}
}

// BenchmarkMembers folds one join into a roster; bytes/member is the heap that the node retains per entry.
func BenchmarkMembers(b *testing.B) {
	for _, count := range []int{7, 90, 360} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			build := func() *node.Node {
				n := newNode()
				for i := range count {
					n.Update(epoch, joinBatch(b, i, int64(i)))
				}
				return n
			}
			n := build()
			offset := int64(count)
			for b.Loop() {
				n.Update(epoch, joinBatch(b, int(offset)%count, offset))
				offset++
			}
			reportGrowth(b, "bytes/member", count, build)
		})
	}
}

func joinBatch(b *testing.B, i int, offset int64) ledger.BatchMsg {
	b.Helper()
	m := roster.Member{
		Entry: ident.EntryID(fmt.Sprintf("entry-%d", i)), Incarnation: ident.BootID(fmt.Sprintf("boot-%d", offset)),
		Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250),
		Zone: ident.Zone(fmt.Sprintf("zone-%d", i%29)),
	}
	rec, err := ledger.NewRecord(fmt.Sprintf("join-%d", offset), roster.KindJoin, string(m.Entry), m)
	if err != nil {
		b.Fatal(err)
	}
	return ledger.BatchMsg{
		Stream: ledger.StreamRoster, Entries: []ledger.Entry{{Offset: offset, Record: rec}}, Next: offset + 1,
	}
}

// BenchmarkKeys folds the start and the end of one once-only call of another entry;
// bytes/key is the heap that the node retains per call.
func BenchmarkKeys(b *testing.B) {
	for _, count := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			build := func() *node.Node {
				n := newNode()
				for i := range count {
					n.Update(epoch, callBatch(b, i))
				}
				return n
			}
			n := newNode()
			i := 0
			for b.Loop() {
				n.Update(epoch, callBatch(b, i))
				i++
			}
			reportGrowth(b, "bytes/key", count, build)
		})
	}
}

// callBatch returns the start and the end record of once-only call i.
func callBatch(b *testing.B, i int) ledger.BatchMsg {
	b.Helper()
	attempt := fmt.Sprintf("attempt-%08d", i)
	body := once.Body{
		Key: once.Key{Org: "org", Key: fmt.Sprintf("booking-%08d", i)}, Digest: strings.Repeat("d", 64),
		Attempt: attempt, Entry: "entry-1", Incarnation: "boot",
	}
	offset := int64(2 * i)
	entries := []ledger.Entry{{Offset: offset, Record: callRecord(b, attempt, once.KindStart, body)}}
	body.Result = &once.Result{Status: 200, ContentType: "application/json", Body: []byte(strings.Repeat("r", 100))}
	entries = append(entries, ledger.Entry{Offset: offset + 1, Record: callRecord(b, attempt+"/done", once.KindDone, body)})
	return ledger.BatchMsg{Stream: once.StreamOnce, Entries: entries, Next: offset + 2}
}

func callRecord(b *testing.B, id string, kind ledger.Kind, body once.Body) ledger.Record {
	b.Helper()
	rec, err := ledger.NewRecord(id, kind, "entry-1", body)
	if err != nil {
		b.Fatal(err)
	}
	return rec
}

// BenchmarkRules applies one change of the operator's file; bytes/rule is the heap that the node retains per rule.
func BenchmarkRules(b *testing.B) {
	for _, orgs := range []int{10, 130, 1300} {
		b.Run(fmt.Sprint(orgs), func(b *testing.B) {
			text := rulesText(orgs)
			set, faults := rules.Parse(text)
			if len(faults) > 0 {
				b.Fatal(faults[0])
			}
			n := newNode()
			version := int64(0)
			for b.Loop() {
				version++
				n.Update(epoch, sched.RulesMsg{Version: version, Text: text})
			}
			reportGrowth(b, "bytes/rule", len(set.Rules()), func() *node.Node {
				n := newNode()
				n.Update(epoch, sched.RulesMsg{Version: 1, Text: text})
				return n
			})
			b.ReportMetric(float64(len(text))/float64(len(set.Rules())), "text_bytes/rule")
		})
	}
}

func rulesText(orgs int) string {
	var t strings.Builder
	for i := range 14 {
		fmt.Fprintf(&t, "route model model-%d class interactive  # asked by: lab\n", i)
		fmt.Fprintf(&t, "serve model model-%d version v1  # asked by: lab\n", i)
	}
	for i := range orgs {
		fmt.Fprintf(&t, "limit organisation org-%d share 1%%  # asked by: sales\n", i)
	}
	return t.String()
}
