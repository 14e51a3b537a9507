// Package place decides which upstream a request goes to, whether it waits and when it is refused.
//
// It answers load patterns in which upstreams are full, cold, slow or failing: a request goes where its first
// byte is expected soonest, counting what must be read of its prompt and what others have under way there; it
// waits only while no upstream may take it; and it is refused at once when no upstream is expected to serve it
// in useful time.
package place

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
)

// Members is what the decider needs to know of the other entries.
type Members struct {
	// Self is this entry's id.
	Self string
	// IDs lists all entries that are alive, this one among them.
	IDs []string
	// Zone is this entry's availability zone.
	Zone ident.Zone
	// Pace is the time between two words of another entry about its load.
	Pace time.Duration
}

// sent is a request at an upstream.
type sent struct {
	need     Need
	upstream ident.UpstreamID
	at       time.Time
	rank     int
	// backlog is the prompt tokens that are still to be read.
	backlog int
	memory  int
	// ahead is the work that stood before the first token when it was sent, in tokens.
	ahead    int
	expected time.Duration
	// fetch is the store or engine that parts come from, empty for none.
	fetch     parts.Holder
	fetchTime time.Duration
	begun     bool
	// address and salt tell where the parts of the prompt are kept once it was read.
	address parts.Holder
	salt    string
}

// waiting is a request without an upstream.
type waiting struct {
	need  Need
	avoid []ident.UpstreamID
	until time.Time
}

// Model decides for one entry. Its methods aren't safe for concurrent use.
type Model struct {
	fleet   *fleet.Model
	index   *parts.Index
	members Members
	rng     *rand.Rand
	set     *conf.Set
	// objectives holds the shortest objective of the routes to each service.
	objectives map[ident.ServiceName]time.Duration
	// named holds the versions named of each model, the oldest first.
	named map[ident.ModelName][]named
	// versionTime is how long requests may begin on older weights.
	versionTime time.Duration
	sent        map[Ticket]*sent
	// queue holds what waits, the most urgent first.
	queue []*waiting
	loads map[ident.UpstreamID]*load
	peers map[string]*peer
	// expiry is no later than when the first of the peers' words gets stale.
	expiry time.Time
	speeds map[ident.ServiceName]*speed
	paces  map[ident.UpstreamID]*pace
	// links holds what is known of the links that parts are fetched over.
	links map[parts.Holder]*link
}

// named is a version of weights, and when it was named.
type named struct {
	version int64
	since   time.Time
}

// Option sets one property of a [Model].
type Option func(*Model)

// WithVersionTime sets how long requests may begin on older weights after newer ones were named.
func WithVersionTime(d time.Duration) Option {
	return func(m *Model) { m.versionTime = d }
}

// NewModel places requests on the upstreams of a fleet.
//
//	m := place.NewModel(upstreams, index, rng, place.WithVersionTime(6*time.Second))
//	for _, cmd := range m.Update(now, place.ArriveMsg{Need: need}) { perform(cmd) }
func NewModel(upstreams *fleet.Model, index *parts.Index, rng *rand.Rand, options ...Option) *Model {
	m := &Model{
		fleet: upstreams, index: index, rng: rng, set: conf.NewSet(conf.Data{}), versionTime: defaultVersionTime,
		named: map[ident.ModelName][]named{}, sent: map[Ticket]*sent{}, loads: map[ident.UpstreamID]*load{}, peers: map[string]*peer{},
		speeds: map[ident.ServiceName]*speed{}, paces: map[ident.UpstreamID]*pace{}, links: map[parts.Holder]*link{},
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// defaultVersionTime bounds the use of older weights where no setting does.
const defaultVersionTime = 10 * time.Second

// SetConfig changes the configuration that later decisions rest on.
func (m *Model) SetConfig(set *conf.Set) {
	m.set, m.objectives = set, map[ident.ServiceName]time.Duration{}
	for _, r := range set.Routes() {
		for _, share := range r.Shares {
			if d, known := m.objectives[share.Service]; r.Objective > 0 && (!known || r.Objective < d) {
				m.objectives[share.Service] = r.Objective
			}
		}
	}
}

// SetMembers changes what is known of the other entries.
func (m *Model) SetMembers(members Members) { m.members = members }

// Want names the newest version of a model's weights. A version that was named before this process knew of it
// counts as old: only for settleTime may requests still begin on the weights before.
func (m *Model) Want(now time.Time, model ident.ModelName, version int64, old bool) {
	versions := m.named[model]
	if n := len(versions); n > 0 && version <= versions[n-1].version {
		return
	}
	since := now
	if old {
		since = now.Add(settleTime + versionMargin - m.versionTime)
	}
	m.named[model] = append(versions[max(0, len(versions)-mostNamed):], named{version, since})
}

// mostNamed is how many versions of a model are remembered; the older ones are out of their time.
const mostNamed = 16

// newerSince is since when a newer version than an engine's has been named, zero if there is none.
func (m *Model) newerSince(model ident.ModelName, version int64) time.Time {
	for _, n := range m.named[model] {
		if n.version > version {
			return n.since
		}
	}
	return time.Time{}
}

// settleTime is how long a process that has just started may use weights of which it can't tell how old they
// are; the platform counts a VM from three seconds after its start.
const settleTime = 2500 * time.Millisecond

// Update takes in one message.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ArriveMsg:
		return m.place(now, &waiting{need: msg.Need}, "")
	case AgainMsg:
		return m.again(now, msg)
	case WithdrawMsg:
		m.queue = slices.DeleteFunc(m.queue, func(w *waiting) bool { return w.need.Ticket == msg.Ticket })
	case FirstByteMsg:
		return m.drain(now, m.firstByte(now, msg.Ticket))
	case EndMsg:
		return m.drain(now, m.end(now, msg))
	case LoadMsg:
		l := m.load(msg.Upstream)
		l.heard, l.heardAt = msg.Running+msg.Waiting, now
	case PeerMsg:
		m.peer(now, msg)
	case TickMsg:
		return m.drain(now, "")
	case fleet.GoneCmd:
		m.gone(msg.ID)
		delete(m.paces, msg.ID)
	}
	return nil
}

func (m *Model) peer(now time.Time, msg PeerMsg) {
	m.replace(now, msg.Peer, msg.Loads)
	for _, l := range m.links {
		delete(l.peers, msg.Peer)
	}
	for _, t := range msg.Transfers {
		m.link(t.Holder).peers[msg.Peer] = now.Add(t.Left)
	}
}

func (m *Model) again(now time.Time, msg AgainMsg) (cmds []ident.Cmd) {
	s, ok := m.sent[msg.Ticket]
	if !ok {
		return []ident.Cmd{RefuseCmd{Ticket: msg.Ticket, After: leastReturn, Reason: NoUpstream}}
	}
	need := s.need
	m.judge(now, s, msg.Outcome)
	m.drop(msg.Ticket)
	return m.place(now, &waiting{need: need, avoid: msg.Avoid}, "")
}

func (m *Model) drop(t Ticket) {
	if s, ok := m.sent[t]; ok {
		m.load(s.upstream).end(s)
		delete(m.sent, t)
	}
}

// firstByte returns the upstream at which a prompt has been read, empty if there is none.
func (m *Model) firstByte(now time.Time, t Ticket) (freed ident.UpstreamID) {
	s, ok := m.sent[t]
	if !ok || s.begun {
		return ""
	}
	s.begun = true
	if len(s.need.Chain) > 0 {
		m.index.Update(now, parts.RanMsg{Holder: s.address, Salt: s.salt, Chain: s.need.Shared()})
	}
	m.load(s.upstream).read(s)
	elapsed := now.Sub(s.at)
	speed, pace := m.speed(s.need.Service), m.pace(s.upstream)
	if len(s.need.Chain) == 0 {
		speed.learnCall(elapsed)
		pace.learn(now, float64(elapsed)/speed.call)
		return s.upstream
	}
	if s.fetch != "" {
		m.link(s.fetch).learn(now, elapsed-s.expected, s.fetchTime)
		return s.upstream
	}
	pace.learn(now, float64(elapsed)/speed.first(s.ahead))
	speed.learnFirst(elapsed, s.ahead)
	return s.upstream
}

// end returns the upstream at which a request has ended, empty if there is none.
func (m *Model) end(now time.Time, msg EndMsg) (freed ident.UpstreamID) {
	s, ok := m.sent[msg.Ticket]
	if !ok {
		return ""
	}
	m.judge(now, s, msg.Outcome)
	m.drop(msg.Ticket)
	return s.upstream
}

// judge takes an outcome into what is thought of the upstream.
func (m *Model) judge(now time.Time, s *sent, outcome Outcome) {
	if outcome == Rejected || outcome == Cancelled {
		return
	}
	bad := outcome != Good
	m.pace(s.upstream).judge(now, bad)
	sample := 0.0
	if bad {
		sample = 1
	}
	mix(&m.speed(s.need.Service).bad, sample, learnShare)
}

// mostTried is how many requests of one service are weighed in vain before the others wait on unweighed.
const mostTried = 6

// drain places what waits, the most urgent first, and refuses what has waited long enough. With an upstream that
// has got room it weighs that one alone: the others had none at the last tick, and to weigh them all at each end of
// a request costs more than all else in a large fleet.
func (m *Model) drain(now time.Time, freed ident.UpstreamID) (cmds []ident.Cmd) {
	if len(m.queue) == 0 {
		return nil
	}
	var service ident.ServiceName
	if u, known := m.fleet.Get(freed); known {
		service = u.Service
	} else if freed != "" {
		return nil
	}
	queue := m.queue
	m.queue = nil
	tried := map[ident.ServiceName]int{}
	slices.SortStableFunc(queue, func(a, b *waiting) int {
		return cmp.Or(m.step(now, &a.need)-m.step(now, &b.need), a.need.Arrived.Add(a.need.Objective).Compare(b.need.Arrived.Add(b.need.Objective)))
	})
	for _, w := range queue {
		if now.Before(w.until) && (tried[w.need.Service] >= mostTried || freed != "" && w.need.Service != service) {
			m.queue = append(m.queue, w)
			continue
		}
		before := len(m.queue)
		cmds = append(cmds, m.place(now, w, freed)...)
		if len(m.queue) > before {
			tried[w.need.Service]++
		}
	}
	return cmds
}

// wait keeps a request until an upstream may take it.
func (m *Model) wait(now time.Time, w *waiting, tally Tally) (cmds []ident.Cmd) {
	if w.until.IsZero() {
		w.until = now.Add(min(time.Duration(waitFactor*float64(w.need.Objective)), w.need.Deadline.Sub(now)/waitPart))
	}
	if !now.Before(w.until) {
		reason := NoUpstream
		if tally.Full > 0 {
			reason = Overloaded
		}
		return []ident.Cmd{RefuseCmd{Ticket: w.need.Ticket, After: m.spread(leastReturn), Reason: reason, Tally: tally}}
	}
	m.queue = append(m.queue, w)
	return nil
}

const (
	// waitFactor is how many objectives a request may wait for an upstream.
	waitFactor = 1.5
	// waitPart is the part of the time that is left that it may wait at the most.
	waitPart = 3
	// leastReturn is the earliest that a refused caller is asked back: about one pause of a broken upstream.
	leastReturn = 400 * time.Millisecond
	// mostReturn bounds how far callers are sent away.
	mostReturn = 3 * time.Second
	// lateFactor is how many objectives a first byte may be expected to take before the request is refused.
	lateFactor = 2.5
)

// spread adds up to a half so that refused callers don't come back together.
func (m *Model) spread(after time.Duration) time.Duration {
	return after + time.Duration(m.rng.Int64N(int64(after)/2+1))
}

// place sends, refuses or keeps a request; only names the one upstream to weigh, empty for all.
func (m *Model) place(now time.Time, w *waiting, only ident.UpstreamID) (cmds []ident.Cmd) {
	best, tally := m.choose(now, &w.need, w.avoid, only)
	if best == nil {
		return m.wait(now, w, tally)
	}
	need := &w.need
	waited := now.Sub(need.Arrived)
	switch {
	case now.Add(best.first).After(need.Deadline):
		cmds = m.refuse(need, best, tally, TooLate)
	case float64(waited+best.first) > lateFactor*float64(need.Objective) && !best.idle:
		cmds = m.refuse(need, best, tally, Overloaded)
	default:
		return m.send(now, need, best)
	}
	if only != "" {
		// One slow upstream is no reason to refuse.
		m.queue = append(m.queue, w)
		return nil
	}
	return cmds
}

func (m *Model) refuse(need *Need, best *option, tally Tally, reason Reason) []ident.Cmd {
	after := min(max(best.first-need.Objective/2, leastReturn), mostReturn)
	return []ident.Cmd{RefuseCmd{Ticket: need.Ticket, After: m.spread(after), Reason: reason, Expected: best.first, Tally: tally}}
}

// send commits to an option.
func (m *Model) send(now time.Time, need *Need, o *option) (cmds []ident.Cmd) {
	u := *o.upstream
	l := m.load(u.ID)
	if rate, cold := m.coldRate(&u, o.cold); cold && rate > 0 {
		l.cold.take(now, rate, coldBurst)
	}
	s := &sent{
		need: *need, upstream: u.ID, at: now, rank: clampRank(need.Rank), backlog: o.missing,
		memory: need.Tokens() + need.Output, ahead: o.ahead + o.missing, expected: o.first,
		fetch: o.source, fetchTime: o.fetchTime, address: parts.Holder(u.Address), salt: o.salt,
	}
	l.begin(s)
	m.sent[need.Ticket] = s
	cmd := SendCmd{
		Ticket: need.Ticket, Upstream: u, Priority: clampRank(need.Rank), Version: o.version, Salt: o.salt,
		Fetch: o.fetch, Expected: o.first, Missing: o.missing,
		Kept: o.kept, Fetched: o.fetched, Again: o.again,
	}
	for _, t := range o.transfers {
		m.link(t.Holder).begin(now, t.Left)
	}
	if len(need.Chain) > 0 {
		cmd.Save, cmds = m.saves(now, need, o)
		cmds = append(cmds, m.reads(now, need, o)...)
	}
	return append(cmds, cmd)
}
