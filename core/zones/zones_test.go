package zones_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/zones"
)

const objective = 400 * time.Millisecond

var start = time.Unix(1000, 0)

// views returns the states of the own zone and of two others by their expected first bytes; the third has twice the free slots.
func views(own, b, c time.Duration) []zones.View {
	view := func(zone ident.Zone, first time.Duration, free int) zones.View {
		return zones.View{Zone: zone, Usable: 4, Warm: 4, Free: free, Slots: 64, FirstByte: first}
	}
	return []zones.View{view("a", own, 0), view("b", b, 20), view("c", c, 40)}
}

// TestShareFollowsWaitsInSmallSteps observes zones a number of times in each of several states.
func TestShareFollowsWaitsInSmallSteps(t *testing.T) {
	const late, fine, early = 350 * time.Millisecond, 160 * time.Millisecond, 80 * time.Millisecond
	type state struct {
		views []zones.View
		times int
	}
	strained := func(n int) state { return state{views(late, early, early), n} }
	without := func(change func(v []zones.View)) []zones.View {
		v := views(late, early, early)
		change(v)
		return v
	}
	cold := without(func(v []zones.View) { v[1].Warm, v[2].Warm = 0, 0 })
	full := without(func(v []zones.View) { v[1].Free, v[2].Free = 2, 2 })
	lost := without(func(v []zones.View) { v[0].Usable, v[0].Warm = 0, 0 })
	cases := map[string]struct {
		states []state
		want   [2]float64
	}{
		"one burst":               {[]state{strained(1), {views(early, early, early), 1}, strained(1)}, [2]float64{0, 0}},
		"strained":                {[]state{strained(7)}, [2]float64{0.2, 0.4}},
		"strained for long":       {[]state{strained(100)}, [2]float64{0.8 / 3, 1.6 / 3}},
		"held between the bounds": {[]state{strained(7), {views(fine, early, early), 50}}, [2]float64{0.2, 0.4}},
		"relieved":                {[]state{strained(7), {views(early, early, early), 1}}, [2]float64{0.16, 0.32}},
		"relieved for long":       {[]state{strained(7), {views(early, early, early), 20}}, [2]float64{0, 0}},
		"one zone crowded":        {[]state{strained(7), {views(late, late, early), 2}}, [2]float64{0.128, 0.6}},
		"others as late":          {[]state{{views(late, late, late), 20}}, [2]float64{0, 0}},
		"others cold":             {[]state{strained(7), {cold, 1}}, [2]float64{0, 0}},
		"others full":             {[]state{{full, 20}}, [2]float64{0, 0}},
		"own zone lost":           {[]state{strained(7), {lost, 5}}, [2]float64{0.2, 0.4}},
	}
	want, got := map[string]string{}, map[string]string{}
	for name, c := range cases {
		m, now := zones.NewModel("a", 1), start
		for _, s := range c.states {
			for range s.times {
				now = now.Add(250 * time.Millisecond)
				m.Update(now, zones.ObserveMsg{Service: "s", Objective: objective, Views: s.views})
			}
		}
		all := m.Statuses("s")
		want[name], got[name] = fmt.Sprintf("%.3f", c.want), fmt.Sprintf("%.3f", [2]float64{all[0].Share, all[1].Share})
		if m.Lost("s") != (name == "own zone lost") {
			t.Errorf("%s: lost %v", name, m.Lost("s"))
		}
		permitted := map[ident.Zone]float64{}
		for ticket := range uint64(20_000) {
			zone, _ := m.Permit("s", ticket)
			permitted[zone] += 1.0 / 20_000
		}
		for _, s := range all {
			if math.Abs(permitted[s.Zone]-s.Share) > 0.02 {
				t.Errorf("%s: %.3f of the requests may leave to %s, the share is %.3f", name, permitted[s.Zone], s.Zone, s.Share)
			}
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
}

// TestPriceFollowsTheLink makes the link to a zone slow, or lossy, and then leaves it unused: the price must rise by that and fall again, as
// the link would else never be tried again.
func TestPriceFollowsTheLink(t *testing.T) {
	got := map[string][]time.Duration{}
	for name, msg := range map[string]func(zone ident.Zone) ident.Msg{
		"slow": func(zone ident.Zone) ident.Msg {
			late := map[ident.Zone]time.Duration{"a": 10 * time.Millisecond, "b": 110 * time.Millisecond}
			return zones.AnswerMsg{Service: "s", Zone: zone, Late: late[zone]}
		},
		"lossy": func(zone ident.Zone) ident.Msg {
			return zones.OutcomeMsg{Service: "s", Zone: zone, Failed: zone == "b"}
		},
	} {
		m, now := zones.NewModel("a", 1), start
		observe := func() {
			m.Update(now, zones.ObserveMsg{Service: "s", Objective: objective, Views: views(80*time.Millisecond, 80*time.Millisecond, 80*time.Millisecond)})
			got[name] = append(got[name], m.Price("s", "b").Round(5*time.Millisecond))
		}
		observe()
		for range 200 {
			m.Update(now, msg("a"))
			m.Update(now, msg("b"))
		}
		observe()
		now = now.Add(time.Minute)
		observe()
	}
	const usual = 10 * time.Millisecond
	want := map[string][]time.Duration{"slow": {usual, 110 * time.Millisecond, usual}, "lossy": {usual, 1610 * time.Millisecond, usual}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("prices before, with and after the fault (-want +got):\n%s", diff)
	}
}
