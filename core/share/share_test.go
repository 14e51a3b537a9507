package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
)

var start = time.Unix(1000, 0)

func newModel(seed uint64) *Model { return NewModel(rand.New(rand.NewPCG(seed, 1))) }

// TestLevelIsMaxMinFair draws demands and checks what defines weighted max-min fairness: everything is divided, nobody gets more than it requires, and
// who gets less than it requires gets no less for its weight than anybody else.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demands []*demand
		capacity := 0.0
		for range rapid.IntRange(1, 30).Draw(t, "organisations") {
			d := &demand{given: rapid.Float64Range(0, 100).Draw(t, "given"), weight: rapid.Float64Range(0.1, 5).Draw(t, "weight")}
			d.required = d.given + max(0, rapid.Float64Range(-50, 100).Draw(t, "unmet"))
			capacity += d.given
			demands = append(demands, d)
		}
		level, divided := divide(demands), 0.0
		for _, d := range demands {
			divided += min(d.required, d.weight*level)
		}
		if math.Abs(divided-capacity) > 1e-6*(capacity+1) {
			t.Fatalf("%g of %g is divided at level %g", divided, capacity, level)
		}
	})
}

// use gives engine time to an organisation in requests of 50 ms.
func (m *Model) use(now time.Time, org ident.OrgID, requests int) {
	for range requests {
		m.Update(now, GivenMsg{Org: org, Time: 50 * time.Millisecond})
	}
}

// TestOnlyUseBeyondTheShareIsHeldBack lets other entries report use, waits and refusals. Figures that are missing or outdated must hold nobody
// back, nor what an organisation borrowed while nobody else required it.
func TestOnlyUseBeyondTheShareIsHeldBack(t *testing.T) {
	large := PeerMsg{Peer: "p", Uses: []Use{{Org: "a", Given: 20 * time.Second}, {Org: "b", Given: 2 * time.Second}}}
	unserved := PeerMsg{Peer: "q", Uses: []Use{{Org: "b", Given: time.Second, Unmet: 9 * time.Second}, {Org: "a", Unmet: time.Second}}}
	for _, c := range []struct {
		name    string
		msgs    []ident.Msg
		options []Option
		after   time.Duration
		want    map[ident.OrgID]int
	}{
		{"nothing waits", []ident.Msg{large}, nil, 0, map[ident.OrgID]int{"a": 0, "b": 0, "c": 0}},
		{"another waits", []ident.Msg{large, unserved}, nil, 0, map[ident.OrgID]int{"a": 3, "b": 0, "c": 0}},
		{"the large one alone waits", []ident.Msg{large, PeerMsg{Peer: "q", Uses: []Use{{Org: "a", Unmet: time.Second}}}}, nil, 0, map[ident.OrgID]int{"a": 0, "b": 0, "c": 0}},
		{"its weight is large", []ident.Msg{large, unserved}, []Option{WithWeight("a", 8)}, 0, map[ident.OrgID]int{"a": 0, "b": 0, "c": 0}},
		{"repeated reports", []ident.Msg{unserved, large, unserved, large}, nil, 0, map[ident.OrgID]int{"a": 3, "b": 0, "c": 0}},
		{"the reporting entries have ended", []ident.Msg{large, unserved}, nil, peerTTL + 1, map[ident.OrgID]int{"a": 0, "b": 0, "c": 0}},
		{"unusable figures", []ident.Msg{large, PeerMsg{Peer: "q", Uses: []Use{{Org: "b", Given: -time.Hour, Unmet: math.MinInt64}}}}, nil, 0, map[ident.OrgID]int{"a": 0, "b": 0, "c": 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewModel(rand.New(rand.NewPCG(1, 1)), c.options...)
			m.use(start, "c", 3)
			for _, msg := range c.msgs {
				m.Update(start, msg)
			}
			now := start.Add(max(c.after, time.Second))
			m.Update(now, TickMsg{})
			got := map[ident.OrgID]int{}
			for org := range c.want {
				got[org] = m.Steps(now, org)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("steps (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBatchDoesNotPutBack lets an organisation of the usual size send one batch more than the others while requests wait. It
// would else change places with the others with each batch.
func TestBatchDoesNotPutBack(t *testing.T) {
	m := newModel(1)
	for i := range 12 {
		m.use(start, ident.OrgID(fmt.Sprint(i)), 30)
		m.Update(start, UnmetMsg{Org: ident.OrgID(fmt.Sprint(i)), Time: time.Second})
	}
	m.use(start, "3", 6)
	if diff := cmp.Diff(0, m.Steps(start, "3")); diff != "" {
		t.Errorf("steps after a batch (-want +got):\n%s", diff)
	}
	m.use(start, "3", 60)
	if m.Steps(start.Add(refreshInterval), "3") == 0 {
		t.Error("not put back after three times its share")
	}
}

// TestOrderOfQueue compares requests in the order in which they are to be served.
func TestOrderOfQueue(t *testing.T) {
	m := newModel(1)
	m.Update(start, PeerMsg{Peer: "p", Uses: []Use{{Org: "large", Given: 20 * time.Second}, {Org: "small", Given: time.Second, Unmet: 9 * time.Second}}})
	for range 20 {
		m.Update(start, OfferedMsg{Org: "small", Route: "fast"})
		m.Update(start, ServedMsg{Org: "small", Route: "fast", Service: "s"})
		m.Update(start, OfferedMsg{Org: "small", Route: "starved"})
	}
	request := func(org ident.OrgID, route string, rank int, slack, engine time.Duration) Request {
		return Request{Org: org, Route: route, Rank: rank, Due: start.Add(slack), Shortest: 400 * time.Millisecond, Time: engine}
	}
	ordered := []Request{
		request("small", "starved", 3, time.Second, 200*time.Millisecond),
		request("small", "fast", 0, 300*time.Millisecond, 50*time.Millisecond),
		request("small", "fast", 0, 300*time.Millisecond, 100*time.Millisecond),
		request("small", "fast", 1, 300*time.Millisecond, 100*time.Millisecond),
		request("small", "fast", 1, 700*time.Millisecond, 100*time.Millisecond),
		request("large", "fast", 0, 100*time.Millisecond, 10*time.Millisecond),
		request("large", "starved", 0, time.Second, 10*time.Millisecond),
	}
	got := slices.Clone(ordered)
	rand.New(rand.NewPCG(3, 3)).Shuffle(len(got), func(i, j int) { got[i], got[j] = got[j], got[i] })
	slices.SortStableFunc(got, func(a, b Request) int { return m.Prioritise(start, a).Compare(m.Prioritise(start, b)) })
	if diff := cmp.Diff(ordered, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestRefusedCallersReturnSpread refuses 1,000 callers in two seconds at 60 entries, as after a loss of all entries. They returned in one wave
// that was as large as the first.
func TestRefusedCallersReturnSpread(t *testing.T) {
	const entries, refusals, span = 60, 1000, 2 * time.Second
	for _, c := range []struct {
		name string
		// rate is what the fleet serves in requests a second; measured is set if that has been measured, else it follows from the upstreams.
		rate     float64
		measured bool
		// flood is the part of the refusals of one organisation.
		flood float64
	}{
		{"measured", 400, true, 0}, {"after a restart", 400, false, 0}, {"much capacity", 2000, true, 0}, {"one organisation", 400, true, 0.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			models, rng := make([]*Model, entries), rand.New(rand.NewPCG(5, 5))
			returns, own := []time.Time{}, make([]map[time.Time]bool, entries)
			for i := range models {
				models[i], own[i] = newModel(uint64(i)), map[time.Time]bool{}
				models[i].SetEntries(entries)
				models[i].SetCapacity("s", c.rate)
				if c.measured {
					models[i].Update(start, PeerMsg{Peer: "p", Rates: []Rate{{Service: "s", PerSecond: c.rate}}})
				}
			}
			for n := range refusals {
				i, now, left := rng.IntN(entries), start.Add(time.Duration(n)*span/refusals), time.Duration(8+rng.IntN(8))*time.Second
				org := ident.OrgID(fmt.Sprint(rng.IntN(24)))
				if rng.Float64() < c.flood {
					org = "flood"
				}
				after := models[i].Book(now, Return{Org: org, Service: "s", Earliest: 400 * time.Millisecond, Latest: left / 3})
				if after <= 0 || after > left/3 {
					t.Fatalf("returns after %v of %v", after, left)
				}
				at := now.Add(after).Truncate(time.Millisecond)
				if own[i][at] {
					t.Errorf("two callers of entry %d return at %v", i, at)
				}
				own[i][at] = true
				returns = append(returns, at)
			}
			slices.SortFunc(returns, time.Time.Compare)
			worst, first := 0, 0
			for i, at := range returns {
				for at.Sub(returns[first]) >= time.Second {
					first++
				}
				worst = max(worst, i-first+1)
			}
			t.Logf("%d returns in the fullest second, %.0f served a second", worst, c.rate)
			if float64(worst) > 2*c.rate {
				t.Errorf("%d callers return within a second, twice the rate is %.0f", worst, 2*c.rate)
			}
		})
	}
}

// TestReportFitsHeartbeat has 24 organisations: a report stays small, and all of them are reported within 4.5 s.
func TestReportFitsHeartbeat(t *testing.T) {
	m := newModel(1)
	reported := map[ident.OrgID]bool{}
	for n := range 9 {
		now := start.Add(time.Duration(n) * reportInterval)
		for i := range 24 {
			org := ident.OrgID(fmt.Sprintf("org-%02d", i))
			m.use(now, org, 1+i%5)
			m.Update(now, UnmetMsg{Org: org, Time: 10 * time.Millisecond})
		}
		uses, _ := m.Report(now)
		size := 0
		for _, u := range uses {
			size += useBytes + len(u.Org)
			reported[u.Org] = true
		}
		if size > reportBytes {
			t.Errorf("report of %d bytes", size)
		}
		if uses, _ := m.Report(now.Add(reportInterval / 2)); len(uses) > 0 {
			t.Error("reported twice within the interval")
		}
	}
	if diff := cmp.Diff(24, len(reported)); diff != "" {
		t.Errorf("organisations reported (-want +got):\n%s", diff)
	}
}

// TestRequestsMetLeaveNoContention has requests wait that are sent later: what is left of them must hold nobody back.
func TestRequestsMetLeaveNoContention(t *testing.T) {
	m := newModel(1)
	m.use(start, "a", 20)
	m.Update(start, UnmetMsg{Org: "b", Time: time.Second})
	got := []bool{m.Contended(start)}
	now := start.Add(2 * time.Second)
	m.Update(now, MetMsg{Org: "b", Time: time.Second, Since: start})
	got = append(got, m.Contended(now))
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("contended (-want +got):\n%s", diff)
	}
}
