// Package limit decides how much work may go where.
package limit

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// Slots splits the slots of cold upstreams over the members of the roster, so that
// the entries together never run more on a cold upstream than it bears.
//
//	if slots.Acquire(now, upstream, bears, request) {
//		defer slots.Release(request)
//	}
type Slots struct {
	timing Timing
	self   Holder
	// lease ends the time in which this entry may start work on a slot.
	lease time.Time
	// history holds the members of each epoch of the last Wait, the newest last.
	history []membership
	// blocked ends a time in which no slot is used, since history was cut.
	blocked time.Time
	// settled holds the newest epoch under which another entry runs no more than its slots.
	settled   map[Holder]int64
	asked     map[Holder]time.Time
	upstreams map[ident.UpstreamID]*warmth
	// running holds what each request has acquired.
	running map[ident.RequestID]grant
	asks    []ident.Cmd
}

// membership is the roster from one epoch to the next.
type membership struct {
	epoch   int64
	holders []Holder
	// ended is when this entry learnt of the next epoch; zero for the newest.
	ended time.Time
}

// Timing holds the durations that the safety of slots rests on; all entries use the same.
type Timing struct {
	// Lease is how long a read of the roster lets an entry start work on its slots.
	Lease time.Duration
	// Margin covers clocks that run at different rates.
	Margin time.Duration
	// Hold is the longest that one request keeps a slot.
	Hold time.Duration
	// Cold is the longest that an upstream stays cold after a boot.
	Cold time.Duration
	// ReportLag is the longest that an upstream's report lags.
	ReportLag time.Duration
}

// Wait is how long an entry leaves a slot alone that another one held before.
func (t Timing) Wait() time.Duration { return t.Lease + t.Margin + t.Hold }

// DefaultTiming is what an entry uses unless its settings say otherwise.
func DefaultTiming() Timing {
	return Timing{
		Lease: 3 * time.Second, Margin: 500 * time.Millisecond, Hold: 10 * time.Second, Cold: 5 * time.Second,
		ReportLag: time.Second,
	}
}

const (
	mostHistory = 64
	askInterval = 100 * time.Millisecond
)

// NewSlots is a set of slots of an entry that is no member yet.
func NewSlots(t Timing) *Slots {
	return &Slots{
		timing: t, settled: map[Holder]int64{}, asked: map[Holder]time.Time{},
		upstreams: map[ident.UpstreamID]*warmth{}, running: map[ident.RequestID]grant{},
	}
}

// Update takes a message of this package and returns the questions for other entries.
func (s *Slots) Update(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case MembersMsg:
		s.setMembers(now, msg)
	case LeaseMsg:
		s.self, s.lease = msg.Holder, msg.Until
	case SettledMsg:
		s.settle(now, msg)
	}
	return s.Asks()
}

// Asks returns the questions that have come up since the last call.
func (s *Slots) Asks() (asks []ident.Cmd) {
	asks, s.asks = s.asks, nil
	return asks
}

func (s *Slots) setMembers(now time.Time, msg MembersMsg) {
	if n := len(s.history); n > 0 {
		if msg.Epoch <= s.history[n-1].epoch {
			return
		}
		s.history[n-1].ended = now
	}
	if msg.Cut {
		s.blocked = now.Add(s.timing.Wait())
	}
	s.history = append(s.history, membership{epoch: msg.Epoch, holders: slices.Clone(msg.Holders)})
	s.prune(now)
}

// prune forgets the memberships that ended more than Wait ago.
func (s *Slots) prune(now time.Time) {
	over := len(s.history) - mostHistory
	for i, m := range s.history {
		if m.ended.IsZero() || now.Sub(m.ended) < s.timing.Wait() {
			s.history = s.history[i:]
			break
		}
		over--
	}
	if over > 0 {
		s.blocked = now.Add(s.timing.Wait())
		s.history = s.history[over:]
	}
	for h := range s.settled {
		if !s.remembered(h) {
			delete(s.settled, h)
			delete(s.asked, h)
		}
	}
}

func (s *Slots) remembered(h Holder) bool {
	return slices.ContainsFunc(s.history, func(m membership) bool { return slices.Contains(m.holders, h) })
}

func (s *Slots) settle(now time.Time, msg SettledMsg) {
	s.settled[msg.From] = max(s.settled[msg.From], msg.Epoch)
	u, known := s.upstreams[msg.Upstream]
	if known && msg.Boot != "" && u.boot == msg.Boot && !s.asked[msg.From].Before(u.since) {
		u.level, u.since = max(u.level, warmLevel), now
	}
}

// Acquire takes a slot of an upstream for a request, and reports whether there was one.
// An upstream that is warm has a slot for every request.
func (s *Slots) Acquire(now time.Time, id ident.UpstreamID, bears int, r ident.RequestID) bool {
	if !s.Free(now, id, bears) {
		return false
	}
	s.running[r] = grant{id, now}
	s.get(now, id).running++
	return true
}

// Release gives back what a request has acquired. Unless the upstream has ended the request,
// it may run on there, so that its slot counts as used until Hold has passed.
func (s *Slots) Release(now time.Time, r ident.RequestID, ended bool) {
	g, held := s.running[r]
	if !held {
		return
	}
	delete(s.running, r)
	u := s.get(now, g.upstream)
	u.running--
	if !ended {
		u.lingering = append(u.lingering, g.since.Add(s.timing.Hold))
	}
}

// Free reports whether [Slots.Acquire] would succeed.
func (s *Slots) Free(now time.Time, id ident.UpstreamID, bears int) bool {
	u := s.get(now, id)
	u.bears = bears
	u.warmUp(now, s.timing)
	if u.step() >= warmLevel {
		return true
	}
	if !now.Before(s.lease) || now.Before(s.blocked) || len(s.history) == 0 {
		return false
	}
	usable, used := 0, u.used(now)
	for k := range bears << u.step() {
		if s.usable(now, id, k) {
			usable++
		}
		if usable > used {
			return true
		}
	}
	return false
}

// usable reports whether this entry alone may use a slot: it owns the slot, and each entry
// that owned it within the last Wait has said that it has given it up.
func (s *Slots) usable(now time.Time, id ident.UpstreamID, k int) bool {
	n := len(s.history)
	if owner(s.history[n-1].holders, id, k) != s.self {
		return false
	}
	free := true
	for i, m := range s.history[:n-1] {
		held := owner(m.holders, id, k)
		if held == s.self || held == (Holder{}) || now.Sub(m.ended) >= s.timing.Wait() {
			continue
		}
		if s.settled[held] < s.history[i+1].epoch {
			s.ask(now, held, id)
			free = false
		}
	}
	return free
}

func (s *Slots) ask(now time.Time, h Holder, id ident.UpstreamID) {
	if now.Sub(s.asked[h]) < askInterval {
		return
	}
	s.asked[h] = now
	s.asks = append(s.asks, AskCmd{To: h, Upstream: id})
}

// Settled answers another entry's [AskCmd]. The epoch is 0 while this entry runs more
// on some upstream than the slots that it owns now.
func (s *Slots) Settled(now time.Time, id ident.UpstreamID) (msg SettledMsg) {
	msg = SettledMsg{From: s.self, Upstream: id}
	if u, known := s.upstreams[id]; known && u.step() >= warmLevel {
		msg.Boot = u.boot
	}
	n := len(s.history)
	if n == 0 {
		return msg
	}
	for id, u := range s.upstreams {
		if u.step() < warmLevel && u.used(now) > s.owned(id, u.bears<<u.step()) {
			return msg
		}
	}
	msg.Epoch = s.history[n-1].epoch
	return msg
}

// Overdue lists the requests that have nearly kept a slot of a cold upstream for as long as Hold; they
// are to be stopped there and run elsewhere.
func (s *Slots) Overdue(now time.Time) (requests []ident.RequestID) {
	for r, g := range s.running {
		if s.get(now, g.upstream).step() < warmLevel && now.Sub(g.since) >= s.timing.Hold-s.timing.Margin {
			requests = append(requests, r)
		}
	}
	slices.Sort(requests)
	return requests
}

func (s *Slots) owned(id ident.UpstreamID, slots int) (n int) {
	holders := s.history[len(s.history)-1].holders
	for k := range slots {
		if owner(holders, id, k) == s.self {
			n++
		}
	}
	return n
}
