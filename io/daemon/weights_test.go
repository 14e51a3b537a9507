package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
)

// maxDatagram is the largest that UDP carries, in bytes.
const maxDatagram = 65_507

// TestReportOfManyModelsFitsOneHeartbeat applies an engine's report of many models with long names, one of which has a target version.
func TestReportOfManyModelsFitsOneHeartbeat(t *testing.T) {
	now := time.Now()
	d := newFleet(Settings{}, 1, now)[0]
	d.applyUpstream(now, upstream("u", 1))
	d.applyEvents(now, &feed{topic: port.Operator}, records{events: []any{port.VersionEvent{Model: "m", Version: 2}}})
	weights := map[ident.ModelName]int64{"m": 2}
	for i := range 900 {
		weights[ident.ModelName(fmt.Sprint(strings.Repeat("n", 200), i))] = 1
	}
	d.applyWeights("u", weights)
	m, _ := d.message(now)
	if diff := cmp.Diff([]gossip.Weights{{Upstream: "u", Model: "m", Version: 2}}, m.Weights); diff != "" {
		t.Errorf("weights that are told (-want +got):\n%s", diff)
	}
	datagrams, err := gossip.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range datagrams {
		if len(b) > maxDatagram {
			t.Errorf("a datagram of %d bytes", len(b))
		}
	}
}
