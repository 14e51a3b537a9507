package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
	"cicadavalve/core/zones"
)

const (
	// zoneObjective and zoneTokens are those of each request: at the assumed speed its prefill takes 24 ms, an engine about 40 a second.
	zoneObjective = 400 * time.Millisecond
	zoneTokens    = 2000
	zoneAnswer    = 300 * time.Millisecond
	zoneReport    = 200 * time.Millisecond
)

// zoneEvent is something that happens at a time.
type zoneEvent struct {
	at time.Time
	do func()
}

// zoneEngine prefills one prompt after another.
type zoneEngine struct {
	zone ident.Zone
	free time.Time
}

// zoneEntry is an entry with its own view.
type zoneEntry struct {
	name  string
	zone  ident.Zone
	fleet *fleet.Model
	index *parts.Index
	place *place.Model
	zones *zones.Model
}

// zoneSite replays the requests of several entries in the zones a and b on engines there.
type zoneSite struct {
	now     time.Time
	rng     *rand.Rand
	entries []*zoneEntry
	engines map[ident.UpstreamID]*zoneEngine
	events  []zoneEvent
	tickets place.Ticket
	// delay is the one-way delay between zones, loss the fraction of attempts between them that break off.
	delay time.Duration
	loss  float64
	// windows holds the requests that zone a sent in each quarter of a second.
	windows []zoneWindow
}

type zoneWindow struct{ Arrived, InTime, Sent, Left int }

func (w *zoneWindow) left() float64 { return float64(w.Left) / float64(max(w.Sent, 1)) }

func newZoneSite(entries int, engines map[ident.Zone]int, decides bool) *zoneSite {
	s := &zoneSite{now: start, rng: rand.New(rand.NewPCG(7, 7)), engines: map[ident.UpstreamID]*zoneEngine{}, delay: time.Millisecond}
	var names []string
	for i := range 2 * entries {
		names = append(names, fmt.Sprint("entry", i))
	}
	for i, name := range names {
		e := &zoneEntry{name: name, zone: "a", fleet: fleet.NewModel(), index: parts.NewIndex()}
		if i >= entries {
			e.zone = "b"
		}
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		if decides {
			e.zones = zones.NewModel(e.zone, uint64(i))
		}
		e.place = place.NewModel(e.fleet, e.index, rng, place.WithZones(e.zones))
		e.place.SetConfig(conf.NewSet(conf.Data{
			Services: []conf.Service{{Name: "llm", ColdRate: 5, Engine: &conf.Engine{Slots: 16, Memory: 1 << 20, TokenSize: 20_000, Link: 300e9}}},
			Routes:   []conf.Route{{Objective: zoneObjective, Shares: []conf.Share{{Service: "llm", Weight: 1}}}},
		}))
		e.place.SetMembers(place.Members{Self: name, Sharers: names, Zone: e.zone, ReportInterval: zoneReport})
		s.entries = append(s.entries, e)
	}
	for zone, n := range engines {
		for i := range n {
			s.engines[ident.UpstreamID(fmt.Sprintf("%s%02d", zone, i))] = &zoneEngine{zone: zone}
		}
	}
	s.list("a", 0)
	s.list("b", 0)
	return s
}

// list lists the engines of a zone at all entries, cold for a time.
func (s *zoneSite) list(zone ident.Zone, cold time.Duration) {
	for id, engine := range s.engines {
		if engine.zone == zone {
			s.update(fleet.ListedMsg{Upstream: conf.Upstream{
				ID: id, Service: "llm", Address: string(id), Zone: zone, Slots: 16, ColdLeft: cold, Weights: map[ident.ModelName]int64{model: 1}, Born: s.now.UnixMilli(),
			}})
		}
	}
}

// remove takes the engines of a zone off the list.
func (s *zoneSite) remove(zone ident.Zone) {
	for id, engine := range s.engines {
		if engine.zone == zone {
			s.update(fleet.RemovedMsg{ID: id})
		}
	}
}

// update applies a message to the fleets of all entries.
func (s *zoneSite) update(msg ident.Msg) {
	for _, e := range s.entries {
		for _, cmd := range e.fleet.Update(s.now, msg) {
			e.place.Update(s.now, cmd)
		}
	}
}

func (s *zoneSite) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e zoneEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, zoneEvent{at, do})
}

// run replays a time with requests per second from the callers in each zone.
func (s *zoneSite) run(d time.Duration, perSecond map[ident.Zone]float64) {
	end := s.now.Add(d)
	for _, zone := range []ident.Zone{"a", "b"} {
		s.arrive(zone, perSecond[zone], end)
	}
	for i, e := range s.entries {
		// Entries don't tick and report at the same moments.
		s.after(time.Duration(i)*time.Millisecond, func() { s.tick(e, end) })
		s.after(time.Duration(7*i)*time.Millisecond, func() { s.report(e, end) })
	}
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *zoneSite) arrive(zone ident.Zone, perSecond float64, end time.Time) {
	wait := time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
	if perSecond == 0 || s.now.Add(wait).After(end) {
		return
	}
	s.after(wait, func() {
		e := s.entries[s.rng.IntN(len(s.entries)/2)]
		if zone == "b" {
			e = s.entries[len(s.entries)/2+s.rng.IntN(len(s.entries)/2)]
		}
		s.tickets++
		n := need(s.tickets, s.now, zoneTokens, fmt.Sprint("doc", s.tickets), zoneObjective)
		s.window(e, s.now).Arrived++
		s.perform(e, s.now, e.place.Update(s.now, place.ArriveMsg{Need: n}))
		s.arrive(zone, perSecond, end)
	})
}

// window returns the counts of a time for entries in zone a; others are not counted.
func (s *zoneSite) window(e *zoneEntry, at time.Time) *zoneWindow {
	if e.zone != "a" {
		return &zoneWindow{}
	}
	i := int(at.Sub(start) / (250 * time.Millisecond))
	for len(s.windows) <= i {
		s.windows = append(s.windows, zoneWindow{})
	}
	return &s.windows[i]
}

func (s *zoneSite) tick(e *zoneEntry, end time.Time) {
	s.perform(e, s.now, e.place.Update(s.now, place.TickMsg{}))
	if s.now.Before(end) {
		s.after(25*time.Millisecond, func() { s.tick(e, end) })
	}
}

func (s *zoneSite) report(e *zoneEntry, end time.Time) {
	msg := place.PeerMsg{Peer: e.name, Loads: e.place.Loads()}
	for _, other := range s.entries {
		if other != e {
			other.place.Update(s.now, msg)
		}
	}
	if s.now.Before(end) {
		s.after(zoneReport, func() { s.report(e, end) })
	}
}

// perform runs the requests that are sent.
func (s *zoneSite) perform(e *zoneEntry, arrived time.Time, cmds []ident.Cmd) {
	for _, cmd := range sends(cmds) {
		engine, way := s.engines[cmd.Upstream.ID], time.Duration(0)
		w := s.window(e, s.now)
		w.Sent++
		if engine.zone != e.zone {
			way = s.delay
			w.Left++
			if s.rng.Float64() < s.loss {
				s.after(time.Second, func() {
					s.perform(e, s.now, e.place.Update(s.now, place.EndMsg{Ticket: cmd.Ticket, Outcome: place.Broken}))
				})
				continue
			}
		}
		s.after(way, func() {
			if engine.free.Before(s.now) {
				engine.free = s.now
			}
			engine.free = engine.free.Add(time.Duration(cmd.Missing) * 12 * time.Microsecond)
			first := engine.free.Sub(s.now) + 40*time.Millisecond + way
			s.after(first, func() {
				if s.now.Sub(arrived) <= zoneObjective {
					s.window(e, arrived).InTime++
				}
				s.perform(e, s.now, e.place.Update(s.now, place.FirstByteMsg{Ticket: cmd.Ticket}))
			})
			s.after(first+zoneAnswer, func() {
				s.perform(e, s.now, e.place.Update(s.now, place.EndMsg{Ticket: cmd.Ticket}))
			})
		})
	}
}

// sum adds up the windows from one time to another.
func (s *zoneSite) sum(from, to time.Duration) (sum zoneWindow) {
	for _, w := range s.windows[from/(250*time.Millisecond) : to/(250*time.Millisecond)] {
		sum = zoneWindow{sum.Arrived + w.Arrived, sum.InTime + w.InTime, sum.Sent + w.Sent, sum.Left + w.Left}
	}
	return sum
}

// both returns the rates of requests from callers in the zones.
func both(a, b float64) map[ident.Zone]float64 { return map[ident.Zone]float64{"a": a, "b": b} }

// TestZoneDecisions replays loads and failures at which requests of zone a must leave it, or stay. The engines of a zone serve some 240
// requests a second.
func TestZoneDecisions(t *testing.T) {
	type bounds struct{ MinInTime, MinLeft, MaxLeft, MaxWindow float64 }
	cases := map[string]struct {
		entries, engines int
		play             func(s *zoneSite)
		// from is from when on what zone a sent is judged.
		from time.Duration
		bounds
	}{
		"equal zones":          {8, 6, func(s *zoneSite) { s.run(8*time.Second, both(150, 150)) }, 0, bounds{0.95, 0, 0.02, 0.05}},
		"own zone at its peak": {8, 6, func(s *zoneSite) { s.run(10*time.Second, both(300, 60)) }, 2 * time.Second, bounds{0.92, 0.15, 0.45, 0.85}},
		"many entries decide at once": {20, 14, func(s *zoneSite) {
			s.run(3*time.Second, both(280, 140))
			s.run(5*time.Second, both(700, 140))
		}, 3 * time.Second, bounds{0.92, 0.1, 0.4, 0.75}},
		"the peak is over": {8, 6, func(s *zoneSite) {
			s.run(5*time.Second, both(320, 60))
			s.run(9*time.Second, both(60, 60))
		}, 12 * time.Second, bounds{0.95, 0, 0.03, 0.1}},
		"slow link": {8, 6, func(s *zoneSite) {
			s.delay = 150 * time.Millisecond
			s.run(8*time.Second, both(220, 60))
		}, 2 * time.Second, bounds{0.9, 0, 0.15, 0.5}},
		"lossy link": {8, 6, func(s *zoneSite) {
			s.loss = 0.3
			s.run(8*time.Second, both(220, 60))
		}, 2 * time.Second, bounds{0.85, 0, 0.12, 0.5}},
		"other zone cold": {8, 6, func(s *zoneSite) {
			s.now = s.now.Add(time.Millisecond)
			s.list("b", time.Minute)
			s.run(8*time.Second, both(260, 0))
		}, 2 * time.Second, bounds{0.7, 0, 0.15, 0.4}},
		"other zone evacuated": {8, 6, func(s *zoneSite) {
			s.update(fleet.AvoidMsg{Zone: "b", Avoided: true})
			s.run(6*time.Second, both(300, 0))
		}, 0, bounds{0, 0, 0, 0}},
		"own zone evacuated": {8, 6, func(s *zoneSite) {
			s.run(2*time.Second, both(80, 80))
			s.update(fleet.AvoidMsg{Zone: "a", Avoided: true})
			s.run(4*time.Second, both(80, 80))
		}, 2250 * time.Millisecond, bounds{0.9, 1, 1, 1}},
		"own zone lost": {8, 6, func(s *zoneSite) {
			s.run(2*time.Second, both(80, 80))
			s.remove("a")
			s.run(4*time.Second, both(80, 80))
		}, 2250 * time.Millisecond, bounds{0.9, 1, 1, 1}},
		"own zone back": {8, 6, func(s *zoneSite) {
			s.remove("a")
			s.run(3*time.Second, both(80, 80))
			s.list("a", 3*time.Second)
			s.run(8*time.Second, both(80, 80))
		}, 9 * time.Second, bounds{0.95, 0, 0.05, 0.2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newZoneSite(c.entries, map[ident.Zone]int{"a": c.engines, "b": c.engines}, true)
			c.play(s)
			last := s.now.Sub(start) - 500*time.Millisecond
			total, worst := s.sum(c.from, last), 0.0
			for i := c.from; i < last; i += 250 * time.Millisecond {
				w := s.sum(i, i+250*time.Millisecond)
				worst = max(worst, w.left())
			}
			inTime := float64(total.InTime) / float64(total.Arrived)
			if inTime < c.MinInTime || total.left() < c.MinLeft || total.left() > c.MaxLeft || worst > c.MaxWindow {
				t.Errorf("%.3f in time, %.3f left, at most %.3f in a quarter of a second; want %+v", inTime, total.left(), worst, c.bounds)
			}
			t.Logf("%.3f in time, %.3f left, at most %.3f in a quarter of a second: %v", inTime, total.left(), worst, s.entries[0].zones.Counts())
		})
	}
}

// TestLeavingForContext sends prompts of which an engine of the other zone has a long or a short document. Context that saves more than
// leaving costs is a reason to leave though the own zone is idle; else each zone would prefill every document anew.
func TestLeavingForContext(t *testing.T) {
	got := map[int]ident.UpstreamID{}
	for _, tokens := range []int{200, 20_000} {
		s := newZoneSite(1, map[ident.Zone]int{"a": 1, "b": 1}, true)
		s.run(time.Second, nil)
		e := s.entries[0]
		n := need(1, s.now, tokens, "doc", zoneObjective)
		salt := place.Salt("", model, 1)
		e.index.Update(s.now, parts.PrefilledMsg{Holder: "b00", Salt: salt, Chain: n.Shared()})
		for _, cmd := range sends(e.place.Update(s.now, place.ArriveMsg{Need: n})) {
			got[tokens] = cmd.Upstream.ID
		}
	}
	if diff := cmp.Diff(map[int]ident.UpstreamID{200: "a00", 20_000: "b00"}, got); diff != "" {
		t.Errorf("upstreams by the length of the document (-want +got):\n%s", diff)
	}
}
