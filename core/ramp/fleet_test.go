package ramp_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ramp"
)

// answer is how an upstream answers: after its normal time times a factor, or with a failure.
type answer struct {
	factor float64
	fails  bool
}

// release returns the answer of the new release to a request, given the time since the order and its number of requests in
// flight.
type release func(rng *rand.Rand, age time.Duration, route string, inFlight int) answer

// reply is an answer that is due.
type reply struct {
	entry   int
	id      uint64
	firstAt time.Time
	endsAt  time.Time
	isNew   bool
	bad     bool
	failed  bool
	first   bool
}

// fleet simulates entries and the upstreams of an old and a new release, from five seconds before the order on.
type fleet struct {
	rng     *rand.Rand
	entries []*ramp.Model
	// cut entries neither hear others nor are heard; the one at holder decides unless the store is away.
	cut    map[int]bool
	holder int
	away   bool
	now    time.Time
	next   uint64
	due    []reply
	answer release
	// total counts the requests until the deadline, exposed those at the new release.
	total, exposed int
	inFlight       map[bool]int
	bad            []time.Time
	lastNew        time.Time
	states         []ramp.Recorded
	// loss is the probability that a report is lost.
	loss float64
	// perTick is the number of requests in each tick.
	perTick int
	// linkLostAt is when each entry lost its links to the upstreams, and breaks is set if its requests break off then; else they
	// are left without an answer.
	linkLostAt map[int]time.Time
	breaks     bool
	// crashes is set if the upstreams of the new release break off what fails there, and nobody reaches them after that.
	crashes bool
}

func newFleet(seed uint64, entries int, answer release) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: start.Add(-5 * time.Second), answer: answer, cut: map[int]bool{}, perTick: normalLoad, inFlight: map[bool]int{}, linkLostAt: map[int]time.Time{}}
	for range entries {
		f.entries = append(f.entries, f.newEntry())
	}
	return f
}

func (f *fleet) newEntry() *ramp.Model {
	m := ramp.NewModel(limits, rand.New(rand.NewPCG(f.rng.Uint64(), 1)))
	m.Update(f.now, ramp.StatesMsg{States: f.newest()})
	m.See(f.now, service, "v1", start.Add(-time.Hour))
	return m
}

// newest returns the newest state in the store.
func (f *fleet) newest() []ramp.Recorded {
	if len(f.states) == 0 {
		return nil
	}
	return f.states[len(f.states)-1:]
}

// order gives an entry the order. One that has just started doesn't know when it was given.
func (f *fleet) order(entry int) {
	since := f.now
	if f.now.After(start) {
		since = time.Time{}
	}
	f.entries[entry].Update(f.now, ramp.OrderMsg{Service: service, Target: "v2", Within: within, Since: since})
	f.entries[entry].See(f.now, service, "v2", start)
}

// run plays until an age of the order; at each tick it calls disturb.
func (f *fleet) run(until time.Duration, disturb func(age time.Duration)) {
	ordered := false
	for ; f.now.Before(start.Add(until)); f.now = f.now.Add(tick) {
		if !ordered && !f.now.Before(start) {
			ordered = true
			for i := range f.entries {
				f.order(i)
			}
		}
		if disturb != nil {
			disturb(f.now.Sub(start))
		}
		f.deliver()
		for range f.perTick {
			f.send(f.rng.IntN(len(f.entries)))
		}
		f.gossip()
		for i, m := range f.entries {
			f.perform(i, m.Update(f.now, f.tickMsg(i)))
		}
	}
}

func (f *fleet) tickMsg(i int) ramp.TickMsg {
	var others []string
	for j := range f.entries {
		if j != i && !f.cut[j] && !f.cut[i] {
			others = append(others, fmt.Sprint(j))
		}
	}
	return ramp.TickMsg{Holds: i == f.holder && !f.away, Entries: others, Link: func(id ident.UpstreamID) ramp.Link { return f.link(i, id) }, Pool: func(ident.ServiceName, ramp.Release) ramp.Pool {
		return ramp.Pool{OldSlots: 100, NewSlots: 100, Old: 4, OldInFlight: f.inFlight[false]}
	}}
}

// link describes the link of an entry to an upstream. A loss is known after a time.
func (f *fleet) link(entry int, id ident.UpstreamID) ramp.Link {
	if f.crashes && strings.HasPrefix(string(id), "v2") {
		return ramp.Link{}
	}
	if at, lost := f.linkLostAt[entry]; lost {
		return ramp.Link{ContactAt: at.Add(-tick), Lost: f.now.Sub(at) >= lossKnownAfter}
	}
	return ramp.Link{ContactAt: f.now.Add(-tick)}
}

func (f *fleet) perform(entry int, cmds []ident.Cmd) {
	for _, cmd := range cmds {
		if c, ok := cmd.(ramp.RecordCmd); ok {
			if !f.away {
				f.states = append(f.states, c.Recorded)
			}
			f.entries[entry].Update(f.now, ramp.RecordedMsg{Recorded: c.Recorded, Failed: f.away})
		}
	}
}

func (f *fleet) gossip() {
	for i, from := range f.entries {
		for _, report := range from.Reports(f.now) {
			for j, to := range f.entries {
				if i != j && !f.cut[i] && !f.cut[j] && f.rng.Float64() >= f.loss {
					f.perform(j, to.Update(f.now, ramp.ReportMsg{Entry: fmt.Sprint(i), Report: report}))
				}
			}
		}
	}
}

func (f *fleet) send(entry int) {
	m, route := f.entries[entry], routes[f.rng.IntN(len(routes))]
	sampled := m.Pick(f.now, service, route)
	var allowed []ramp.Release
	for _, r := range []ramp.Release{"v1", "v2"} {
		if (r == "v1" || !f.now.Before(start)) && m.Allows(f.now, service, r, sampled) {
			allowed = append(allowed, r)
		}
	}
	if len(allowed) == 0 {
		return
	}
	to := allowed[f.rng.IntN(len(allowed))]
	isNew := to == "v2"
	f.next++
	a := answer{factor: 1}
	if isNew {
		a = f.answer(f.rng, f.now.Sub(start), route, f.inFlight[true])
		f.lastNew = f.now
	}
	if age := f.now.Sub(start); age >= 0 && age < within {
		f.total++
		if isNew {
			f.exposed++
		}
	}
	// Times vary by a factor of about two, and by route.
	normal := 100 * time.Millisecond * time.Duration(1+slices.Index(routes, route))
	first := time.Duration(float64(normal) * (0.6 + f.rng.ExpFloat64()*0.4) * a.factor)
	whole := time.Duration(float64(2*normal) * (0.6 + f.rng.ExpFloat64()*0.4) * a.factor)
	f.due = append(f.due, reply{
		entry: entry, id: f.next, firstAt: f.now.Add(first), endsAt: f.now.Add(max(first, whole)), isNew: isNew, bad: a.fails || a.factor > 2, failed: a.fails,
	})
	f.inFlight[isNew]++
	m.Update(f.now, ramp.SentMsg{Attempt: ramp.Attempt{
		ID: f.next, Service: service, Route: route, Upstream: ident.UpstreamID(fmt.Sprint(to, f.next%upstreams)), Release: to, Expected: normal, Output: 100,
	}})
}

func (f *fleet) deliver() {
	var left []reply
	for _, r := range f.due {
		m := f.entries[r.entry]
		if at, lost := f.linkLostAt[r.entry]; lost {
			known := f.now.Sub(at) >= lossKnownAfter
			if known || f.breaks {
				m.Update(f.now, ramp.EndMsg{ID: r.id, Failed: !known, Broken: !known, Void: known})
				f.inFlight[r.isNew]--
			} else {
				left = append(left, r)
			}
			continue
		}
		if !r.first && !f.now.Before(r.firstAt) {
			r.first = true
			m.Update(f.now, ramp.FirstByteMsg{ID: r.id})
		}
		if f.now.Before(r.endsAt) {
			left = append(left, r)
			continue
		}
		m.Update(f.now, ramp.EndMsg{ID: r.id, Failed: r.failed, Broken: r.failed && f.crashes})
		f.inFlight[r.isNew]--
		if r.bad {
			f.bad = append(f.bad, f.now)
		}
	}
	f.due = left
}
