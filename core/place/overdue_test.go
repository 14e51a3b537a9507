package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/pace"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
)

// TestOverdueRequestIsRecalled leaves a request without a first byte at its engine, and checks when it is recalled, and that it is then sent to
// another one, once. A request that waits there until its deadline fails though others could serve it; one that is recalled in vain loads
// the engines twice.
func TestOverdueRequestIsRecalled(t *testing.T) {
	const tick, objective = 25 * time.Millisecond, 500 * time.Millisecond
	type result struct {
		// Recalled is the number of recalls, Again that of the engines to which the request was sent after one.
		Recalled, Again int
	}
	once := result{1, 1}
	for name, c := range map[string]struct {
		engines int
		// off is set if recalls are on only where an upstream states its slowdown.
		off    bool
		change func(n *place.Need)
		// before is called before the request is sent, during at each tick after that.
		before func(b *bench)
		during func(b *bench, first ident.UpstreamID, now time.Time)
		// by is when it must be recalled at the latest, if that matters.
		by   time.Duration
		want result
	}{
		"frozen engine": {engines: 3, want: once},
		"only engine":   {engines: 1},
		"not asked for": {engines: 3, off: true},
		"an engine states its slowdown": {engines: 3, off: true, before: func(b *bench) {
			b.place.Update(start, place.HeadMsg{Upstream: engineID(2), Stated: true, Slowdown: 1, At: start})
		}},
		"not repeatable": {engines: 3, change: func(n *place.Need) { n.Repeatable = false }},
		"has begun": {engines: 3, during: func(b *bench, _ ident.UpstreamID, now time.Time) {
			b.place.Update(now, place.FirstByteMsg{Ticket: 1})
		}},
		"head of a stream":       {engines: 3, during: headOfAnswer, want: once},
		"head of a whole answer": {engines: 3, change: func(n *place.Need) { n.Stream = false }, during: headOfAnswer},
		"all engines full": {engines: 3, during: func(b *bench, _ ident.UpstreamID, now time.Time) {
			b.loadOthers(now, "", 16, 0)
		}},
		"queues longer than the objective": {engines: 3, before: func(b *bench) { b.loadOthers(start, "", 3, 50_000) },
			during: func(b *bench, _ ident.UpstreamID, now time.Time) { b.loadOthers(now, "", 3, 50_000) }},
		"one queue gets short": {engines: 3, before: func(b *bench) { b.loadOthers(start, "", 3, 50_000) },
			during: func(b *bench, first ident.UpstreamID, now time.Time) { b.loadOthers(now, first, 3, 50_000) }, want: once},
		"another request is queued": {engines: 3, during: func(b *bench, _ ident.UpstreamID, now time.Time) {
			b.loadOthers(now, "", 1, 0)
			if now.Equal(start.Add(tick)) {
				b.place.Update(now, place.ArriveMsg{Need: need(2, now, 2_000_000, "big", 10*time.Second)})
			}
		}},
		"engine gets slow": {engines: 3, during: func(b *bench, first ident.UpstreamID, now time.Time) {
			b.place.Update(now, place.HeadMsg{Upstream: first, Stated: true, Slowdown: 5, At: now})
		}, by: 200 * time.Millisecond, want: once},
		"would be refused elsewhere": {engines: 3, during: func(b *bench, _ ident.UpstreamID, now time.Time) {
			requests := 16
			if now.Sub(start) > 3*objective {
				requests = 9
			}
			b.loadOthers(now, "", requests, 0)
		}},
		"little time left": {engines: 3, change: func(n *place.Need) { n.Deadline = start.Add(350 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			options := []place.Option{place.WithPace(pace.NewModel())}
			if !c.off {
				options = append(options, place.WithRecall())
			}
			b := newBench(c.engines, 1_000_000)
			b.rebuild(1, place.Members{Self: "self", Sharers: []string{"self"}, Zone: "z"}, options...)
			n := need(1, start, 3000, "doc", objective)
			n.Stream, n.Repeatable = true, true
			if c.change != nil {
				c.change(&n)
			}
			if c.before != nil {
				c.before(b)
			}
			first := sends(b.place.Update(start, place.ArriveMsg{Need: n}))[0].Upstream.ID
			var got result
			for now := start.Add(tick); now.Sub(start) < 2*time.Second; now = now.Add(tick) {
				if c.during != nil {
					c.during(b, first, now)
				}
				for _, cmd := range b.place.Update(now, place.TickMsg{}) {
					r, ok := cmd.(place.RecallCmd)
					if !ok || r.Ticket != 1 {
						continue
					}
					got.Recalled++
					if now.Sub(start) < 100*time.Millisecond || c.by > 0 && now.Sub(start) > c.by || !r.Overdue {
						t.Errorf("recalled after %v: %+v", now.Sub(start), r)
					}
					msg := place.RetryMsg{Ticket: 1, Outcome: place.Cancelled, Avoid: []ident.UpstreamID{r.Upstream}, Repeatable: true}
					for _, s := range sends(b.place.Update(now, msg)) {
						if s.Upstream.ID != first {
							got.Again++
						}
					}
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestFrozenEngineIsAvoidedAfterARecall has a request recalled, and sends others. None may go to the engine that did not answer.
func TestFrozenEngineIsAvoidedAfterARecall(t *testing.T) {
	b := newBench(3, 1_000_000)
	b.rebuild(1, place.Members{Self: "self", Sharers: []string{"self"}, Zone: "z"}, place.WithRecall())
	n := need(1, start, 3000, "doc", 300*time.Millisecond)
	n.Stream, n.Repeatable = true, true
	frozen := sends(b.place.Update(start, place.ArriveMsg{Need: n}))[0].Upstream.ID
	now := start.Add(400 * time.Millisecond)
	for range b.place.Update(now, place.TickMsg{}) {
		b.place.Update(now, place.RetryMsg{Ticket: 1, Outcome: place.Cancelled, Avoid: []ident.UpstreamID{frozen}})
	}
	for ticket := place.Ticket(2); ticket < 20; ticket++ {
		for _, s := range sends(b.place.Update(now, place.ArriveMsg{Need: need(ticket, now, 3000, "other", 300*time.Millisecond)})) {
			if s.Upstream.ID == frozen {
				t.Fatalf("request %d was sent to the frozen engine", ticket)
			}
		}
		b.place.Update(now, place.EndMsg{Ticket: ticket, Outcome: place.Cancelled})
	}
}

// headOfAnswer has the head of the answer arrive.
func headOfAnswer(b *bench, first ident.UpstreamID, now time.Time) {
	b.place.Update(now, place.HeadMsg{Ticket: 1, Upstream: first, At: now})
}

// loadOthers reports loads of another entry at all engines, or at one alone.
func (b *bench) loadOthers(now time.Time, only ident.UpstreamID, requests, backlog int) {
	msg := place.PeerMsg{Peer: "other"}
	b.fleet.Scan(func(u *conf.Upstream) {
		if only == "" || u.ID == only {
			msg.Loads = append(msg.Loads, place.Load{Upstream: u.ID, Requests: requests, Backlog: backlog})
		}
	})
	b.place.Update(now, msg)
}

// TestRecalledRequestDoesNotFetchFromTheSameHolder leaves a request waiting for parts over a slow link. On the other engine it would wait for the
// same link again.
func TestRecalledRequestDoesNotFetchFromTheSameHolder(t *testing.T) {
	const tick, tokens = 25 * time.Millisecond, 8000
	b := newBench(4, 1_000_000, conf.Store{Address: "store", Zone: "z", Capacity: 10_000_000, Link: 300e9, Managed: true})
	b.rebuild(1, place.Members{Self: "self", Sharers: []string{"self"}, Zone: "z"}, place.WithRecall())
	b.index.Update(start, parts.ReportMsg{Holder: "store", Epoch: 1, At: start, Changes: []parts.Change{
		{Key: parts.NewKey(place.Salt("", model, 1), "doc"), Tokens: tokens},
	}})
	n := need(1, start, tokens, "doc", 400*time.Millisecond)
	n.Stream, n.Repeatable = true, true
	var fetched []int
	cmds := b.place.Update(start, place.ArriveMsg{Need: n})
	for now := start.Add(tick); now.Sub(start) < time.Second; now = now.Add(tick) {
		for _, s := range sends(cmds) {
			fetched = append(fetched, s.Fetched)
		}
		cmds = b.place.Update(now, place.TickMsg{})
		for _, cmd := range cmds {
			if r, ok := cmd.(place.RecallCmd); ok {
				cmds = b.place.Update(now, place.RetryMsg{Ticket: 1, Outcome: place.Cancelled, Avoid: []ident.UpstreamID{r.Upstream}, Repeatable: true})
			}
		}
	}
	if diff := cmp.Diff([]int{tokens, 0}, fetched); diff != "" {
		t.Errorf("tokens fetched (-want +got):\n%s", diff)
	}
}
