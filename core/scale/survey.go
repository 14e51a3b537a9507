package scale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
)

// ZoneState is what is known of the upstreams of a service in an availability zone, and of the callers there.
type ZoneState struct {
	Zone ident.Zone
	// Listed counts the upstreams that are not draining. Ready are those of them that bear their full load: neither cold nor loading
	// weights nor paused after a failure.
	Listed, Ready int
	// Busy is the capacity in use, in upstreams, and Requests are the requests under way there.
	Busy     float64
	Requests int
	// Callers are those at the entries of the zone.
	Callers Callers
	// Avoided is set while the operator keeps work away from the zone.
	Avoided bool
}

// ServiceState is the state of one service whose number of upstreams follows the demand.
type ServiceState struct {
	Name ident.ServiceName
	// Bounds are those of the configuration.
	Bounds conf.Autoscale
	// Cold is how long a new upstream bears only a limited rate.
	Cold time.Duration
	// Zones has the availability zones of its upstreams and callers, by name.
	Zones []ZoneState
}

// Survey returns the state of the services whose number of upstreams follows the demand. Draining upstreams don't count as listed, but
// their requests are part of the demand.
func Survey(now time.Time, set *conf.Set, upstreams *fleet.Model, requests *place.Model, stats *Stats) (states []ServiceState) {
	for i := range set.Services() {
		service := &set.Services()[i]
		if service.Autoscale == nil {
			continue
		}
		zones := map[ident.Zone]*ZoneState{}
		at := func(name ident.Zone) *ZoneState {
			if zones[name] == nil {
				zones[name] = &ZoneState{Zone: name, Avoided: upstreams.Avoided(name), Callers: Callers{Service: service.Name}}
			}
			return zones[name]
		}
		upstreams.Each(now, service.Name, func(u *conf.Upstream, s fleet.Status) {
			z := at(u.Zone)
			use, running := requests.Use(now, service, u)
			z.Busy, z.Requests = z.Busy+use, z.Requests+running
			if u.Draining {
				return
			}
			z.Listed++
			if !s.Cold && !s.Ordered && !s.Returning && !z.Avoided {
				z.Ready++
			}
		})
		own := stats.Own(now, service.Name, requests.WaitingFor(service.Name))
		stats.Add(now, own, func(name ident.Zone, c Callers) {
			z := at(name)
			z.Callers.Waiting, z.Callers.Arrived, z.Callers.Refused = z.Callers.Waiting+c.Waiting, z.Callers.Arrived+c.Arrived, z.Callers.Refused+c.Refused
		})
		state := ServiceState{Name: service.Name, Bounds: *service.Autoscale, Cold: service.ColdDuration}
		for _, name := range slices.Sorted(maps.Keys(zones)) {
			state.Zones = append(state.Zones, *zones[name])
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b ServiceState) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// shown is how long after an order the listed number must be the ordered one.
func (s *ServiceState) shown() time.Duration { return max(s.Bounds.Boot, minBoot) + bootMargin }

// Check returns what is wrong with the bounds, empty if they can be used.
func (s *ServiceState) Check() (fault string) {
	switch b := s.Bounds; {
	case b.Min < 0:
		return "the least number is negative"
	case b.Max < 1:
		return "the largest number is below 1"
	case b.Min > b.Max:
		return "the least number is above the largest"
	case b.Boot < 0:
		return "the boot time is negative"
	}
	return ""
}
