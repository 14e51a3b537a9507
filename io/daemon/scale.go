package daemon

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/place"
	"cicadavalve/core/scale"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// scaling decides about the number of upstreams by the callers of all entries.
type scaling struct {
	callers *scale.Stats
	model   *scale.Model
	// held is set if this entry held the lease at the last decision, which was at decidedAt.
	held      bool
	decidedAt time.Time
	// gauges holds the upstreams that have gauges.
	gauges map[upstreamsKey]bool
}

// upstreamsKey names the upstreams of a service in an availability zone.
type upstreamsKey struct {
	service ident.ServiceName
	zone    ident.Zone
}

// observeInterval is the interval at which entries without the lease observe the demand. Surveying hundreds of upstreams takes 0.1 ms.
const observeInterval = 500 * time.Millisecond

// newScaling returns nil unless the settings ask for orders.
func newScaling(s Settings, zone ident.Zone) *scaling {
	if !s.Scaling {
		return nil
	}
	return &scaling{callers: scale.NewStats(zone), model: scale.NewModel(s.DutyRate), gauges: map[upstreamsKey]bool{}}
}

// countArrival counts a request, which is about to be placed.
func (s *scaling) countArrival(now time.Time, service ident.ServiceName) {
	if s != nil {
		s.callers.Arrived(now, service)
	}
}

// scaledNeed returns the service and the objective of a request that is to be sent again, for [Controller.countRefusal].
func (d *Controller) scaledNeed(t place.Ticket) (service ident.ServiceName, objective time.Duration) {
	if d.scaling == nil {
		return "", 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.place.ServiceOf(t)
}

// countRefusal counts the refusal of a request with an objective, if more upstreams could have prevented it. A deadline that was too close
// from the start is the caller's.
func (d *Controller) countRefusal(service ident.ServiceName, objective time.Duration, decision relay.Decision) {
	refused := decision.Refuse
	if d.scaling == nil || refused == nil || service == "" || refused.Reason == place.BackingOff || refused.Reason == place.TooLate && refused.Expected < objective {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scaling.callers.Refused(clock.Now(), service)
}

// shareCallers adds to a heartbeat the callers of the services whose number of upstreams follows the demand; the lock is held.
func (d *Controller) shareCallers(now time.Time, m *gossip.Message) {
	set := d.set.Load()
	if d.scaling == nil || set == nil {
		return
	}
	for i := range set.Services() {
		s := &set.Services()[i]
		if s.Autoscale == nil {
			continue
		}
		if c := d.scaling.callers.Own(now, s.Name, d.place.WaitingFor(s.Name)); c.Waiting > 0 || c.Arrived > 0 {
			m.Callers = append(m.Callers, gossip.Callers{Service: string(c.Service), Waiting: c.Waiting, Arrived: c.Arrived, Refused: c.Refused})
		}
	}
}

// applyCallers applies the callers of another entry's heartbeat. Those of a partitioned one are refused for lack of links; the lock is held.
func (d *Controller) applyCallers(sentAt time.Time, m *gossip.Message) {
	if d.scaling == nil || m.ID == d.mesh.Self().ID {
		return
	}
	var list []scale.Callers
	for _, c := range m.Callers {
		if !m.Partitioned {
			list = append(list, scale.Callers{Service: ident.ServiceName(c.Service), Waiting: c.Waiting, Arrived: c.Arrived, Refused: c.Refused})
		}
	}
	d.scaling.callers.Receive(sentAt, m.ID, ident.Zone(m.Zone), list)
}

// tickScaling decides about the number of upstreams and returns the orders; the lock of the controller is held.
func (d *Daemon) tickScaling(now time.Time, holds bool) (orders []ident.Cmd) {
	c := d.controller
	set := c.set.Load()
	if c.scaling == nil || set == nil || d.outside.Provider == nil {
		return nil
	}
	holds = holds && c.upstreamsListed && !c.listLost
	if !holds && !c.scaling.held && now.Sub(c.scaling.decidedAt) < observeInterval {
		return nil
	}
	c.scaling.held, c.scaling.decidedAt = holds, now
	states := scale.Survey(now, set, c.fleet, c.place, c.scaling.callers)
	for _, cmd := range c.scaling.model.Update(now, scale.TickMsg{Holds: holds, Services: states}) {
		switch cmd := cmd.(type) {
		case scale.FaultCmd:
			d.log.Warn("capacity_not_ordered", "version", set.Version(), "place", fmt.Sprintf("services[%s].autoscale", cmd.Service), "zone", cmd.Zone, "fault", cmd.Fault)
		case scale.OrderCmd:
			orders = append(orders, cmd)
		}
	}
	c.scaling.setGauges(d.meter)
	return orders
}

// setGauges sets the gauges of all services that are scaled, and removes those of others.
func (s *scaling) setGauges(m *Meter) {
	present := map[upstreamsKey]bool{}
	for _, status := range s.model.Status() {
		key := upstreamsKey{status.Service, status.Zone}
		present[key], s.gauges[key] = true, true
		m.setUpstreams(key, status)
	}
	maps.DeleteFunc(s.gauges, func(key upstreamsKey, _ bool) bool {
		if !present[key] {
			m.dropUpstreams(key)
		}
		return !present[key]
	})
}

// orderCapacity gives an order to the provider.
func (u *duty) orderCapacity(ctx context.Context, cmd scale.OrderCmd) {
	ctx, cancel, token, holds := u.leaseContext(ctx)
	defer cancel()
	outcome := scale.OutcomeMsg{Service: cmd.Service, Zone: cmd.Zone, Count: cmd.Count, Result: scale.Refused}
	if !holds {
		u.d.controller.applyOutcome(outcome)
		return
	}
	err := u.d.outside.Provider.OrderCapacity(ctx, port.CapacityOrder{Service: cmd.Service, Zone: cmd.Zone, Count: cmd.Count, Holder: u.d.self.ID, Token: token})
	u.d.log.Info("capacity_ordered", "service", cmd.Service, "zone", cmd.Zone, "count", cmd.Count, "before", cmd.Before, "listed", cmd.Listed, "ready", cmd.Ready,
		"reason", cmd.Reason, "use", fmt.Sprintf("%.2f", cmd.Use), "waiting", cmd.Waiting, "refused", cmd.Refused, "token", token, "error", err)
	switch {
	case err == nil:
		outcome.Result = scale.Accepted
	case errors.Is(err, port.ErrOutdated):
		u.giveUp(token)
	case !errors.Is(err, port.ErrRefused):
		outcome.Result = scale.Unknown
	}
	u.d.meter.countOrder(outcome.Result)
	u.d.controller.applyOutcome(outcome)
}

func (d *Controller) applyOutcome(outcome scale.OutcomeMsg) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scaling.model.Update(clock.Now(), outcome)
}

// gauge names a gauge of upstreams.
func (k upstreamsKey) gauge(of string) string {
	return fmt.Sprintf("upstreams_%s{service=%q,zone=%q}", of, k.service, k.zone)
}

func (m *Meter) setUpstreams(key upstreamsKey, s scale.Status) {
	for of, value := range map[string]int{"ordered": s.Ordered, "listed": s.Listed, "ready": s.Ready} {
		m.set.GetOrCreateGauge(key.gauge(of), nil).Set(float64(value))
	}
}

func (m *Meter) dropUpstreams(key upstreamsKey) {
	for _, of := range []string{"ordered", "listed", "ready"} {
		m.set.UnregisterMetric(key.gauge(of))
	}
}

// countOrder counts an order by its outcome.
func (m *Meter) countOrder(result scale.Result) {
	m.set.GetOrCreateCounter(fmt.Sprintf("capacity_orders_total{outcome=%q}", result)).Inc()
}
