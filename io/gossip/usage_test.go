package gossip_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/gossip"
)

// TestUsageIsSplit sends counters of few and of many organisations. Each datagram must fit a frame, all counters must arrive once, and the
// datagram that says which windows are complete must have the totals of the sender, so that the loss of another one is noticed.
func TestUsageIsSplit(t *testing.T) {
	for name, c := range map[string]struct{ groups, orgs, length, datagrams int }{
		"none": {0, 0, 0, 1}, "usual": {2, 24, 8, 1}, "several": {6, 24, 12, 5}, "many organisations": {1, 1300, 16, 30}, "long names": {1, 8, 900, 9},
	} {
		t.Run(name, func(t *testing.T) {
			u := gossip.Usage{WallUS: 5, Through: 9}
			want, got := map[string]int64{}, map[string]int64{}
			for i := range c.groups {
				g := gossip.UsageGroup{Window: int64(i), Total: 77}
				if i%2 == 1 {
					g.Entry, g.Boot = "10.200.13.7:7700", 1796545016123456789
				}
				for j := range c.orgs {
					g.Orgs, g.Counts = append(g.Orgs, fmt.Sprintf("%0*d", c.length, j)), append(g.Counts, int64(100+j))
					want[fmt.Sprint(g.Entry, g.Window, g.Orgs[j])] = int64(100 + j)
				}
				u.Groups = append(u.Groups, g)
			}
			header := gossip.Message{ID: "10.200.13.8:7700", Address: "10.200.13.8:8005", Zone: "zone-a", State: 1, Boot: 1796545016123456789}
			parts := gossip.SplitUsage(header, u)
			if len(parts) > c.datagrams {
				t.Errorf("%d datagrams, want %d at most", len(parts), c.datagrams)
			}
			for i, part := range parts {
				datagrams, err := gossip.Encode(part)
				if err != nil || len(datagrams) != 1 || len(datagrams[0]) > 1400 {
					t.Fatalf("%d datagrams, the first of %d B, error %v", len(datagrams), len(datagrams[0]), err)
				}
				m, fault, err := gossip.Decode(datagrams[0])
				if err != nil || fault != nil || m.Usage == nil || m.Usage.WallUS != 5 {
					t.Fatalf("%v, fault %v, error %v", m.Usage, fault, err)
				}
				totals := 0
				for _, g := range m.Usage.Groups {
					if g.Entry == "" {
						totals++
					}
					for j, org := range g.Orgs {
						got[fmt.Sprint(g.Entry, g.Window, org)] += g.Counts[j]
					}
				}
				if complete := m.Usage.Through != 0; complete != (i == 0) || complete && totals < (c.groups+1)/2 {
					t.Errorf("datagram %d: complete %v with %d totals", i, complete, totals)
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("counters (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnreadableUsageLosesNoOtherField decodes usage of another form. The rest of the datagram must count.
func TestUnreadableUsageLosesNoOtherField(t *testing.T) {
	for _, odd := range []any{5, "text", []any{}, fields{3: "text"}, fields{3: []any{[]any{"e", "boot", 1, 2, []any{}, []any{}}}}, fields{1: strings.Repeat("9", 30)}} {
		b, err := cbor.Marshal(with(fields{36: odd, 23: true}))
		if err != nil {
			t.Fatal(err)
		}
		m, fault, err := gossip.Decode(b)
		if err != nil || fault == nil || !m.Partitioned || m.Usage != nil {
			t.Errorf("%v: partitioned %v, usage %v, fault %v, error %v", odd, m.Partitioned, m.Usage, fault, err)
		}
	}
}
