// Package limit bounds how many requests the entries together run on an upstream that is not warm.
package limit

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// Slots divides the slots of cold upstreams among the members of the roster, so that the entries
// together never exceed the capacity of a cold upstream.
//
//	if slots.Acquire(now, upstream, capacity, request) {
//		// Run the request, then:
//		slots.Release(now, request, ended)
//	}
type Slots struct {
	timing Timing
	self   Holder
	// leaseEnd is until when this entry may start requests on its slots.
	leaseEnd time.Time
	// history holds the memberships that were current within the last [Timing.HandoverDelay], the newest last.
	history []membership
	// blockedUntil is until when no slot is used, as memberships are missing from history.
	blockedUntil time.Time
	// settledEpochs holds, by other entry, the newest epoch under which it runs no more than its slots.
	settledEpochs map[Holder]int64
	askedAt       map[Holder]time.Time
	upstreams     map[ident.UpstreamID]*warmup
	// running holds the slot that each request has acquired.
	running     map[ident.RequestID]grant
	pendingAsks []ident.Cmd
}

// membership holds the members of one epoch of the roster.
type membership struct {
	epoch   int64
	holders []Holder
	// endedAt is when this entry received the next epoch; zero for the newest.
	endedAt time.Time
}

// Timing holds the durations on which the safety of slots depends; they must be the same on all entries.
type Timing struct {
	// Lease is how long after a read of the roster an entry may start requests on its slots.
	Lease time.Duration
	// Margin allows for clocks that run at different rates.
	Margin time.Duration
	// Hold is the maximum time that a request keeps a slot.
	Hold time.Duration
	// Cold is the maximum time that an upstream stays cold after a boot.
	Cold time.Duration
	// ReportLag is the maximum delay of an upstream's report.
	ReportLag time.Duration
}

// HandoverDelay returns the maximum time that an entry leaves a slot unused after another entry owned it.
func (t Timing) HandoverDelay() time.Duration { return t.Lease + t.Margin + t.Hold }

// DefaultTiming returns the durations that apply unless the settings override them.
func DefaultTiming() Timing {
	return Timing{
		Lease: 3 * time.Second, Margin: 500 * time.Millisecond, Hold: 10 * time.Second, Cold: 5 * time.Second,
		ReportLag: time.Second,
	}
}

const (
	maxHistory  = 64
	askInterval = 100 * time.Millisecond
)

// NewSlots returns the slots of an entry that is not a member yet.
func NewSlots(t Timing) *Slots {
	return &Slots{
		timing: t, settledEpochs: map[Holder]int64{}, askedAt: map[Holder]time.Time{},
		upstreams: map[ident.UpstreamID]*warmup{}, running: map[ident.RequestID]grant{},
	}
}

// Update handles a message of this package and returns the pending [AskCmd] commands.
func (s *Slots) Update(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case MembersMsg:
		s.setMembers(now, msg)
	case LeaseMsg:
		s.self, s.leaseEnd = msg.Holder, msg.Until
	case SettledMsg:
		s.recordSettled(now, msg)
	}
	return s.TakeAsks()
}

// TakeAsks returns the [AskCmd] commands that have become due since the last call, and clears them.
func (s *Slots) TakeAsks() (asks []ident.Cmd) {
	asks, s.pendingAsks = s.pendingAsks, nil
	return asks
}

func (s *Slots) setMembers(now time.Time, msg MembersMsg) {
	if n := len(s.history); n > 0 {
		if msg.Epoch <= s.history[n-1].epoch {
			return
		}
		s.history[n-1].endedAt = now
	}
	if msg.HistoryUnknown {
		s.blockedUntil = now.Add(s.timing.HandoverDelay())
	}
	s.history = append(s.history, membership{epoch: msg.Epoch, holders: slices.Clone(msg.Holders)})
	s.prune(now)
}

// prune removes the memberships that ended at least [Timing.HandoverDelay] ago. If more than maxHistory remain, it
// removes the oldest and blocks all slots for that time, as the earlier owners are then unknown.
func (s *Slots) prune(now time.Time) {
	excess := len(s.history) - maxHistory
	for i, m := range s.history {
		if m.endedAt.IsZero() || now.Sub(m.endedAt) < s.timing.HandoverDelay() {
			s.history = s.history[i:]
			break
		}
		excess--
	}
	if excess > 0 {
		s.blockedUntil = now.Add(s.timing.HandoverDelay())
		s.history = s.history[excess:]
	}
	for h := range s.settledEpochs {
		if !s.inHistory(h) {
			delete(s.settledEpochs, h)
			delete(s.askedAt, h)
		}
	}
}

func (s *Slots) inHistory(h Holder) bool {
	return slices.ContainsFunc(s.history, func(m membership) bool { return slices.Contains(m.holders, h) })
}

func (s *Slots) recordSettled(now time.Time, msg SettledMsg) {
	s.settledEpochs[msg.From] = max(s.settledEpochs[msg.From], msg.Epoch)
	u, known := s.upstreams[msg.Upstream]
	if known && msg.Boot != "" && u.boot == msg.Boot && !s.askedAt[msg.From].Before(u.levelSince) {
		u.level, u.levelSince = max(u.level, warmLevel), now
	}
}

// Acquire takes a slot of an upstream for a request and reports whether one was free. The capacity is
// the number of slots that a cold upstream has; a warm upstream has a slot for every request.
func (s *Slots) Acquire(now time.Time, id ident.UpstreamID, capacity int, r ident.RequestID) bool {
	if !s.Free(now, id, capacity) {
		return false
	}
	s.running[r] = grant{id, now}
	s.upstream(now, id).running++
	return true
}

// Release returns the slot of a request; ended is true if the upstream has ended the request. Otherwise
// the request may still run there, so its slot counts as used until Hold after it was acquired.
func (s *Slots) Release(now time.Time, r ident.RequestID, ended bool) {
	g, held := s.running[r]
	if !held {
		return
	}
	delete(s.running, r)
	u := s.upstream(now, g.upstream)
	u.running--
	if !ended {
		u.lingeringUntil = append(u.lingeringUntil, g.acquiredAt.Add(s.timing.Hold))
	}
}

// Free reports whether [Slots.Acquire] would succeed.
func (s *Slots) Free(now time.Time, id ident.UpstreamID, capacity int) bool {
	u := s.upstream(now, id)
	u.capacity = capacity
	u.raiseLevel(now, s.timing)
	if u.effectiveLevel() >= warmLevel {
		return true
	}
	if !now.Before(s.leaseEnd) || now.Before(s.blockedUntil) || len(s.history) == 0 {
		return false
	}
	usable, used := 0, u.usedSlots(now)
	for k := range capacity << u.effectiveLevel() {
		if s.usable(now, id, k) {
			usable++
		}
		if usable > used {
			return true
		}
	}
	return false
}

// usable reports whether this entry may use a slot: it owns the slot, and each other entry that owned it
// within the last [Timing.HandoverDelay] has reported that it released it. It asks the entries that have not.
func (s *Slots) usable(now time.Time, id ident.UpstreamID, k int) bool {
	n := len(s.history)
	if owner(s.history[n-1].holders, id, k) != s.self {
		return false
	}
	usable := true
	for i, m := range s.history[:n-1] {
		previous := owner(m.holders, id, k)
		if previous == s.self || previous == (Holder{}) || now.Sub(m.endedAt) >= s.timing.HandoverDelay() {
			continue
		}
		if s.settledEpochs[previous] < s.history[i+1].epoch {
			s.ask(now, previous, id)
			usable = false
		}
	}
	return usable
}

func (s *Slots) ask(now time.Time, h Holder, id ident.UpstreamID) {
	if now.Sub(s.askedAt[h]) < askInterval {
		return
	}
	s.askedAt[h] = now
	s.pendingAsks = append(s.pendingAsks, AskCmd{To: h, Upstream: id})
}

// Settled returns the answer to another entry's [AskCmd]. Its epoch is 0 while this entry runs more
// requests on some cold upstream than it now owns slots there.
func (s *Slots) Settled(now time.Time, id ident.UpstreamID) (msg SettledMsg) {
	msg = SettledMsg{From: s.self, Upstream: id}
	if u, known := s.upstreams[id]; known && u.effectiveLevel() >= warmLevel {
		msg.Boot = u.boot
	}
	n := len(s.history)
	if n == 0 {
		return msg
	}
	for id, u := range s.upstreams {
		if u.effectiveLevel() < warmLevel && u.usedSlots(now) > s.ownedSlots(id, u.capacity<<u.effectiveLevel()) {
			return msg
		}
	}
	msg.Epoch = s.history[n-1].epoch
	return msg
}

// Overdue returns the requests that have kept a slot of a cold upstream for at least Hold less Margin, sorted.
// So that none keeps a slot for longer than Hold, the caller is to stop them there and run them elsewhere.
func (s *Slots) Overdue(now time.Time) (requests []ident.RequestID) {
	for r, g := range s.running {
		if s.upstream(now, g.upstream).effectiveLevel() < warmLevel &&
			now.Sub(g.acquiredAt) >= s.timing.Hold-s.timing.Margin {
			requests = append(requests, r)
		}
	}
	slices.Sort(requests)
	return requests
}

func (s *Slots) ownedSlots(id ident.UpstreamID, slots int) (n int) {
	holders := s.history[len(s.history)-1].holders
	for k := range slots {
		if owner(holders, id, k) == s.self {
			n++
		}
	}
	return n
}
