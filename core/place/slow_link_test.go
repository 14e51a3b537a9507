package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
)

// slowLink replays requests whose shared parts one store keeps, while its link is slower than its configuration says. A transfer waits for
// those before it; one that is not complete in time is given up, and the engine prefills the prompt.
type slowLink struct {
	*bench
	transfer, prefill time.Duration
	linkFree          time.Time
	engineFree        map[ident.UpstreamID]time.Time
	due               []firstByte
}

type firstByte struct {
	ticket place.Ticket
	at     time.Time
}

// run sends a request now and returns when its first byte comes.
func (s *slowLink) run(now time.Time, cmd place.SendCmd) (at time.Time) {
	begin := now
	if free := s.engineFree[cmd.Upstream.ID]; free.After(begin) {
		begin = free
	}
	if slices.ContainsFunc(cmd.Fetch, func(f conf.Source) bool { return f.Address != "" }) {
		if s.linkFree.Before(now) {
			s.linkFree = now
		}
		end, limit := s.linkFree.Add(s.transfer), now.Add(cmd.FetchWithin)
		if !s.linkFree.After(limit) {
			s.linkFree = end
		}
		if !end.After(limit) {
			return end.Add(41 * time.Millisecond)
		}
		if limit.After(begin) {
			begin = limit
		}
	}
	s.engineFree[cmd.Upstream.ID] = begin.Add(s.prefill)
	return begin.Add(s.prefill + 41*time.Millisecond)
}

// advance reports the first bytes that have come.
func (s *slowLink) advance(now time.Time) {
	for len(s.due) > 0 && !s.due[0].at.After(now) {
		s.place.Update(s.due[0].at, place.FirstByteMsg{Ticket: s.due[0].ticket})
		s.place.Update(s.due[0].at, place.EndMsg{Ticket: s.due[0].ticket})
		s.due = s.due[1:]
	}
}

// TestSlowLinkIsAvoided lets the link of a store become eight times slower than configured, so that it can't carry all fetches. From the second
// second on nearly all requests must be in time: those that the link can't carry are prefilled, and none waits for long behind it.
func TestSlowLinkIsAvoided(t *testing.T) {
	t.Parallel()
	const interval, objective, tokens = 25 * time.Millisecond, 300 * time.Millisecond, 8000
	store := conf.Store{Address: "store", Zone: "z", Capacity: 10_000_000, Link: 300e9, Managed: true}
	s := &slowLink{bench: newBench(10, 1_000_000, store), transfer: 34 * time.Millisecond, prefill: 96 * time.Millisecond, engineFree: map[ident.UpstreamID]time.Time{}}
	var kept []parts.Change
	for i := range 400 {
		salt := place.Salt("", model, 1)
		kept = append(kept, parts.Change{Key: parts.NewKey(salt, fmt.Sprint("doc", i)), Tokens: tokens})
	}
	late, all := 0, 0
	var longest time.Duration
	for i := range 400 {
		now := start.Add(time.Duration(i) * interval)
		s.index.Update(now, parts.ReportMsg{Holder: "store", Epoch: 1, At: now, Changes: kept})
		s.advance(now)
		ticket := place.Ticket(i + 1)
		for _, cmd := range sends(s.place.Update(now, place.ArriveMsg{Need: need(ticket, now, tokens, fmt.Sprint("doc", i), objective)})) {
			at := s.run(now, cmd)
			s.due = append(s.due, firstByte{ticket, at})
			slices.SortFunc(s.due, func(a, b firstByte) int { return a.at.Compare(b.at) })
			if now.Sub(start) >= time.Second {
				all++
				longest = max(longest, at.Sub(now))
				if at.Sub(now) > objective {
					late++
				}
			}
		}
	}
	t.Logf("%d of %d requests late, the longest took %v", late, all, longest)
	if all < 300 || late > all/10 || longest > 2*objective {
		t.Errorf("%d of %d requests were late, the longest took %v", late, all, longest)
	}
}
