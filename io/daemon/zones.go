package daemon

import (
	"fmt"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/zones"
)

// newZonesModel returns the model that decides about leaving the availability zone, nil if the settings don't ask for it.
func newZonesModel(s Settings, self mesh.Peer) *zones.Model {
	if !s.LeaveZone {
		return nil
	}
	return zones.NewModel(self.Zone, xxhash.Sum64String(self.ID+"/"+strconv.FormatInt(self.Boot, 10)))
}

// logZones logs changes of what leaves the availability zone.
func (d *Controller) logZones(cmd ident.Cmd) {
	switch cmd := cmd.(type) {
	case zones.ChangedCmd:
		d.log.Info("zone_share_changed", "service", cmd.Service, "zone", cmd.Zone, "leaves", cmd.Share > 0, "share", cmd.Share, "cause", cmd.Cause,
			"price", cmd.Price, "delay", cmd.Delay, "own_first_byte", cmd.OwnFirstByte, "first_byte", cmd.FirstByte)
	case zones.LostCmd:
		d.log.Warn("zone_without_upstreams", "service", cmd.Service, "lost", cmd.Lost)
	}
}

// zoneAttrs returns the fields of the state log line about shares that leave; the lock is held.
func (d *Controller) zoneAttrs() (attrs []any) {
	if d.zones == nil {
		return nil
	}
	for _, service := range d.zones.Services() {
		for _, s := range d.zones.Statuses(service) {
			if s.Share > 0 {
				attrs = append(attrs, fmt.Sprintf("leaves_%s_%s", service, s.Zone), s.Share)
			}
		}
	}
	return attrs
}

// writeZones sets the metrics about zones to their present values.
func (d *Controller) writeZones(set *metrics.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.zones.Counts() {
		set.GetOrCreateCounter(fmt.Sprintf("zone_requests_total{service=%q,zone=%q,reason=%q}", c.Service, c.Zone, c.Reason)).Set(uint64(c.Requests))
	}
	for _, service := range d.zones.Services() {
		for _, s := range d.zones.Statuses(service) {
			labels := fmt.Sprintf("{service=%q,zone=%q}", service, s.Zone)
			set.GetOrCreateGauge("zone_share"+labels, nil).Set(s.Share)
			set.GetOrCreateGauge("zone_price_seconds"+labels, nil).Set(s.Price.Seconds())
			set.GetOrCreateGauge("zone_delay_seconds"+labels, nil).Set(s.Delay.Seconds())
		}
	}
}
