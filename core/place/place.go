// Package place decides which upstream serves a request, whether the request is queued and when it is refused.
//
// It handles upstreams that are full, cold, slow or failing. A request is sent to the upstream with the shortest
// expected time to the first byte, given the part of the prompt to prefill and the load of all entries there. It is
// queued only while no upstream can take it, and refused at once if no upstream is expected to serve it in time.
package place

import (
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/pace"
	"cicadavalve/core/parts"
	"cicadavalve/core/ramp"
	"cicadavalve/core/times"
	"cicadavalve/core/zones"
)

// Members describes this entry and the other ones.
type Members struct {
	// Self is this entry's id.
	Self string
	// Sharers lists all entries that share the rate of requests to an upstream, including this one.
	Sharers []string
	// Count is the number of entries that may share it, if that is more than the Sharers heard of so far.
	Count int
	// Zone is this entry's availability zone.
	Zone ident.Zone
	// ReportInterval is the interval at which each other entry reports its load.
	ReportInterval time.Duration
}

// sent is a request under way at an upstream.
type sent struct {
	need     Need
	upstream ident.UpstreamID
	born     int64
	// load counts the request. It is no longer that of the upstream once the upstream has been removed.
	load *load
	// chain is the prompt that the upstream runs, empty for a plain call.
	chain []conf.Part
	// model is what runs it, empty for a plain call.
	model ident.ModelName
	at    time.Time
	rank  int
	// backlog is the number of prompt tokens still to be prefilled.
	backlog int
	memory  int
	// ahead is how many tokens were to be prefilled before the first byte when it was sent, its own included.
	ahead    int
	expected time.Duration
	// usual is what expected would be at an upstream of usual speed.
	usual time.Duration
	// fetchFrom is the holder of the slowest fetch, empty if nothing is fetched.
	fetchFrom  parts.Holder
	fetchDelay time.Duration
	answered   bool
	// headed is set once the head of the answer has arrived, slowdown is what it states of the upstream's pace, 0 if
	// nothing that is plausible.
	headed   bool
	slowdown float64
	// recalled is set once the request has been recalled for its weights, overdue once it has since its first byte is overdue, and noted once
	// it was applied that the first byte is late.
	recalled, overdue, noted bool
	// avoid lists the upstreams to which it must not be sent.
	avoid []ident.UpstreamID
	// address and salt identify the upstream's cache entries for the prompt.
	address parts.Holder
	salt    string
	// engineTime is what was reported as given to the organisation.
	engineTime time.Duration
}

// waiting is a request that is to be placed or queued.
type waiting struct {
	need  Need
	avoid []ident.UpstreamID
	until time.Time
	turn  turn
}

// Model places the requests of one entry. Its methods aren't safe for concurrent use.
type Model struct {
	fleet   *fleet.Model
	index   *parts.Index
	members Members
	rng     *rand.Rand
	set     *conf.Set
	// fractions holds what the last rejection left of an upstream's slots, by service, where few rejections are tolerated.
	fractions map[ident.ServiceName]fraction
	// objectives holds the shortest objective of the routes to each service.
	objectives map[ident.ServiceName]time.Duration
	// versions holds the target versions of each model, the oldest first.
	versions map[ident.ModelName][]namedVersion
	// versionGrace is how long requests may still start on older weights after a newer version was set.
	versionGrace time.Duration
	sent         map[Ticket]*sent
	// queue holds the requests that no upstream could take.
	queue []*waiting
	loads map[ident.UpstreamID]*load
	peers map[string]*peer
	// nextPeerExpiry is a lower bound of when the first peer's loads expire.
	nextPeerExpiry time.Time
	services       map[ident.ServiceName]*serviceStats
	upstreams      map[ident.UpstreamID]*upstreamStats
	// links holds the estimates for the links over which parts are fetched.
	links map[parts.Holder]*link
	// ramp decides about software releases; nil if there are no roll-outs.
	ramp *ramp.Model
	// pace holds the pace of upstreams that state their slowdown; nil if that is not used.
	pace *pace.Model
	// sharing divides engine time between organisations; its model is nil if nothing does.
	sharing
	// recalls is set if overdue requests are recalled.
	recalls bool
	// zones decides about leaving the availability zone; nil if that has a fixed cost. It last got the state of all zones at zonesAt.
	zones   *zones.Model
	zonesAt time.Time
}

// Option sets one property of a [Model].
type Option func(*Model)

// WithVersionGrace sets how long requests may still start on older weights after a newer version was set.
func WithVersionGrace(d time.Duration) Option {
	return func(m *Model) { m.versionGrace = d }
}

// NewModel returns a Model that places requests on the upstreams of a fleet.
//
//	m := place.NewModel(upstreams, index, rng, place.WithVersionGrace(6*time.Second))
//	for _, cmd := range m.Update(now, place.ArriveMsg{Need: need}) { perform(cmd) }
func NewModel(upstreams *fleet.Model, index *parts.Index, rng *rand.Rand, options ...Option) *Model {
	m := &Model{
		fleet: upstreams, index: index, rng: rng, fractions: map[ident.ServiceName]fraction{}, set: conf.NewSet(conf.Data{}), versionGrace: defaultVersionGrace,
		versions: map[ident.ModelName][]namedVersion{}, sent: map[Ticket]*sent{}, loads: map[ident.UpstreamID]*load{}, peers: map[string]*peer{},
		services: map[ident.ServiceName]*serviceStats{}, upstreams: map[ident.UpstreamID]*upstreamStats{}, links: map[parts.Holder]*link{},
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// SetConfig sets the configuration.
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

// SetMembers sets the entries.
func (m *Model) SetMembers(members Members) {
	m.members = members
	m.setSharers()
}

// Update applies a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ArriveMsg:
		m.pick(now, &msg.Need)
		m.noteOffered(now, &msg.Need)
		return m.place(now, &waiting{need: msg.Need, avoid: msg.Avoid}, "")
	case RetryMsg:
		return m.retry(now, msg)
	case WithdrawMsg:
		m.withdraw(now, msg.Ticket)
	case FirstByteMsg:
		return m.placeQueued(now, m.firstByte(now, msg.Ticket))
	case EndMsg:
		return m.placeQueued(now, m.end(now, msg))
	case TargetMsg:
		m.setTarget(msg)
	case HeadMsg:
		m.observeHead(now, msg)
	case LoadMsg:
		l := m.load(msg.Upstream)
		l.reported, l.reportedAt = msg.Running+msg.Waiting, now
	case RejectedMsg:
		return m.decreaseLimit(now, msg.Upstream)
	case ConcurrencyLimitMsg:
		m.applyLimit(msg)
	case PeerMsg:
		m.updatePeer(now, msg)
	case TickMsg:
		return slices.Concat(m.tickShares(now), m.recall(now), m.recallOverdue(now), m.observeZones(now), m.placeQueued(now, ""))
	case fleet.GoneCmd:
		m.forgetUpstream(msg.ID)
		delete(m.upstreams, msg.ID)
		m.forgetPace(now, msg.ID)
	}
	return nil
}

// updatePeer replaces the loads and transfers of another entry.
func (m *Model) updatePeer(now time.Time, msg PeerMsg) {
	p := m.replacePeer(now, msg.Peer, msg.Loads)
	for _, t := range msg.Transfers {
		m.link(t.Holder).peersUntil[msg.Peer] = now.Add(t.Left)
		p.holders = append(p.holders, t.Holder)
	}
}

// retry places a request again that was sent before. It is refused if it isn't under way any more.
func (m *Model) retry(now time.Time, msg RetryMsg) (cmds []ident.Cmd) {
	s, ok := m.sent[msg.Ticket]
	if !ok {
		return []ident.Cmd{RefuseCmd{Ticket: msg.Ticket, RetryAfter: minRetryAfter, Reason: NoUpstream}}
	}
	need := s.need
	need.Spread, need.Again, need.Repeatable, need.slowSource = msg.Spread, true, msg.Repeatable && !s.overdue, s.slowSource()
	m.again(&need)
	m.recordOutcome(now, s, msg.Outcome)
	m.release(msg.Ticket)
	return m.place(now, &waiting{need: need, avoid: msg.Avoid}, "")
}

// release removes a request from its upstream's load.
func (m *Model) release(t Ticket) {
	if s, ok := m.sent[t]; ok {
		s.load.end(s)
		delete(m.sent, t)
	}
}

// firstByte records that a prompt has been prefilled. It returns the upstream, empty if the request isn't under way
// or had its first byte already.
func (m *Model) firstByte(now time.Time, t Ticket) (freed ident.UpstreamID) {
	s, ok := m.sent[t]
	if !ok || s.answered {
		return ""
	}
	s.answered = true
	m.noteFirstByte(now, t)
	m.noteServed(now, s)
	if len(s.chain) > 0 {
		m.index.Update(now, parts.PrefilledMsg{Holder: s.address, Salt: s.salt, Chain: shared(s.chain)})
	}
	s.load.finishPrefill(s)
	elapsed := now.Sub(s.at)
	m.noteDelay(now, s, elapsed)
	service, upstream := m.serviceStats(s.need.Service), m.upstreamStats(s.upstream)
	if len(s.chain) == 0 {
		ratio := float64(elapsed) / service.call
		service.observeCall(m.usual(s, elapsed))
		upstream.observe(now, m.samplePace(now, s, ratio))
		return s.upstream
	}
	if s.fetchFrom != "" {
		m.link(s.fetchFrom).observe(now, elapsed-s.expected, s.fetchDelay)
		return s.upstream
	}
	ratio := float64(elapsed) / service.firstByte(s.ahead)
	upstream.observe(now, m.samplePace(now, s, ratio))
	service.observeFirstByte(m.usual(s, elapsed), s.ahead)
	return s.upstream
}

// end records the end of a request. It returns the upstream, empty if the request isn't under way.
func (m *Model) end(now time.Time, msg EndMsg) (freed ident.UpstreamID) {
	s, ok := m.sent[msg.Ticket]
	if !ok {
		return ""
	}
	m.recordOutcome(now, s, msg.Outcome)
	m.release(msg.Ticket)
	return s.upstream
}

// recordOutcome updates the failure rates of the upstream and its service. Rejected and cancelled requests don't count, nor do
// those that broke off since this entry lost its link to the upstream.
func (m *Model) recordOutcome(now time.Time, s *sent, outcome Outcome) {
	if outcome == Broken && m.fleet.Isolated(s.upstream) {
		outcome = Cancelled
	}
	m.noteOutcome(now, s, outcome)
	m.noteUnused(now, s, outcome)
	m.noteLink(now, s, outcome)
	if outcome == Rejected || outcome == Cancelled {
		return
	}
	failed := outcome != Good
	m.upstreamStats(s.upstream).recordOutcome(now, failed)
	sample := 0.0
	if failed {
		sample = 1
	}
	smooth(&m.serviceStats(s.need.Service).failureRate, sample, serviceSmoothing)
}

// maxFailedTries is how many queued requests of a service may fail to be placed before its others are skipped.
const maxFailedTries = 6

// placeQueued places the queued requests, the most urgent first, and refuses those that have waited too long. If freed
// names an upstream, it considers that one alone: the others had no capacity at the last tick, and scoring all of
// them at the end of each request would dominate the cost in a large fleet.
func (m *Model) placeQueued(now time.Time, freed ident.UpstreamID) (cmds []ident.Cmd) {
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
	failedTries := map[failureKey]int{}
	m.sortQueue(now, queue)
	for _, w := range queue {
		key := m.failureKey(now, w)
		if now.Before(w.until) && (failedTries[key] >= maxFailedTries || freed != "" && w.need.Service != service) {
			m.queue = append(m.queue, w)
			continue
		}
		before := len(m.queue)
		cmds = append(cmds, m.place(now, w, freed)...)
		if len(m.queue) > before {
			failedTries[key]++
		}
	}
	return cmds
}

// enqueue queues a request, or refuses it once its wait limit is reached.
func (m *Model) enqueue(now time.Time, w *waiting, tally Tally, ahead *outlook) (cmds []ident.Cmd) {
	if w.until.IsZero() {
		w.until = now.Add(min(times.Duration(waitFactor*float64(w.need.Objective)), w.need.Deadline.Sub(now)/waitDivisor))
	}
	m.noteWaiting(now, w, tally)
	if !now.Before(w.until) || m.hopeless(now, w, tally) {
		reason := NoUpstream
		if tally.Full > 0 || w.turn.held {
			reason = Overloaded
		}
		return []ident.Cmd{RefuseCmd{Ticket: w.need.Ticket, RetryAfter: m.jitter(minRetryAfter), Reason: reason, Tally: tally}}
	}
	if cmds := m.refuseClosed(now, w, tally, ahead); cmds != nil {
		return cmds
	}
	m.queue = append(m.queue, w)
	return nil
}

const (
	// waitFactor is how many objectives a request may be queued at most.
	waitFactor = 1.5
	// waitDivisor limits the time in the queue to 1/waitDivisor of the time left to the deadline.
	waitDivisor = 3
	// minRetryAfter is the shortest delay before a refused caller should retry: about one pause of a broken upstream.
	minRetryAfter = 400 * time.Millisecond
	// maxRetryAfter bounds the delay computed from the load, before jitter.
	maxRetryAfter = 3 * time.Second
	// lateFactor is the expected time to the first byte, in objectives, above which a request is refused.
	lateFactor = 2.5
)

// place sends, refuses or queues a request. If only isn't empty, it considers that upstream alone and doesn't refuse a
// request that would be late there.
func (m *Model) place(now time.Time, w *waiting, only ident.UpstreamID) (cmds []ident.Cmd) {
	defer m.confine(w.need.Ticket, &cmds)
	m.prioritise(now, w)
	if w.turn.held = m.held(now, w); w.turn.held {
		return m.refusal(now, w, m.enqueue(now, w, Tally{}, &outlook{others: true}))
	}
	need := m.served(&w.need)
	best, tally, ahead := m.chooseRelease(now, need, w.avoid, only)
	w.need.Sampled = need.Sampled
	if best == nil {
		if only != "" {
			ahead.others = true
		}
		return m.refusal(now, w, m.enqueue(now, w, tally, &ahead))
	}
	switch {
	case now.Add(best.firstByte).After(need.Deadline):
		cmds = m.refuse(need, best, tally, TooLate)
	case m.late(now, need, best):
		cmds = m.refuse(need, best, tally, Overloaded)
	default:
		m.noteMet(now, w)
		cmds = m.send(now, w.need, need, best)
		m.sent[need.Ticket].avoid = w.avoid
		return cmds
	}
	if only != "" {
		// Another upstream may still serve the request in time.
		m.queue = append(m.queue, w)
		return nil
	}
	return m.refusal(now, w, cmds)
}

// late reports whether a request is expected to be much too late at an option that is busy.
func (m *Model) late(now time.Time, need *Need, o *option) bool {
	return float64(now.Sub(need.Arrived)+o.firstByte) > m.lateLimit(now, need, o.missing)*float64(need.Objective) && !m.unloaded(need, o)
}

// refuse returns the refusal of a request that is expected to be late at the best upstream.
func (m *Model) refuse(need *Need, best *option, tally Tally, reason Reason) []ident.Cmd {
	after := min(max(best.firstByte-need.Objective/2, minRetryAfter), maxRetryAfter)
	return []ident.Cmd{RefuseCmd{Ticket: need.Ticket, RetryAfter: m.jitter(after), Reason: reason, Expected: best.firstByte, Tally: tally}}
}

// served returns what the request requires of its service as configured now. A service without engines takes no part in
// kept context, whatever the caller names.
func (m *Model) served(need *Need) *Need {
	service, ok := m.set.Service(need.Service)
	if !ok || service.Engine != nil && need.Model != "" {
		return need
	}
	plain := *need
	plain.Model, plain.Chain, plain.Output = "", nil, 0
	return &plain
}

// send records the request at the option's upstream and returns the commands that send it. need is what it requires of
// its service now, asked what its caller asked for.
func (m *Model) send(now time.Time, asked Need, need *Need, o *option) (cmds []ident.Cmd) {
	u := *o.upstream
	l := m.load(u.ID)
	if o.quota.bounded {
		l.rate.take(now, o.quota.perSecond, o.quota.burst)
		l.limitedAt = now
	}
	s := &sent{
		need: asked, upstream: u.ID, born: u.Born, load: l, chain: need.Chain, model: need.Model, at: now, rank: clampRank(need.Rank), backlog: o.missing,
		memory: need.Tokens() + need.Output, ahead: o.ahead + o.missing, expected: o.firstByte, usual: m.usualFirstByte(now, o),
		fetchFrom: o.source, fetchDelay: o.fetchDelay, address: parts.Holder(u.Address), salt: o.salt,
	}
	l.begin(s)
	m.sent[need.Ticket] = s
	cmd := SendCmd{
		Ticket: need.Ticket, Upstream: u, Priority: clampRank(need.Rank), Model: need.Model, Version: o.version, Salt: o.salt,
		Fetch: o.fetch, Expected: o.firstByte, Missing: o.missing,
		Cached: o.cached, Fetched: o.fetched, Recomputed: o.recomputed, FetchWithin: fetchBound(need, o.firstByte),
	}
	for _, t := range o.transfers {
		l := m.link(t.Holder)
		l.reserve(now, times.Duration(float64(t.Left)*l.currentSlowdown(now)))
	}
	if len(need.Chain) > 0 {
		cmd.Save, cmds = m.planSaves(now, need, o)
		cmds = append(cmds, m.announcePrefills(now, need, o)...)
	}
	m.noteSent(now, need, o)
	m.noteGiven(now, s, need, o)
	m.noteZone(now, need, o)
	return append(cmds, cmd)
}
