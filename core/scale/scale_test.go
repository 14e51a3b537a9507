package scale_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/scale"
)

// TestNumberFollowsDemand plays patterns of demand. It guards against callers that go on being refused after the first upstreams have booted
// and warmed up, against orders that follow each wave up and down or grow while upstreams boot and are cold, and against upstreams for no one.
func TestNumberFollowsDemand(t *testing.T) {
	for name, c := range map[string]struct {
		demand func(time.Duration) float64
		// warm is until when callers may be refused: one lead after the demand first went beyond the upstreams.
		warm time.Duration
		// least and most bound the upstreams at the end, up and down the changes.
		least, most, up, down int
	}{
		"steady":          {constant(34), 0, 60, 60, 0, 0},
		"waves":           {waves(36, 0.3, 11*time.Second), 0, 78, 90, 8, 0},
		"high waves":      {waves(40, 0.55, 13*time.Second), 15 * time.Second, 100, 120, 12, 0},
		"bursts":          {bursts(36, 1.7, 3*time.Second, 25*time.Second), 35 * time.Second, 100, 120, 9, 0},
		"twice the usual": {func(at time.Duration) float64 { return 32 + 40*min(max(at.Seconds()-40, 0)/20, 1) }, 0, 115, 120, 25, 0},
		"above capacity":  {constant(62), boot + cold + 3*time.Second, 104, 115, 6, 0},
		"too much":        {constant(200), 3 * time.Minute, 120, 120, 3, 0},
		"one burst": {func(at time.Duration) float64 {
			return 30 + 21*min(max(63-at.Seconds(), 0), 1)*min(max(at.Seconds()-60, 0), 1)
		}, 0, 60, 100, 9, 15},
		"little":    {constant(10), 0, 51, 51, 0, 9},
		"much less": {func(at time.Duration) float64 { return 20 + 35*min(max(21-at.Seconds(), 0), 1) }, 0, 80, 84, 3, 12},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlant(t, 20, c.demand)
			p.run(c.warm)
			before := p.refused
			p.run(3 * time.Minute)
			if refused := p.refused - before; refused > 0 {
				t.Errorf("%.1f upstream seconds of demand were refused after %v", refused, c.warm)
			}
			if total := p.total(); total < c.least || total > c.most {
				t.Errorf("%d upstreams at the end, want %d to %d", total, c.least, c.most)
			}
			if up, down := p.steps(); up > c.up || down > c.down {
				t.Errorf("%d steps up and %d down, want at most %d and %d", up, down, c.up, c.down)
			}
			if t.Failed() {
				t.Logf("at %v: %+v", p.times, p.orders)
			}
		})
	}
}

// TestGrowthIsOrderedAhead lets the demand grow by an upstream in 2 s. At its end there must be what it would need a lead later: what is ordered
// for the present peak alone comes a lead too late.
func TestGrowthIsOrderedAhead(t *testing.T) {
	demand := func(at time.Duration) float64 { return 20 + at.Seconds()/2 }
	p := newPlant(t, 20, demand)
	const end = 70 * time.Second
	p.run(end)
	if least := int(0.95 * demand(end+boot+cold) / 0.6); p.total() < least {
		t.Errorf("%d upstreams at a demand of %v, want %d", p.total(), demand(end), least)
	}
}

// TestLostZoneIsMadeUpFor ends all upstreams of a zone. The others must get them at once, not when the lost zone's time to boot is over.
func TestLostZoneIsMadeUpFor(t *testing.T) {
	for name, earlier := range map[string]bool{"without an order before": false, "after orders": true} {
		t.Run(name, func(t *testing.T) {
			level := 36.0
			if earlier {
				level = 42
			}
			p := newPlant(t, 20, constant(level))
			const lostAt = 40 * time.Second
			p.run(lostAt)
			n := len(p.orders)
			p.lose("b")
			p.run(lostAt + 2*time.Second)
			if total := p.total(); float64(total) < level/0.6 {
				t.Errorf("%d upstreams for a demand of %v 2 s after the loss", total, level)
			}
			got := map[ident.Zone]bool{}
			for _, o := range p.orders[n:] {
				got[o.Zone] = o.Count > o.Before
			}
			if diff := cmp.Diff(map[ident.Zone]bool{"a": true, "c": true}, got); diff != "" {
				t.Errorf("zones with steps up within 2 s (-want +got):\n%s", diff)
			}
			p.run(lostAt + boot + cold + 3*time.Second)
			before := p.refused
			p.run(2 * time.Minute)
			if p.refused > before {
				t.Errorf("%.1f upstream seconds refused after the lead", p.refused-before)
			}
			if _, down := p.steps(); down > 0 {
				t.Errorf("%d steps down while a zone is lost", down)
			}
		})
	}
}

// TestLateOrderIsCorrected carries out an order of the last holder after those of the present one. The listed number must come back to the
// decided one, without a step down of many upstreams at once.
func TestLateOrderIsCorrected(t *testing.T) {
	for name, c := range map[string]struct {
		late, least, most int
		demand            float64
	}{
		"of fewer": {17, 30, 36, 55}, "of one more": {32, 30, 32, 55}, "of many more": {40, 38, 40, 55}, "of many more before a rise": {40, 40, 40, 64},
	} {
		t.Run(name, func(t *testing.T) {
			level := 55.0
			p := newPlant(t, 20, func(time.Duration) float64 { return level })
			p.run(20 * time.Second)
			n := len(p.orders)
			p.execute("a", c.late)
			p.run(30 * time.Second)
			level = c.demand
			p.run(50 * time.Second)
			if got := len(p.upstreams["a"]); got < c.least || got > c.most {
				t.Errorf("%d upstreams in the end, want %d to %d", got, c.least, c.most)
			}
			for _, o := range p.orders[n:] {
				if o.Zone == "a" && o.Listed-o.Count > 1 {
					t.Errorf("an order ends %d upstreams", o.Listed-o.Count)
				}
			}
		})
	}
}

// TestNewHolderTakesTheListedNumber moves the lease while upstreams boot that the last holder ordered, and after all entries have started.
// The new holder must order no fewer than are listed.
func TestNewHolderTakesTheListedNumber(t *testing.T) {
	p := newPlant(t, 20, constant(40))
	p.holds = false
	p.execute("a", 26)
	p.run(4 * time.Second)
	p.holds = true
	p.run(34 * time.Second)
	for _, o := range p.orders {
		if o.Count < o.Listed {
			t.Errorf("order of %d in %s after %d", o.Count, o.Zone, o.Before)
		}
	}
	starting := newPlant(t, 20, constant(25))
	for i := range starting.upstreams["a"] {
		starting.upstreams["a"][i].listedAt = start.Add(time.Duration(i) * 400 * time.Millisecond)
	}
	if starting.run(25 * time.Second); len(starting.orders) > 0 {
		t.Errorf("orders while upstreams are listed one after the other: %+v", starting.orders)
	}
}

// TestNothingIsOrderedInVain sets bounds that contradict each other, has callers in a zone without upstreams, and takes a zone out of
// service; or a few callers are refused while upstreams are idle. None may get an order; a fault is reported once.
func TestNothingIsOrderedInVain(t *testing.T) {
	zones := []scale.ZoneState{
		{Zone: "a", Listed: 2, Ready: 2, Busy: 2, Requests: 2 * slots, Callers: scale.Callers{Arrived: 100, Refused: 50}},
		{Zone: "nowhere", Callers: scale.Callers{Arrived: 100, Refused: 50}},
	}
	idle := []scale.ZoneState{{Zone: "a", Listed: 4, Ready: 4, Busy: 1, Requests: slots, Callers: scale.Callers{Arrived: 100, Refused: 2}}}
	none, avoided := map[ident.Zone]int{}, []scale.ZoneState{zones[0]}
	avoided[0].Avoided = true
	for name, c := range map[string]struct {
		bounds conf.Autoscale
		zones  []scale.ZoneState
		faults int
		orders map[ident.Zone]int
	}{
		"usable":                    {conf.Autoscale{Min: 6, Max: 9, Boot: boot}, zones, 1, map[ident.Zone]int{"a": 6}},
		"avoided":                   {conf.Autoscale{Min: 1, Max: 4, Boot: boot}, avoided, 0, none},
		"idle":                      {conf.Autoscale{Min: 1, Max: 9, Boot: boot}, idle, 0, none},
		"least above largest":       {conf.Autoscale{Min: 5, Max: 4, Boot: boot}, zones, 1, none},
		"negative":                  {conf.Autoscale{Min: -1, Max: 4, Boot: boot}, zones, 1, none},
		"largest below one":         {conf.Autoscale{Boot: boot}, zones, 1, none},
		"negative time until ready": {conf.Autoscale{Max: 4, Boot: -boot}, zones, 1, none},
	} {
		t.Run(name, func(t *testing.T) {
			m, faults, orders := scale.NewModel(0), 0, map[ident.Zone]int{}
			for i := range 100 {
				state := scale.ServiceState{Name: "llm", Bounds: c.bounds, Zones: c.zones}
				for _, cmd := range m.Update(start.Add(time.Duration(i)*interval), scale.TickMsg{Holds: true, Services: []scale.ServiceState{state}}) {
					switch cmd := cmd.(type) {
					case scale.FaultCmd:
						faults++
					case scale.OrderCmd:
						orders[cmd.Zone] = cmd.Count
					}
				}
			}
			if diff := cmp.Diff(c.orders, orders); diff != "" || faults != c.faults {
				t.Errorf("%d faults, want %d; zones of orders (-want +got):\n%s", faults, c.faults, diff)
			}
		})
	}
}

// TestReportsOfCallersExpire lets an entry report callers and fall silent. Callers that are long gone must not raise the number.
func TestReportsOfCallersExpire(t *testing.T) {
	s, got := scale.NewStats("a"), map[ident.Zone]int{}
	s.Arrived(start, "llm")
	s.Receive(start, "other", "b", []scale.Callers{{Service: "llm", Waiting: 3}, {Service: "app", Waiting: 9}})
	s.Receive(start, "faulty", "c", []scale.Callers{{Service: "llm", Waiting: -5}})
	for _, after := range []time.Duration{time.Second / 2, 2 * time.Second} {
		now := start.Add(after)
		s.Add(now, s.Own(now, "llm", 0), func(zone ident.Zone, c scale.Callers) { got[zone] += c.Waiting + c.Arrived })
	}
	if diff := cmp.Diff(map[ident.Zone]int{"a": 1, "b": 3, "c": 0}, got); diff != "" {
		t.Errorf("callers after 0.5 and 2 s together (-want +got):\n%s", diff)
	}
}

// TestOrdersKeepTheirRules plays random demand, losses, outcomes, late orders and changes of the holder. No order may break the bounds or the
// rate, end more than one upstream that is known to be listed, follow a step up by one down within 30 s, or follow one of unknown outcome with another number.
func TestOrdersKeepTheirRules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		level := 36.0
		p := newPlant(t, 20, func(time.Duration) float64 { return level })
		open, sentAt := map[ident.Zone]int{}, map[ident.Zone]time.Time{}
		var late []scale.OrderCmd
		outcome := scale.Accepted
		p.executes = func(scale.OrderCmd) bool { return outcome == scale.Accepted }
		p.answer = func(cmd scale.OrderCmd) scale.Result {
			if count, unknown := open[cmd.Zone]; unknown && count != cmd.Count {
				r.Fatalf("%d ordered after %d of unknown outcome", cmd.Count, count)
			}
			if p.now.Sub(sentAt[cmd.Zone]) < time.Second {
				r.Fatalf("two orders for %s within %v", cmd.Zone, p.now.Sub(sentAt[cmd.Zone]))
			}
			if cmd.Listed-cmd.Count > 1 && cmd.Reason != scale.Repeated {
				r.Fatalf("%d ordered where %d are listed", cmd.Count, cmd.Listed)
			}
			sentAt[cmd.Zone] = p.now
			switch outcome {
			case scale.Unknown:
				open[cmd.Zone], late = cmd.Count, append(late, cmd)
			case scale.Accepted:
				delete(open, cmd.Zone)
			}
			return outcome
		}
		for range rapid.IntRange(1, 16).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				level = rapid.Float64Range(0, 130).Draw(r, "demand")
			case 1:
				outcome = rapid.SampledFrom([]scale.Result{scale.Accepted, scale.Refused, scale.Unknown}).Draw(r, "outcome")
			case 2:
				if len(late) > 0 {
					p.execute(late[0].Zone, late[0].Count)
					late = late[1:]
				}
			case 3:
				if p.holds = rapid.Bool().Draw(r, "holds"); !p.holds {
					clear(open)
				}
			case 4:
				zone := rapid.SampledFrom(p.zones).Draw(r, "zone")
				if p.lost[zone] = rapid.Bool().Draw(r, "lost"); p.lost[zone] {
					p.upstreams[zone] = nil
				} else {
					p.execute(zone, p.desired[zone])
				}
			}
			p.run(p.now.Sub(start) + time.Duration(rapid.IntRange(1, 10).Draw(r, "seconds"))*time.Second)
		}
		p.holds, outcome, level, p.lost = true, scale.Accepted, 70, map[ident.Zone]bool{}
		for zone, count := range p.desired {
			p.execute(zone, count)
		}
		p.run(p.now.Sub(start) + time.Minute)
		if use := level / float64(p.total()); use > 0.7 {
			r.Fatalf("%d upstreams for a demand of %v in the end", p.total(), level)
		}
	})
}
