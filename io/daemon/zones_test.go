package daemon

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/place"
)

// TestLeavingIsLoggedAndCounted takes the zone of an entry out by the operator's rule. Operators must see in the log and in the metrics that
// requests leave, and why; without the setting there must be neither.
func TestLeavingIsLoggedAndCounted(t *testing.T) {
	type seen struct{ Log, Metrics []string }
	got := map[bool]seen{}
	for _, leave := range []bool{false, true} {
		var log bytes.Buffer
		now := time.Now()
		d := NewController(Settings{LeaveZone: leave}, mesh.Peer{ID: "e", Zone: "a", State: mesh.Ready, Boot: 1}, slog.New(slog.NewJSONHandler(&log, nil)), 1)
		meter := NewMeter()
		if leave {
			meter.refresh = d.writeZones
		}
		d.place.SetConfig(conf.NewSet(conf.Data{Services: []conf.Service{{Name: "app"}}}))
		for _, zone := range []ident.Zone{"a", "b"} {
			u := upstream(ident.UpstreamID("u"+zone), 1)
			u.Zone = zone
			d.applyUpstream(now, u)
		}
		send := func(ticket place.Ticket) {
			<-d.ask(ticket, place.ArriveMsg{Need: place.Need{
				Ticket: ticket, Service: "app", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute),
			}}, func(time.Time) {})
		}
		d.Tick(now)
		send(1)
		d.updateFleet(fleet.AvoidMsg{Zone: "a", Avoided: true})
		d.Tick(now.Add(time.Second))
		send(2)
		served := httptest.NewRecorder()
		meter.ServeHTTP(served, nil)
		got[leave] = seen{
			regexp.MustCompile(`"zone_[a-z_]+"`).FindAllString(log.String(), -1), regexp.MustCompile(`zone_requests.*`).FindAllString(served.Body.String(), -1),
		}
	}
	want := map[bool]seen{false: {}, true: {
		[]string{`"zone_without_upstreams"`},
		[]string{`zone_requests_total{service="app",zone="a",reason="own_zone"} 1`, `zone_requests_total{service="app",zone="b",reason="own_zone_lost"} 1`},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("seen with and without the setting (-want +got):\n%s", diff)
	}
}
