package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/place"
	"cicadavalve/core/share"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
)

// TestEntriesReportUse has one entry give engine time and another refuse. The second must know from a datagram whom to hold back; entries whose
// settings don't require shares report nothing, and ignore what they receive.
func TestEntriesReportUse(t *testing.T) {
	got := map[bool]int{}
	for _, on := range []bool{false, true} {
		now := clock.Now()
		fleet := newFleet(Settings{Shares: on}, 2, now)
		if on {
			for range 200 {
				fleet[0].shares.Update(now, share.GivenMsg{Org: "large", Time: 50 * time.Millisecond})
			}
			fleet[0].shares.Update(now, share.GivenMsg{Org: "small", Time: 50 * time.Millisecond})
			fleet[0].shares.Update(now, share.ServedMsg{Org: "large", Service: "s"})
			fleet[1].shares.Update(now, share.UnmetMsg{Org: "small", Time: 5 * time.Second})
		}
		m, _ := fleet[0].message(now)
		if sent := len(m.Uses) + len(m.Served); on != (sent == 3) || !on && sent > 0 {
			t.Errorf("shares %v: %d figures sent", on, sent)
		}
		datagrams, err := gossip.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		received, fault, err := gossip.Decode(datagrams[0])
		if err != nil || fault != nil {
			t.Fatal(fault, err)
		}
		received.Uses = append(received.Uses, gossip.OrgUse{Org: "wrong", GivenMS: -1 << 62, UnmetMS: 1 << 62})
		fleet[1].applyMessage(now, received)
		if on {
			got[on] = fleet[1].shares.Steps(now.Add(time.Second), "large")
		}
	}
	if diff := cmp.Diff(map[bool]int{true: 3}, got); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
}

// TestUseOfAnotherFormLosesNoOthers reads figures as a later build may send them.
func TestUseOfAnotherFormLosesNoOthers(t *testing.T) {
	b, err := cbor.Marshal(map[int]any{
		1: "a", 2: "a:1", 3: "z", 4: 1, 5: 7, 9: true, 40: []any{[]any{"o", 3, 4, "new"}, "none"}, 41: "fast",
	})
	if err != nil {
		t.Fatal(err)
	}
	m, fault, err := gossip.Decode(b)
	if err != nil || fault == nil {
		t.Fatal(fault, err)
	}
	if len(m.Uses) != 1 || m.Uses[0].Org != "o" || m.Uses[0].UnmetMS != 4 || !m.Heartbeat {
		t.Errorf("read %+v", m.Uses)
	}
}

// TestSharesAreMetered reads the metrics of an organisation that is refused.
func TestSharesAreMetered(t *testing.T) {
	m := NewMeter()
	m.watchShares(func() []share.View { return []share.View{{Org: "o", Used: 2, Share: 1.5, Unmet: 0.5}} })
	m.countRefusal(place.RefuseCmd{Org: "o", Reason: place.Overloaded})
	var text strings.Builder
	m.set.WritePrometheus(&text)
	for _, line := range []string{
		`organisation_engine_use{organisation="o"} 2`, `organisation_engine_share{organisation="o"} 1.5`, `organisation_engine_unmet{organisation="o"} 0.5`,
		`organisation_refusals_total{organisation="o",reason="overloaded"} 1`,
	} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("no line %s in\n%s", line, text.String())
		}
	}
}
