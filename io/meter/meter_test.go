package meter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/meter"
)

func key(org int) meter.Key {
	return meter.Key{Org: ident.OrgID(fmt.Sprintf("org-%d", org)), Class: ident.Interactive, Measure: meter.FirstToken}
}

// TestPackedHistogramsKeepEveryObservation uses more organisations than there are histograms at full size, so that most
// are packed and unpacked between observations.
func TestPackedHistogramsKeepEveryObservation(t *testing.T) {
	const orgs, rounds = 1300, 3
	m := meter.NewMeter()
	for range rounds {
		for org := range orgs {
			m.Observe(key(org), 10*time.Millisecond, time.Duration(org)*time.Millisecond)
		}
	}
	p := m.Snapshot()
	counts := map[int64]int{}
	longest := 0.0
	for _, s := range p.Histograms {
		counts[s.Count]++
		longest = max(longest, s.MaxMs)
	}
	if diff := cmp.Diff(map[int64]int{2 * rounds: orgs}, counts); diff != "" {
		t.Errorf("histograms by count (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(0), p.Counters["histogram_faults"]); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
	if longest < 1299 || longest > 1320 {
		t.Errorf("longest %v ms, want 1299 ms within two digits", longest)
	}
}

// BenchmarkOrganisations reports the bytes that one organisation's three histograms take.
func BenchmarkOrganisations(b *testing.B) {
	for _, orgs := range []int{10, 130, 1300} {
		b.Run(fmt.Sprint(orgs), func(b *testing.B) {
			before := heap()
			m := meter.NewMeter()
			for b.Loop() {
				for org := range orgs {
					for _, measure := range []meter.Measure{meter.FirstToken, meter.BetweenTokens, meter.WholeAnswer} {
						k := key(org)
						k.Measure = measure
						m.Observe(k, time.Duration(org)*time.Millisecond)
					}
				}
			}
			b.ReportMetric(float64(heap()-before)/float64(orgs), "bytes/org")
			runtime.KeepAlive(m)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
