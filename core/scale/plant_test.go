package scale_test

import (
	"math"
	"testing"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/scale"
)

const (
	boot, cold = 8 * time.Second, 3 * time.Second
	interval   = 100 * time.Millisecond
	// slots is how many requests an upstream runs, all of which last a second.
	slots = 64
)

var start = time.Unix(1_800_000_000, 0)

// upstream is one upstream of the plant.
type upstream struct{ listedAt, readyAt time.Time }

// plant plays the provider, its upstreams and the callers of one service in three zones, without a network.
type plant struct {
	t         *testing.T
	now       time.Time
	bounds    conf.Autoscale
	model     *scale.Model
	holds     bool
	zones     []ident.Zone
	desired   map[ident.Zone]int
	upstreams map[ident.Zone][]upstream
	lost      map[ident.Zone]bool
	// demand is the number of upstreams that the callers would fill at a time.
	demand func(at time.Duration) float64
	// answer is the provider's answer to an order, and executes whether it is carried out at once; both may be nil.
	answer   func(cmd scale.OrderCmd) scale.Result
	executes func(cmd scale.OrderCmd) bool
	orders   []scale.OrderCmd
	times    []time.Duration
	// raised and lowered are when a number was last changed, refused is the demand that was refused, in upstream seconds.
	raised, lowered time.Duration
	refused         float64
}

func newPlant(t *testing.T, each int, demand func(at time.Duration) float64) *plant {
	p := &plant{
		t: t, now: start, bounds: conf.Autoscale{Min: 17, Max: 40, Boot: boot}, model: scale.NewModel(10), holds: true, zones: []ident.Zone{"a", "b", "c"},
		desired: map[ident.Zone]int{}, upstreams: map[ident.Zone][]upstream{}, lost: map[ident.Zone]bool{}, demand: demand,
	}
	for _, z := range p.zones {
		p.desired[z] = each
		for range each {
			p.upstreams[z] = append(p.upstreams[z], upstream{start, start})
		}
	}
	return p
}

// state returns what an entry would see: the demand is spread over all ready upstreams, and what they can't take waits or is refused.
func (p *plant) state() scale.ServiceState {
	s := scale.ServiceState{Name: "llm", Bounds: p.bounds, Cold: cold}
	ready := map[ident.Zone]int{}
	all := 0
	for _, z := range p.zones {
		for _, u := range p.upstreams[z] {
			if !p.now.Before(u.readyAt) {
				ready[z]++
				all++
			}
		}
	}
	demand := p.demand(p.now.Sub(start))
	busy := min(demand, float64(all))
	p.refused += (demand - busy) * interval.Seconds()
	for _, z := range p.zones {
		listed := 0
		for _, u := range p.upstreams[z] {
			if !p.now.Before(u.listedAt) {
				listed++
			}
		}
		part := busy * float64(ready[z]) / float64(max(all, 1))
		s.Zones = append(s.Zones, scale.ZoneState{
			Zone: z, Listed: listed, Ready: ready[z], Busy: part, Requests: int(part * slots),
			Callers: scale.Callers{Service: "llm", Arrived: int(demand * slots / 3), Refused: int((demand - busy) * slots / 3)},
		})
	}
	return s
}

// execute carries out an order.
func (p *plant) execute(zone ident.Zone, count int) {
	p.desired[zone] = count
	for list := p.upstreams[zone]; len(list) < count && !p.lost[zone]; list = p.upstreams[zone] {
		p.upstreams[zone] = append(list, upstream{p.now.Add(boot), p.now.Add(boot + cold)})
	}
	if list := p.upstreams[zone]; len(list) > count {
		p.upstreams[zone] = list[:count]
	}
}

// run plays until a time.
func (p *plant) run(until time.Duration) {
	for ; p.now.Sub(start) < until; p.now = p.now.Add(interval) {
		for _, cmd := range p.model.Update(p.now, scale.TickMsg{Holds: p.holds, Services: []scale.ServiceState{p.state()}}) {
			cmd, ok := cmd.(scale.OrderCmd)
			if !ok {
				continue
			}
			if !p.holds || cmd.Count > p.bounds.Max || cmd.Count < p.bounds.Min {
				p.t.Fatalf("order of %d while it holds the lease: %v", cmd.Count, p.holds)
			}
			p.checkStep(cmd)
			p.orders, p.times = append(p.orders, cmd), append(p.times, p.now.Sub(start))
			if p.executes == nil || p.executes(cmd) {
				p.execute(cmd.Zone, cmd.Count)
			}
			result := scale.Accepted
			if p.answer != nil {
				result = p.answer(cmd)
			}
			p.model.Update(p.now, scale.OutcomeMsg{Service: cmd.Service, Zone: cmd.Zone, Count: cmd.Count, Result: result})
		}
	}
}

// checkStep checks that upstreams leave one at a time, the first long after the last step up: each takes its cached context with it.
func (p *plant) checkStep(cmd scale.OrderCmd) {
	at := p.now.Sub(start)
	switch {
	case cmd.Count > cmd.Before:
		p.raised = at
	case cmd.Count < cmd.Before:
		if cmd.Before-cmd.Count > 1 || at-p.raised < 30*time.Second || at-p.lowered < boot+cold {
			p.t.Fatalf("a step down of %d, %v after a step up and %v after one down", cmd.Before-cmd.Count, at-p.raised, at-p.lowered)
		}
		p.lowered = at
	}
}

// lose ends all upstreams of a zone.
func (p *plant) lose(zone ident.Zone) { p.lost[zone], p.upstreams[zone] = true, nil }

// total returns the number of upstreams that run or boot.
func (p *plant) total() (total int) {
	for _, list := range p.upstreams {
		total += len(list)
	}
	return total
}

// steps returns how many orders raised and lowered a number.
func (p *plant) steps() (up, down int) {
	for _, o := range p.orders {
		switch {
		case o.Count > o.Before:
			up++
		case o.Count < o.Before:
			down++
		}
	}
	return up, down
}

func constant(level float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return level }
}

// waves returns a demand that swings around a level.
func waves(level, swing float64, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return level * (1 + swing*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()))
	}
}

// bursts returns a demand that is factor times its level for a length, once in each period.
func bursts(level, factor float64, length, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period >= period-length {
			return level * factor
		}
		return level
	}
}
