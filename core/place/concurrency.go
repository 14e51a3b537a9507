package place

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// Some upstreams crash if they have to reject more than a few requests a second, and may hold fewer requests from one moment to
// the next. All entries together then keep the number of requests in flight there below a concurrency limit: the
// upstream's slots at first, less than was in flight at each rejection (multiplicative decrease), and slowly more after that
// (additive increase). A rejection is told to the other entries at once, and each entry has a part of the limit, so that
// outdated loads of the others lead to no rejections.

const (
	// limitDecrease is the fraction of the requests in flight at a rejection that is allowed from then on.
	limitDecrease = 0.85
	// maxLimitIncrease is how fast the limit rises after a rejection, in requests a second.
	maxLimitIncrease = 1.0
	// rejectionShare is the fraction of the rejections that an upstream tolerates which the increase may cause. The rest is a
	// reserve for a capacity that shrinks.
	rejectionShare = 0.25
)

// RejectedMsg reports that an upstream which tolerates few rejections had no capacity for a request of this entry.
type RejectedMsg struct{ Upstream ident.UpstreamID }

// ConcurrencyLimitMsg is the concurrency limit of an upstream as another entry knows it.
type ConcurrencyLimitMsg struct {
	Upstream ident.UpstreamID
	// Limit held at the time At of a rejection.
	Limit float64
	At    time.Time
}

// ConcurrencyLimitCmd asks to tell the other entries the concurrency limit of an upstream.
type ConcurrencyLimitCmd struct {
	Upstream ident.UpstreamID
	Limit    float64
}

// fraction is the part of its slots that an upstream was left with by the rejection at a time.
type fraction struct {
	part float64
	at   time.Time
}

// learn records the limit of an upstream for other ones of its service that have not answered yet.
func (m *Model) learn(u *conf.Upstream, l concurrencyLimit) {
	if l.at.After(m.fractions[u.Service].at) {
		m.fractions[u.Service] = fraction{l.limit / float64(max(u.Slots, 1)), l.at}
	}
}

// concurrencyLimit limits the requests in flight at an upstream. The zero value is that before the first rejection.
type concurrencyLimit struct {
	// limit held at the time at of the last known rejection, zero if there was none.
	limit float64
	at    time.Time
}

// current returns the limit of an upstream with a number of slots, which tolerates a rate of rejections.
func (c *concurrencyLimit) current(now time.Time, slots int, rejections conf.NamedLimit) float64 {
	most := float64(max(slots, 1))
	if c.at.IsZero() {
		return most
	}
	increase := min(maxLimitIncrease, rejectionShare*rejections.PerSecond)
	return min(most, c.limit+increase*now.Sub(c.at).Seconds())
}

// belowLimit reports whether this entry may send one more request to an upstream. It may always up to its part of the limit,
// and beyond that while one more request of every entry would be below it.
func (m *Model) belowLimit(now time.Time, u *conf.Upstream, status fleet.Status) bool {
	if !status.RejectionLimit.Named {
		return true
	}
	l := m.load(u.ID)
	if f, learned := m.fractions[u.Service]; learned && status.RejectionLimitAssumed && l.concurrency.at.IsZero() {
		l.concurrency = concurrencyLimit{limit: max(1, f.part*float64(u.Slots)), at: f.at}
	}
	limit, users := int(l.concurrency.current(now, u.Slots, status.RejectionLimit)), max(1, len(m.members.Sharers), m.members.Count)
	total := l.total(now).Requests
	if m.members.ReportInterval <= freshLoadAge && total <= limit-users {
		return true
	}
	part := limit / users
	if route.IsAmong(string(u.ID), m.members.Self, m.members.Sharers, limit%users) {
		part++
	}
	return l.own.Requests < part && total < max(limit, 1)
}

// decreaseLimit lowers the limit of an upstream that has rejected a request, which still counts as in flight.
func (m *Model) decreaseLimit(now time.Time, id ident.UpstreamID) (cmds []ident.Cmd) {
	u, listed := m.fleet.Get(id)
	if !listed {
		return nil
	}
	l := m.load(id)
	held := min(float64(l.total(now).Requests-1), l.concurrency.current(now, u.Slots, m.fleet.RejectionLimit(id)))
	l.concurrency = concurrencyLimit{limit: max(1, limitDecrease*held), at: now}
	m.learn(&u, l.concurrency)
	return []ident.Cmd{ConcurrencyLimitCmd{Upstream: id, Limit: l.concurrency.limit}}
}

// applyLimit applies the limit that another entry knows, if the rejection is newer than the last known one.
func (m *Model) applyLimit(msg ConcurrencyLimitMsg) {
	u, listed := m.fleet.Get(msg.Upstream)
	if !listed {
		return
	}
	if l := m.load(msg.Upstream); msg.At.After(l.concurrency.at) {
		l.concurrency = concurrencyLimit{limit: max(1, msg.Limit), at: msg.At}
		m.learn(&u, l.concurrency)
	}
}
