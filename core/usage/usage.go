// Package usage decides which counts of requests are reported to the provider for each window, when and by whom.
//
// Counters of an incarnation of an entry only grow and are merged by maximum, so that lost, repeated and reordered messages do no harm. The
// holder of the lease appends the counts of a window to a topic of the store before it reports them. The first record of a window is
// authoritative: every holder reports exactly these counts, so that no two reports of one window differ.
package usage

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
	"cicadavalve/core/times"
)

// OrgID is the id of an organisation.
type OrgID = ident.OrgID

const (
	// sendInterval is the interval at which an entry sends its counters.
	sendInterval = 500 * time.Millisecond
	// changeRepeats is the number of times that a change is sent, since datagrams may be lost.
	changeRepeats = 2
	// closedRepeats is the number of intervals after the end of a window in which all its counters are sent at each; later at every second.
	closedRepeats = 3
	// maxAhead is by how many windows the present window of another entry may be ahead: its clock is set by few others at first.
	maxAhead = 2
	// replicas is the number of entries that get the counters besides the holder.
	replicas = 2
	// minSettle is how long after its end a window is not recorded yet: clocks differ by a few ms, and the entries send at sendInterval.
	minSettle = 250 * time.Millisecond
	// settleShare is the fraction of the delay for which the holder waits for counters that are missing. The rest is left for the append, for
	// repeated reports and for a change of the holder, which takes 4 to 6 s of 10 s.
	settleShare = 0.35
)

// Model holds one entry's counters and, while it holds the lease, the state of the reports. Its methods aren't safe for concurrent use.
type Model struct {
	self          string
	boot          int64
	window, delay time.Duration
	callInterval  time.Duration
	rng           *rand.Rand
	clock         *Clock
	// start is the monotonic time of the first tick, tickedAt the agreed time of the last one.
	start, tickedAt time.Time
	groups          table
	// changed is when the own counters last grew, by window and organisation.
	changed map[int64]map[OrgID]time.Time
	// through is the present window of other incarnations, as they have sent it.
	through map[Member]int64
	alive   []Member
	// sentAt is when counters were last sent, sends counts that, and sentHolder is the holder to which everything has been sent.
	sentAt     time.Time
	sends      int
	sentHolder string
	// reporter is the part of the holder.
	reporter reporter
}

// Option sets one property of a [Model].
type Option func(*Model)

// rateShare is the fraction of the calls that the provider takes that usage reports use; the rest is left to other duties.
const rateShare = 0.5

// WithCallRate states how many calls a second the provider takes for all duties together; 0 leaves the default. Reports use half of them, or
// as many more as two for each window need.
func WithCallRate(perSecond float64) Option {
	return func(m *Model) {
		if perSecond > 0 {
			each := float64(time.Second) / perSecond
			m.callInterval = times.Duration(max(each, min(each/rateShare, float64(m.window/2))))
		}
	}
}

// defaultCallInterval is the shortest time between two calls to the provider without [WithCallRate].
const defaultCallInterval = 200 * time.Millisecond

// NewModel returns the model of an incarnation of an entry without counters. Window is the length of a window, delay how long after its
// end its report is due.
//
//	m := usage.NewModel("10.0.0.1:7700", boot, 5*time.Second, 10*time.Second, rng, usage.WithCallRate(2))
//	m.Update(now, usage.BeganMsg{Org: "org"})
func NewModel(self string, boot int64, window, delay time.Duration, rng *rand.Rand, options ...Option) *Model {
	m := &Model{
		self: self, boot: boot, window: window, delay: delay, callInterval: defaultCallInterval, rng: rng, clock: NewClock(self), groups: table{},
		changed: map[int64]map[OrgID]time.Time{}, through: map[Member]int64{}, reporter: newReporter(),
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Update applies one message and returns the commands that follow.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case BeganMsg:
		m.count(now, msg.Org)
	case PeerMsg:
		m.applyPeer(now, msg)
	case TickMsg:
		return m.tick(now, msg)
	case FlushMsg:
		return m.flush(now)
	case ReadMsg:
		m.applyRead(now, msg)
	case AppendedMsg:
		m.applyAppended(now, msg)
	case ReportedMsg:
		m.applyReported(now, msg)
	}
	return nil
}

// Clock returns the agreed clock.
func (m *Model) Clock() *Clock { return m.clock }

// number returns the number of the window at an agreed time.
func (m *Model) number(t time.Time) int64 {
	n, w := t.UnixNano(), int64(m.window)
	if n < 0 {
		return (n+1)/w - 1
	}
	return n / w
}

// end returns the agreed time at which a window ends.
func (m *Model) end(window int64) time.Time { return time.Unix(0, (window+1)*int64(m.window)) }

// due returns the agreed time until which the report of a window must arrive.
func (m *Model) due(window int64) time.Time { return m.end(window).Add(m.delay) }

// started reports whether the clock has been set, by the first tick.
func (m *Model) started() bool { return !m.start.IsZero() }

func (m *Model) count(now time.Time, org OrgID) {
	if !m.started() || org == "" {
		return
	}
	window := m.number(m.clock.Time(now))
	g := m.groups.get(key{m.self, m.boot, window})
	g.Counts[org]++
	g.Total++
	if m.changed[window] == nil {
		m.changed[window] = map[OrgID]time.Time{}
	}
	m.changed[window][org] = now
}

// applyPeer merges the counters of another entry. Counters of windows that are over or far ahead are dropped: a sender with a wrong clock
// must not fill the memory.
func (m *Model) applyPeer(now time.Time, msg PeerMsg) {
	if msg.Entry == m.self {
		return
	}
	if !msg.Wall.IsZero() {
		m.clock.Observe(now, msg.Entry, msg.Wall)
	}
	if !m.started() {
		return
	}
	t := m.clock.Time(now)
	for _, g := range msg.Groups {
		if own := g.Entry == m.self && g.Boot == m.boot; !own && g.Window >= m.firstOpen(t) && g.Window <= m.number(t)+maxAhead {
			m.mergeCounted(g)
		}
	}
	if sender := (Member{msg.Entry, msg.Boot}); msg.Through > m.through[sender] && msg.Through <= m.number(t)+maxAhead {
		m.through[sender] = msg.Through
	}
}

// mergeCounted merges a group; the part that comes too late for the record of its window is counted.
func (m *Model) mergeCounted(g Group) {
	grown := m.groups.merge(g)
	if r, ok := m.reporter.reports[g.Window]; ok && r.recorded && m.reporter.token != 0 {
		m.reporter.late += grown
	}
}

func (m *Model) tick(now time.Time, msg TickMsg) (cmds []ident.Cmd) {
	m.clock.Observe(now, m.self, msg.Wall)
	t := m.clock.Time(now)
	if !m.started() {
		m.start = now
	}
	if t.Before(m.tickedAt) {
		// Records of windows that are open again may have been dropped.
		m.reporter.readAgain()
	}
	m.tickedAt = t
	m.alive = msg.Alive
	m.forget(t)
	m.enter(now, msg.Era)
	cmds = m.send(now, t, msg.Holder)
	return append(cmds, m.report(now, t, msg)...)
}

// forget drops what belongs to windows that can't be reported any more.
func (m *Model) forget(t time.Time) {
	over := func(window int64) bool { return t.After(m.due(window).Add(m.window)) }
	maps.DeleteFunc(m.groups, func(k key, _ *kept) bool { return over(k.window) })
	maps.DeleteFunc(m.changed, func(window int64, _ map[OrgID]time.Time) bool { return over(window) })
	maps.DeleteFunc(m.reporter.reports, func(window int64, _ *report) bool { return over(window) })
	maps.DeleteFunc(m.through, func(_ Member, window int64) bool { return over(window) })
}

// send returns what is due to be sent: the own counters to the holder and to the replicas; what is kept of entries that are gone to the
// holder; everything to a new holder; and the wall clock to one entry at random.
func (m *Model) send(now, t time.Time, holder string) (cmds []ident.Cmd) {
	if now.Sub(m.sentAt) < sendInterval {
		return nil
	}
	m.sentAt = now
	m.sends++
	through, others := m.number(t), m.others()
	keep := m.replicas(holder, others)
	if holder == m.self || !slices.Contains(others, holder) {
		holder = ""
	}
	own := m.dueGroups(now, t)
	toHolder := own
	if holder != m.sentHolder {
		m.sentHolder = holder
		toHolder = m.groups.list(func(k key) bool { return m.due(k.window).After(t) })
	} else if holder != "" {
		toHolder = append(slices.Clip(toHolder), m.orphans(t)...)
	}
	if holder != "" {
		cmds = append(cmds, SendCmd{To: []string{holder}, Through: through, Groups: toHolder})
	}
	if len(keep) > 0 {
		cmds = append(cmds, SendCmd{To: keep, Through: through, Groups: own})
	}
	if len(others) > 0 {
		cmds = append(cmds, SendCmd{To: []string{others[m.rng.IntN(len(others))]}})
	}
	return cmds
}

// flush returns all own counters to the holder and the replicas.
func (m *Model) flush(now time.Time) (cmds []ident.Cmd) {
	t := m.clock.Time(now)
	groups := m.groups.list(func(k key) bool { return k.entry == m.self && k.boot == m.boot && m.due(k.window).After(t) })
	to := m.replicas(m.sentHolder, m.others())
	if m.sentHolder != "" {
		to = append(to, m.sentHolder)
	}
	if len(to) == 0 || len(groups) == 0 {
		return nil
	}
	// No request begins after this, so the present window is complete too.
	return []ident.Cmd{SendCmd{To: to, Through: m.number(t) + 1, Groups: groups}}
}

// others returns the other entries that are alive.
func (m *Model) others() (ids []string) {
	for _, e := range m.alive {
		if e.ID != m.self {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// replicas returns the entries that keep the counters of this one besides the holder: the first in the rendezvous order for this entry.
func (m *Model) replicas(holder string, others []string) (ids []string) {
	subject := route.HashID(ident.UpstreamID(m.self))
	weight := func(id string) uint64 { return route.Weight(subject, route.HashID(ident.UpstreamID(id))) }
	for _, id := range others {
		if id == holder {
			continue
		}
		if i := slices.IndexFunc(ids, func(other string) bool { return weight(id) > weight(other) }); i >= 0 {
			ids = slices.Insert(ids, i, id)
		} else {
			ids = append(ids, id)
		}
		ids = ids[:min(len(ids), replicas)]
	}
	return ids
}

// dueGroups returns the own counters that are due: those of a window that has just ended all at once, else those that changed. Of a window
// that has ended the total is always among them.
func (m *Model) dueGroups(now, t time.Time) (groups []Group) {
	for _, g := range m.groups.list(func(k key) bool { return k.entry == m.self && k.boot == m.boot }) {
		age := t.Sub(m.end(g.Window))
		if age < 0 || age > closedRepeats*sendInterval && (m.sends%2 != 0 || age > m.settleTime()) {
			maps.DeleteFunc(g.Counts, func(org OrgID, _ int64) bool { return now.Sub(m.changed[g.Window][org]) > changeRepeats*sendInterval })
		}
		if len(g.Counts) > 0 || age >= 0 {
			groups = append(groups, g)
		}
	}
	return groups
}

// orphans returns what is kept of entries that are gone, for windows that have just ended. Their last datagrams may have reached this entry
// alone.
func (m *Model) orphans(t time.Time) (groups []Group) {
	alive := map[Member]bool{{m.self, m.boot}: true}
	for _, e := range m.alive {
		alive[e] = true
	}
	return m.groups.list(func(k key) bool {
		age := t.Sub(m.end(k.window))
		return age >= 0 && age <= closedRepeats*sendInterval && !alive[Member{k.entry, k.boot}]
	})
}

// settleTime is how long after the end of a window the holder waits for counters that are missing.
func (m *Model) settleTime() time.Duration { return time.Duration(settleShare * float64(m.delay)) }

// settled reports whether all entries that are alive have sent all counters of a window.
func (m *Model) settled(window int64) bool {
	for _, e := range m.alive {
		if e.ID == m.self && e.Boot == m.boot {
			continue
		}
		if m.through[e] <= window {
			return false
		}
		if g, ok := m.groups[key{e.ID, e.Boot, window}]; ok && !g.whole() {
			return false
		}
	}
	return true
}
