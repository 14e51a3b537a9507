package scale_test

import (
	"fmt"
	"testing"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/scale"
)

// TestOrdersLeaveCallsToUsageReports has more zones below their minimum than the rate allows orders. Usage reports take half of the calls, so
// that the orders of 10 minutes must not exceed the other half.
func TestOrdersLeaveCallsToUsageReports(t *testing.T) {
	var zones []scale.ZoneState
	for i := range 20 {
		zones = append(zones, scale.ZoneState{Zone: ident.Zone(fmt.Sprint(i)), Listed: 1, Ready: 1})
	}
	m, orders := scale.NewModel(2), 0
	for i := range int(10 * time.Minute / interval) {
		now := start.Add(time.Duration(i) * interval)
		state := scale.ServiceState{Name: "llm", Bounds: conf.Autoscale{Min: 2, Max: 4, Boot: boot}, Zones: zones}
		for _, cmd := range m.Update(now, scale.TickMsg{Holds: true, Services: []scale.ServiceState{state}}) {
			if cmd, ok := cmd.(scale.OrderCmd); ok {
				orders++
				m.Update(now, scale.OutcomeMsg{Service: cmd.Service, Zone: cmd.Zone, Count: cmd.Count, Result: scale.Refused})
			}
		}
	}
	if orders < 500 || orders > 600 {
		t.Errorf("%d orders in 10 minutes, want 500 to 600", orders)
	}
}
