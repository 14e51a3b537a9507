package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
)

// nameLimit makes an engine name a limit in an answer at a time.
func (b *bench) nameLimit(now time.Time, engine int, perSecond float64) {
	b.fleet.Update(now, fleet.LimitMsg{ID: engineID(engine), Limit: conf.NamedLimit{Named: true, PerSecond: perSecond}, At: now})
}

// worstSpan returns the highest number of times within a span.
func worstSpan(times []time.Time, span time.Duration) (worst int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > span {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestEntriesShareNamedLimit offers each entry 10 requests a second for an engine that names a limit. The bound is the
// one that the platform states for 4 s.
func TestEntriesShareNamedLimit(t *testing.T) {
	const span, duration = 4 * time.Second, 20 * time.Second
	for _, entries := range []int{1, 7, 75, 360} {
		for _, limit := range []float64{0, 0.5, 2.7, 10, 100} {
			ids := make([]string, entries)
			for i := range ids {
				ids[i] = fmt.Sprint("entry", i)
			}
			var sent []time.Time
			for i, id := range ids {
				b := newBench(1, 100_000_000)
				b.place.SetMembers(place.Members{Self: id, Sharers: ids, Zone: "z"})
				b.nameLimit(start, 0, limit)
				for n := range int(duration / (100 * time.Millisecond)) {
					now := start.Add(time.Duration(n)*100*time.Millisecond + time.Duration(i)*time.Millisecond/4)
					ticket := place.Ticket(n + 1)
					for range sends(b.place.Update(now, place.ArriveMsg{Need: need(ticket, now, 100, "doc", time.Second)})) {
						sent = append(sent, now)
						b.place.Update(now, place.EndMsg{Ticket: ticket})
					}
					b.place.Update(now, place.WithdrawMsg{Ticket: ticket})
				}
			}
			if got, most := worstSpan(sent, span), int(1.5*limit*span.Seconds())+5; got > most {
				t.Errorf("%d entries, limit %v: %d requests in %v, %d are allowed", entries, limit, got, span, most)
			}
			offered := 10 * float64(entries)
			if least := int(min(limit, offered) * duration.Seconds() / 2); len(sent) < least {
				t.Errorf("%d entries, limit %v: %d requests in %v, want at least %d", entries, limit, len(sent), duration, least)
			}
		}
	}
}

// TestRepeatedRequestsCountAgainstNamedLimit rejects each request that is sent, so that it is placed again.
func TestRepeatedRequestsCountAgainstNamedLimit(t *testing.T) {
	b := newBench(1, 1_000_000)
	b.nameLimit(start, 0, 5)
	sent, ticket := 0, place.Ticket(0)
	var running []place.Ticket
	for ms := 0; ms < 4000; ms += 50 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		var cmds []ident.Cmd
		for _, t := range running {
			cmds = append(cmds, b.place.Update(now, place.RetryMsg{Ticket: t, Outcome: place.Rejected})...)
		}
		ticket++
		cmds = append(cmds, b.place.Update(now, place.ArriveMsg{Need: need(ticket, now, 100, "doc", time.Second)})...)
		cmds = append(cmds, b.place.Update(now, place.TickMsg{})...)
		running = nil
		for _, s := range sends(cmds) {
			sent++
			running = append(running, s.Ticket)
		}
	}
	if sent < 8 || sent > 35 {
		t.Errorf("%d requests sent in 4 s, the limit is 5 a second", sent)
	}
}

// TestColdUpstreamWithLimitKeepsTheLowerRate gives an engine that is cold at a rate of 10 a limit of 1.
func TestColdUpstreamWithLimitKeepsTheLowerRate(t *testing.T) {
	b := newBench(1, 1_000_000)
	b.fleet.Update(start, fleet.ColdMsg{ID: engineID(0), Left: time.Minute})
	b.nameLimit(start, 0, 1)
	sent := 0
	for n := range 100 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		sent += len(sends(b.place.Update(now, place.ArriveMsg{Need: need(place.Ticket(n+1), now, 100, "doc", 100*time.Millisecond)})))
	}
	if sent < 5 || sent > 10 {
		t.Errorf("%d requests sent in 10 s at a limit of 1 a second", sent)
	}
}

// TestRequestsOverTheLimitsAreRefusedAtOnce sends ten requests at a time while all engines name limits. Those without a
// token within their wait limit are refused at their arrival and told to return at different times.
func TestRequestsOverTheLimitsAreRefusedAtOnce(t *testing.T) {
	b := newBench(2, 1_000_000)
	for engine := range 2 {
		b.nameLimit(start, engine, 2.5)
	}
	var reasons []place.Reason
	var returns []time.Duration
	sent := 0
	for ticket := place.Ticket(1); ticket <= 10; ticket++ {
		for _, cmd := range b.place.Update(start, place.ArriveMsg{Need: need(ticket, start, 100, "doc", 300*time.Millisecond)}) {
			switch cmd := cmd.(type) {
			case place.SendCmd:
				sent++
			case place.RefuseCmd:
				reasons, returns = append(reasons, cmd.Reason), append(returns, cmd.RetryAfter)
			}
		}
	}
	waiting := b.place.Waiting()
	if diff := cmp.Diff([]int{2, 1, 7}, []int{sent, waiting, len(returns)}); diff != "" {
		t.Errorf("sent, waiting and refused (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(slices.Repeat([]place.Reason{place.Limited}, len(reasons)), reasons); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
	if spread := slices.Max(returns) - slices.Min(returns); spread < 700*time.Millisecond {
		t.Errorf("callers return within %v: %v", spread, returns)
	}
}

// TestPausedUpstreamLetsRequestsWait has one engine that names a limit and one that has just failed.
func TestPausedUpstreamLetsRequestsWait(t *testing.T) {
	b := newBench(2, 1_000_000)
	b.nameLimit(start, 0, 0)
	b.fleet.Update(start, fleet.BrokenMsg{ID: engineID(1)})
	for ticket := place.Ticket(1); ticket <= 3; ticket++ {
		b.place.Update(start, place.ArriveMsg{Need: need(ticket, start, 100, "doc", 300*time.Millisecond)})
	}
	if diff := cmp.Diff(2, b.place.Waiting()); diff != "" {
		t.Errorf("waiting requests (-want +got):\n%s", diff)
	}
}

// TestLimitThatNobodyConfirmsIsTriedAgain offers requests to an engine that has named a limit and is further away than one
// with room. Its limit may be over, which only another answer tells.
func TestLimitThatNobodyConfirmsIsTriedAgain(t *testing.T) {
	const duration = 60 * time.Second
	ids := []string{"entry0", "entry1", "entry2"}
	var tried []time.Time
	for _, id := range ids {
		b := newBench(1, 1_000_000)
		b.place.SetMembers(place.Members{Self: id, Sharers: ids, Zone: "z"})
		b.fleet.Update(start, fleet.ListedMsg{Upstream: conf.Upstream{
			ID: engineID(1), Service: "llm", Address: "far", Zone: "far", Slots: 16, Weights: map[ident.ModelName]int64{model: 1},
		}})
		b.nameLimit(start, 1, 2.5)
		for n := range int(duration / (100 * time.Millisecond)) {
			now, ticket := start.Add(time.Duration(n)*100*time.Millisecond), place.Ticket(n+1)
			for _, s := range sends(b.place.Update(now, place.ArriveMsg{Need: need(ticket, now, 100, "doc", time.Second)})) {
				if s.Upstream.ID == engineID(1) {
					tried = append(tried, now)
				}
				b.place.Update(now, place.EndMsg{Ticket: ticket})
			}
		}
	}
	slices.SortFunc(tried, time.Time.Compare)
	// The rate of trials is 0.2 a second.
	if len(tried) < 3 || len(tried) > 15 {
		t.Fatalf("%d requests tried the limit within %v", len(tried), duration)
	}
	if first := tried[0].Sub(start); first < 5*time.Second || first > 20*time.Second {
		t.Errorf("tried after %v for the first time", first)
	}
}
