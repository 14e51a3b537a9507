package place_test

import (
	"fmt"
	"math"
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
	"cicadavalve/core/share"
)

const (
	shareEntries, shareEngines = 6, 6
	// shareCapacity is about how many requests of shareLoad the engines can prefill in a second.
	shareCapacity = 100.0
	// minFairness is the goal for the worst organisation relative to the best, at equal offered load.
	minFairness     = 0.8
	shareReplayStep = 5 * time.Millisecond
)

// caller is a request with its caller's returns.
type caller struct {
	need  place.Need
	entry int
	at    time.Time
	left  int
	// served is set if the first byte came within the objective.
	served bool
}

// shareReplay offers recorded arrivals to several entries before engines that prefill one prompt after the other.
type shareReplay struct {
	entries []*bench
	shares  []*share.Model
	free    [shareEngines]time.Time
	callers []*caller
	// due holds first bytes and ends that are still to come.
	due []func()
	at  []time.Time
}

func newShareReplay(shared bool) *shareReplay {
	r := &shareReplay{}
	routes := []conf.Route{
		{Name: "chat", Objective: 500 * time.Millisecond, Shares: []conf.Share{{Service: "llm", Weight: 1}}},
		{Name: "batch", Rank: 3, Objective: 2 * time.Second, Shares: []conf.Share{{Service: "llm", Weight: 1}}},
	}
	ids := []string{}
	for i := range shareEntries {
		ids = append(ids, fmt.Sprint("entry", i))
	}
	for i := range shareEntries {
		b, rng := &bench{fleet: fleet.NewModel(), index: parts.NewIndex()}, rand.New(rand.NewPCG(uint64(i), 1))
		var s *share.Model
		if shared {
			s = share.NewModel(rng)
		}
		b.place = place.NewModel(b.fleet, b.index, rng, place.WithShares(s))
		b.place.SetConfig(conf.NewSet(conf.Data{Routes: routes, Services: []conf.Service{{Name: "llm", Engine: &conf.Engine{Slots: 64, Memory: 400_000}}}}))
		b.place.SetMembers(place.Members{Self: ids[i], Sharers: ids, Zone: "z", ReportInterval: 100 * time.Millisecond})
		for e := range shareEngines {
			b.fleet.Update(start, fleet.ListedMsg{Upstream: conf.Upstream{
				ID: engineID(e), Service: "llm", Address: string(engineID(e)), Zone: "z", Slots: 64, Weights: map[ident.ModelName]int64{model: 1},
			}})
		}
		r.entries, r.shares = append(r.entries, b), append(r.shares, s)
	}
	return r
}

func (r *shareReplay) schedule(at time.Time, f func()) {
	i, _ := slices.BinarySearchFunc(r.at, at.Add(1), time.Time.Compare)
	r.at, r.due = slices.Insert(r.at, i, at), slices.Insert(r.due, i, f)
}

// perform carries out the commands of an entry. A refused caller waits as stated, up to a third of its time, as long as it has returns left.
func (r *shareReplay) perform(now time.Time, entry int, cmds []ident.Cmd, impatient func(ident.OrgID) bool) {
	b := r.entries[entry]
	for _, s := range sends(cmds) {
		engine := slices.Index([]ident.UpstreamID{"e00", "e01", "e02", "e03", "e04", "e05"}, s.Upstream.ID)
		begun := now
		if r.free[engine].After(now) {
			begun = r.free[engine]
		}
		r.free[engine] = begun.Add(time.Duration(s.Missing) * 12 * time.Microsecond)
		first := r.free[engine].Add(40 * time.Millisecond)
		r.schedule(first, func() {
			c := r.callers[s.Ticket]
			c.served = !first.After(c.need.Arrived.Add(c.need.Objective))
			r.perform(first, entry, b.place.Update(first, place.FirstByteMsg{Ticket: s.Ticket}), impatient)
		})
		end := first.Add(200 * time.Millisecond)
		r.schedule(end, func() { r.perform(end, entry, b.place.Update(end, place.EndMsg{Ticket: s.Ticket}), impatient) })
	}
	for _, refused := range refusals(cmds) {
		c := r.callers[refused.Ticket]
		after := min(refused.RetryAfter, c.need.Deadline.Sub(now)/3)
		if impatient(c.need.Org) {
			after = 15 * time.Millisecond
		}
		if c.left--; c.left < 0 || after <= 0 {
			continue
		}
		at := now.Add(after)
		r.schedule(at, func() {
			c.need.Arrived = at
			r.perform(at, c.entry, r.entries[c.entry].place.Update(at, place.ArriveMsg{Need: c.need}), impatient)
		})
	}
}

// run offers the callers and exchanges heartbeats until the last deadline.
func (r *shareReplay) run(until time.Time, impatient func(ident.OrgID) bool) {
	for i, c := range r.callers {
		c.need.Ticket = place.Ticket(i)
		r.schedule(c.at, func() {
			r.perform(c.at, c.entry, r.entries[c.entry].place.Update(c.at, place.ArriveMsg{Need: c.need}), impatient)
		})
	}
	for now, n := start, 0; now.Before(until); now, n = now.Add(shareReplayStep), n+1 {
		for len(r.at) > 0 && !r.at[0].After(now) {
			f := r.due[0]
			r.at, r.due = r.at[1:], r.due[1:]
			f()
		}
		for i, b := range r.entries {
			if n%4 == 0 {
				r.perform(now, i, b.place.Update(now, place.TickMsg{}), impatient)
			}
			if n%20 != i {
				continue
			}
			msg := share.PeerMsg{Peer: fmt.Sprint("entry", i)}
			if r.shares[i] != nil {
				msg.Uses, msg.Rates = r.shares[i].Report(now)
			}
			for j, other := range r.entries {
				if j == i {
					continue
				}
				other.place.Update(now, place.PeerMsg{Peer: msg.Peer, Loads: b.place.Loads()})
				if r.shares[j] != nil {
					r.shares[j].Update(now, msg)
				}
			}
		}
	}
}

// served returns the part of the callers that were served in time, by a property of theirs.
func (r *shareReplay) served(by func(*caller) string) (parts map[string]float64) {
	count, all := map[string]float64{}, map[string]float64{}
	for _, c := range r.callers {
		all[by(c)]++
		if c.served {
			count[by(c)]++
		}
	}
	parts = map[string]float64{}
	for k, n := range all {
		parts[k] = count[k] / n
	}
	return parts
}

// spread returns the lowest and the highest value.
func spread(parts map[string]float64) (lowest, highest float64) {
	lowest = math.Inf(1)
	for _, p := range parts {
		lowest, highest = min(lowest, p), max(highest, p)
	}
	return lowest, highest
}

// shareLoad returns callers of 12 organisations, 3 at a time, a quarter of them with long prompts of low urgency. rate is relative to shareCapacity.
func shareLoad(duration time.Duration, rate func(t time.Duration) float64, org func(rng *rand.Rand) int) (callers []*caller) {
	rng := rand.New(rand.NewPCG(7, 7))
	for t := time.Duration(0); t < duration; t += shareReplayStep {
		if rng.Float64() >= rate(t)*shareCapacity*shareReplayStep.Seconds()/3 {
			continue
		}
		name, entry := ident.OrgID(fmt.Sprintf("org%02d", org(rng))), rng.IntN(shareEntries)
		for i := range 3 {
			at := start.Add(t + time.Duration(i)*time.Millisecond)
			n := need(0, at, 3000+rng.IntN(2000), fmt.Sprint("doc", len(callers)), 500*time.Millisecond)
			n.Route = "chat"
			if rng.IntN(4) == 0 {
				n.Route, n.Rank, n.Objective = "batch", 3, 2*time.Second
				n.Chain[0].Tokens *= 2
			}
			n.Org = name
			callers = append(callers, &caller{need: n, entry: entry, at: at, left: 1})
		}
	}
	slices.SortStableFunc(callers, func(a, b *caller) int { return a.at.Compare(b.at) })
	return callers
}

// TestSharesUnderLoad replays the loads that two deployments have: without shares an organisation with much traffic, or one whose callers
// return at once, took the place of the others, and long prompts of low urgency got none.
func TestSharesUnderLoad(t *testing.T) {
	even := func(rng *rand.Rand) int { return rng.IntN(12) }
	third := func(rng *rand.Rand) int { return max(0, rng.IntN(18)-6) }
	wave := func(t time.Duration) float64 { return 1.1 + 0.4*math.Sin(2*math.Pi*t.Seconds()/13) }
	burst := func(t time.Duration) float64 {
		if t%(8*time.Second) > 6*time.Second {
			return 2.6
		}
		return 0.7
	}
	restart := func(t time.Duration) float64 {
		if t < time.Second {
			return 4
		}
		return 1
	}
	for _, c := range []struct {
		name      string
		rate      func(time.Duration) float64
		org       func(*rand.Rand) int
		impatient ident.OrgID
	}{
		{"waves", wave, even, ""},
		{"bursts", burst, even, ""},
		{"one organisation with a third", func(t time.Duration) float64 { return wave(t) * 1.2 }, third, ""},
		{"callers that return at once", func(time.Duration) float64 { return 1.3 }, even, "org00"},
		{"all at once after a restart", restart, even, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			inTime := map[bool]float64{}
			for _, shared := range []bool{false, true} {
				r := newShareReplay(shared)
				r.callers = shareLoad(16*time.Second, c.rate, c.org)
				impatient := func(org ident.OrgID) bool { return org == c.impatient }
				for _, caller := range r.callers {
					if impatient(caller.need.Org) {
						caller.left = 40
					}
				}
				r.run(start.Add(20*time.Second), impatient)
				orgs, routes := r.served(func(c *caller) string { return string(c.need.Org) }), r.served(func(c *caller) string { return c.need.Route })
				inTime[shared] = r.served(func(*caller) string { return "" })[""]
				first := orgs["org00"]
				delete(orgs, "org00")
				worst, best := spread(orgs)
				t.Logf("shared %v: in time %.3f, org00 %.3f, others %.3f to %.3f, routes %.2v", shared, inTime[shared], first, worst, best, routes)
				if !shared {
					continue
				}
				if worst < minFairness*best || first > best/minFairness {
					t.Errorf("organisations: %.3f to %.3f, org00 %.3f", worst, best, first)
				}
				if least, _ := spread(routes); least < 0.25*inTime[shared] {
					t.Errorf("a route is served %.3f, all %.3f", least, inTime[shared])
				}
			}
			if inTime[true] < inTime[false] {
				t.Errorf("in time with shares: %.3f, without %.3f", inTime[true], inTime[false])
			}
		})
	}
}

// TestOrganisationBelowItsShareGoesFirst has a long prompt of a small organisation wait for memory, while short ones of an organisation above its
// share would fit into what becomes free bit by bit. They may have it while the long one has time, and not after that.
func TestOrganisationBelowItsShareGoesFirst(t *testing.T) {
	b, s := newBench(1, 20_000), share.NewModel(rand.New(rand.NewPCG(1, 1)))
	place.WithShares(s)(b.place)
	request := func(ticket place.Ticket, now time.Time, org ident.OrgID, tokens int) []ident.Cmd {
		n := need(ticket, now, tokens, fmt.Sprint("doc", ticket), 3*time.Second)
		n.Org = org
		return b.place.Update(now, place.ArriveMsg{Need: n})
	}
	s.Update(start, share.PeerMsg{Peer: "p", Uses: []share.Use{{Org: "large", Given: 40 * time.Second}, {Org: "small", Given: time.Second, Unmet: 9 * time.Second}}})
	var got []string
	note := func(what string, cmds []ident.Cmd) {
		for _, sent := range sends(cmds) {
			what += fmt.Sprint(" sends ", sent.Ticket)
		}
		for _, refused := range refusals(cmds) {
			what += fmt.Sprint(" refuses ", refused.Ticket)
		}
		got = append(got, what)
	}
	for ticket := range place.Ticket(2) {
		request(ticket, start, "other", 8000)
		b.place.Update(start, place.FirstByteMsg{Ticket: ticket})
	}
	note("long prompt", request(2, start, "small", 12_000))
	early, late := start.Add(100*time.Millisecond), start.Add(2*time.Second)
	note("first end", b.place.Update(early, place.EndMsg{Ticket: 0}))
	note("large early", request(3, early, "large", 500))
	b.place.Update(early, place.FirstByteMsg{Ticket: 3})
	note("large's end", b.place.Update(late, place.EndMsg{Ticket: 3}))
	note("large late", request(4, late, "large", 500))
	note("tick", b.place.Update(late.Add(25*time.Millisecond), place.TickMsg{}))
	note("other late", request(5, late, "other", 500))
	b.place.Update(late, place.FirstByteMsg{Ticket: 5})
	note("other's end", b.place.Update(late, place.EndMsg{Ticket: 5}))
	note("second end", b.place.Update(late.Add(50*time.Millisecond), place.EndMsg{Ticket: 1}))
	note("objective over", b.place.Update(start.Add(3100*time.Millisecond), place.TickMsg{}))
	want := []string{
		"long prompt", "first end", "large early sends 3", "large's end", "large late", "tick", "other late sends 5", "other's end", "second end sends 2 sends 4", "objective over",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
}

// TestRequestSentAgainKeepsItsLimit has an upstream break an answer off after the objective, while other prompts are ahead at the next one. An
// answer that had begun was given up with shares, though it could go on.
func TestRequestSentAgainKeepsItsLimit(t *testing.T) {
	b := newBench(1, 200_000)
	place.WithShares(share.NewModel(rand.New(rand.NewPCG(1, 1))))(b.place)
	b.place.Update(start, place.ArriveMsg{Need: need(1, start, 1000, "doc", time.Second)})
	b.place.Update(start.Add(time.Second/2), place.FirstByteMsg{Ticket: 1})
	later := start.Add(3 * time.Second / 2)
	b.place.Update(later, place.ArriveMsg{Need: need(2, later, 2000, "other", time.Second)})
	got := len(sends(b.place.Update(later, place.RetryMsg{Ticket: 1, Outcome: place.Broken})))
	if diff := cmp.Diff(1, got); diff != "" {
		t.Errorf("sent again (-want +got):\n%s", diff)
	}
}
