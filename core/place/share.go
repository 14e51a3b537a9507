package place

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/share"
	"cicadavalve/core/times"
)

const (
	// minKnownLate is the lowest expected time to the first byte, in objectives, from which on a request counts as late because such
	// estimates were exceeded.
	minKnownLate = 0.6
	// longPart is the part of its objective from which on a request's own engine time counts as long.
	longPart = 0.4
	// maxExcess bounds the samples of by how much estimates were exceeded.
	maxExcess = 3.0
	// holdDivisor is the part of its time in the queue after which requests of organisations above their share wait for one of an
	// organisation that is not. Before, it only goes first: urgent requests would wait for long prompts that have time.
	holdDivisor = 2
	// forecastDoubt is how many times the forecast rate an entry may get of the freed capacity.
	forecastDoubt = 2
	// starvedStep is the step of urgency of routes that are served too rarely. At step 0 their long prompts would delay urgent ones.
	starvedStep = 1
	// costSmoothing is the weight of a new sample in the averages of what requests take.
	costSmoothing = 0.05
	// sharesInterval is the interval at which outdated figures are dropped and the capacity is counted.
	sharesInterval = 250 * time.Millisecond
)

// WithShares sets the model that divides engine time between organisations. It orders the queue, and refused callers get times to return
// from it. Without it the queue is ordered by urgency alone.
func WithShares(s *share.Model) Option {
	return func(m *Model) { m.sharing = sharing{shares: s, costs: map[ident.ServiceName]*cost{}} }
}

// sharing is what a [Model] has for shares.
type sharing struct {
	// shares is nil if engine time is not divided.
	shares *share.Model
	// costs holds what requests of each service took of their upstreams lately.
	costs        map[ident.ServiceName]*cost
	sharesTicked time.Time
}

// cost holds moving averages.
type cost struct {
	// prefilled is the part of the shared prompt tokens that upstreams had to prefill.
	prefilled float64
	// engineTime is that of a request, in ns, 0 before the first one.
	engineTime float64
	// excess is the time to the first byte relative to the estimate, of estimates above half of the objective. Under load it is above 1: the
	// loads of other entries are known late.
	excess float64
}

func (m *Model) cost(service ident.ServiceName) *cost {
	c, ok := m.costs[service]
	if !ok {
		c = &cost{prefilled: 1, excess: 1}
		m.costs[service] = c
	}
	return c
}

// setSharers sets the number of entries among which free capacity is divided.
func (m *Model) setSharers() {
	if m.shares != nil {
		m.shares.SetEntries(max(len(m.members.Sharers), m.members.Count))
	}
}

// jitter adds up to half of the delay at random, so that refused callers don't retry at the same time. With shares each caller gets a time of
// its own afterwards.
func (m *Model) jitter(after time.Duration) time.Duration {
	if m.shares != nil {
		return after
	}
	return after + time.Duration(m.rng.Int64N(int64(after)/2+1))
}

// turn is the place of a request in the queue, if engine time is divided into shares.
type turn struct {
	priority share.Priority
	// engineTime is the estimated engine time.
	engineTime time.Duration
	// unmetSince is when the request was first reported as unmet, zero if it was not.
	unmetSince time.Time
	// short is set if the request waits for capacity that others could take from it, held if it waits for one that is short.
	short, held bool
	// holdsFrom is from when on others wait for it.
	holdsFrom time.Time
}

// sharedStep returns the step of urgency with regard to shares: organisations above theirs leave room to the others, and routes that are served
// too rarely are admitted like urgent ones. What an organisation's requests took that were sent before would be lost if they now waited.
func (m *Model) sharedStep(now time.Time, need *Need, step int) int {
	if need.Again {
		return step
	}
	above := m.shares.Steps(now, need.Org)
	if above == 0 && m.shares.Starved(now, need.Route) {
		return min(step, starvedStep)
	}
	return step + above
}

// engineTime returns the engine time of a request that makes its upstream prefill a number of prompt tokens.
func (m *Model) engineTime(service ident.ServiceName, plain bool, missing int) time.Duration {
	stats := m.serviceStats(service)
	if plain {
		return times.Duration(stats.call)
	}
	return times.Duration(stats.firstByte(missing))
}

// estimateTime estimates the engine time of a request whose upstream is not chosen yet: its own part, and as much of the
// shared ones as had to be prefilled lately.
func (m *Model) estimateTime(need *Need) time.Duration {
	if len(need.Chain) == 0 {
		return m.engineTime(need.Service, true, 0)
	}
	own := need.Chain[len(need.Chain)-1].Tokens
	return m.engineTime(need.Service, false, own+int(m.cost(need.Service).prefilled*float64(need.Tokens()-own)))
}

// prioritise determines a request's place in the queue.
func (m *Model) prioritise(now time.Time, w *waiting) {
	if m.shares == nil {
		return
	}
	if w.turn.engineTime == 0 {
		w.turn.engineTime = m.estimateTime(m.served(&w.need))
	}
	w.turn.priority = m.shares.Prioritise(now, share.Request{
		Org: w.need.Org, Route: w.need.Route, Rank: clampRank(w.need.Rank), Due: w.need.Arrived.Add(w.need.Objective),
		Shortest: m.shortestObjective(&w.need), Time: w.turn.engineTime,
	})
}

// sortQueue orders queued requests: by share and worth, or by urgency and the end of their objectives if there are no shares.
func (m *Model) sortQueue(now time.Time, queue []*waiting) {
	if m.shares == nil {
		slices.SortStableFunc(queue, func(a, b *waiting) int {
			return cmp.Or(m.urgencyStep(now, &a.need)-m.urgencyStep(now, &b.need), a.need.Arrived.Add(a.need.Objective).Compare(b.need.Arrived.Add(b.need.Objective)))
		})
		return
	}
	for _, w := range queue {
		m.prioritise(now, w)
	}
	slices.SortStableFunc(queue, func(a, b *waiting) int { return a.turn.priority.Compare(b.turn.priority) })
}

// failureKey names the queued requests that are skipped once some of them could not be placed.
type failureKey struct {
	service ident.ServiceName
	// step is the step of urgency if there are shares: in their order, requests that need more free capacity may go before others.
	step int
}

func (m *Model) failureKey(now time.Time, w *waiting) failureKey {
	if m.shares == nil {
		return failureKey{service: w.need.Service}
	}
	return failureKey{w.need.Service, m.urgencyStep(now, &w.need)}
}

// held reports whether a request must wait since its organisation is above its share and a request of one that is not waits for capacity
// of the service. Otherwise short requests of the former would take what becomes free before there is enough for the latter.
func (m *Model) held(now time.Time, w *waiting) bool {
	return m.shares != nil && !w.need.Again && w.turn.priority.Above() && slices.ContainsFunc(m.queue, func(q *waiting) bool {
		return q.turn.short && !q.turn.priority.Above() && q.need.Service == w.need.Service && !now.Before(q.turn.holdsFrom)
	})
}

// lateLimit returns the expected time to the first byte, in objectives, above which a request is refused that makes its upstream
// prefill a number of prompt tokens.
func (m *Model) lateLimit(now time.Time, need *Need, missing int) float64 {
	if m.shares == nil {
		return lateFactor
	}
	return m.knownLate(now, need, m.engineTime(need.Service, len(need.Chain) == 0, missing))
}

// unloaded reports whether an option is so little loaded that it gets requests whatever is expected, so that estimates which are too high are
// corrected. With shares nothing may be ahead of the request there: half of an engine's slots can hold prompts that take seconds to prefill.
func (m *Model) unloaded(need *Need, o *option) bool {
	return o.idle && (m.shares == nil || need.Again || need.Objective <= 0 || o.ahead == 0)
}

// knownLate returns the expected time to the first byte, in objectives, from which on it is known that a request of an engine time can't be served
// within its objective. These have the limit without shares: requests that were sent before, since their answers may have begun; those that
// would be late on an idle upstream as well; and long ones of routes that are served too rarely, which may be late on any upstream with work.
func (m *Model) knownLate(now time.Time, need *Need, engineTime time.Duration) float64 {
	part := float64(engineTime) / float64(max(need.Objective, 1))
	if need.Again || part > 1 || part > longPart && m.shares.Steps(now, need.Org) == 0 && m.shares.Starved(now, need.Route) {
		return lateFactor
	}
	return min(max(1/m.cost(need.Service).excess, minKnownLate), 1)
}

// hopeless reports whether it is known that a request which must wait for capacity can't be served within its objective or deadline: if
// it took an upstream at once, or if those that go before it took what is forecast to become free until then.
func (m *Model) hopeless(now time.Time, w *waiting, tally Tally) bool {
	if m.shares == nil || w.need.Again || tally.Full == 0 && !w.turn.held {
		return false
	}
	limit := times.Earlier(w.need.Arrived.Add(times.Duration(m.knownLate(now, &w.need, w.turn.engineTime)*float64(w.need.Objective))), w.need.Deadline)
	if now.Add(w.turn.engineTime).After(limit) {
		return true
	}
	rate := forecastDoubt * m.shares.Rate(now, w.need.Service)
	if rate <= 0 {
		return false
	}
	ahead := 0
	for _, q := range m.queue {
		if q.need.Service == w.need.Service && q.turn.priority.Compare(w.turn.priority) < 0 {
			ahead++
		}
	}
	return now.Add(w.turn.engineTime + times.Duration(float64(ahead)/rate*float64(time.Second))).After(limit)
}

// refusal gives a refused caller a time to return, if the commands refuse the request.
func (m *Model) refusal(now time.Time, w *waiting, cmds []ident.Cmd) []ident.Cmd {
	if m.shares == nil {
		return cmds
	}
	for i := range cmds {
		cmd, ok := cmds[i].(RefuseCmd)
		if !ok {
			continue
		}
		m.noteUnmet(now, w)
		latest := w.need.Deadline.Sub(now) / waitDivisor
		if latest <= 0 {
			latest = cmd.RetryAfter
		}
		cmd.Org = w.need.Org
		cmd.RetryAfter = m.shares.Book(now, share.Return{Org: w.need.Org, Service: w.need.Service, Earliest: cmd.RetryAfter, Latest: latest})
		cmds[i] = cmd
	}
	return cmds
}

// noteOffered counts a new request.
func (m *Model) noteOffered(now time.Time, need *Need) {
	if m.shares != nil {
		m.shares.Update(now, share.OfferedMsg{Org: need.Org, Route: need.Route})
	}
}

// noteWaiting reports a request that waits for capacity.
func (m *Model) noteWaiting(now time.Time, w *waiting, tally Tally) {
	if m.shares == nil {
		return
	}
	// What an upstream lacks for a request that must avoid others is not taken from it by anybody.
	w.turn.short = tally.Full+tally.Limited > 0 && len(w.avoid) == 0
	if w.turn.holdsFrom.IsZero() {
		w.turn.holdsFrom = now.Add(w.until.Sub(now) / holdDivisor)
	}
	if w.turn.short || w.turn.held {
		m.noteUnmet(now, w)
	}
}

// noteUnmet reports the engine time of a request that waits or is refused, once.
func (m *Model) noteUnmet(now time.Time, w *waiting) {
	if w.turn.unmetSince.IsZero() {
		w.turn.unmetSince = now
		m.shares.Update(now, share.UnmetMsg{Org: w.need.Org, Time: w.turn.engineTime})
	}
}

// noteMet takes back that a request was unmet, since it is sent or withdrawn.
func (m *Model) noteMet(now time.Time, w *waiting) {
	if m.shares != nil && !w.turn.unmetSince.IsZero() {
		m.shares.Update(now, share.MetMsg{Org: w.need.Org, Time: w.turn.engineTime, Since: w.turn.unmetSince})
	}
}

// withdraw removes a queued request. Nobody waits for its engine time any more.
func (m *Model) withdraw(now time.Time, t Ticket) {
	m.queue = slices.DeleteFunc(m.queue, func(w *waiting) bool {
		if w.need.Ticket != t {
			return false
		}
		m.noteMet(now, w)
		return true
	})
}

// noteGiven reports the engine time of a request that is sent. need is what it requires of its service now.
func (m *Model) noteGiven(now time.Time, s *sent, need *Need, o *option) {
	if m.shares == nil {
		return
	}
	s.engineTime = m.engineTime(need.Service, len(need.Chain) == 0, o.missing)
	m.shares.Update(now, share.GivenMsg{Org: need.Org, Time: s.engineTime})
	c := m.cost(need.Service)
	if c.engineTime == 0 {
		c.engineTime = float64(s.engineTime)
	}
	smooth(&c.engineTime, float64(s.engineTime), costSmoothing)
	if len(need.Chain) < 2 {
		return
	}
	own := need.Chain[len(need.Chain)-1].Tokens
	if others := need.Tokens() - own; others > 0 {
		smooth(&c.prefilled, float64(max(o.missing-own, 0))/float64(others), costSmoothing)
	}
}

// noteUnused takes back the engine time of a request that its upstream did not run.
func (m *Model) noteUnused(now time.Time, s *sent, outcome Outcome) {
	if m.shares != nil && outcome == Rejected && !s.answered {
		m.shares.Update(now, share.GivenMsg{Org: s.need.Org, Time: -s.engineTime})
	}
}

// noteServed counts the first byte of an answer.
func (m *Model) noteServed(now time.Time, s *sent) {
	if m.shares == nil {
		return
	}
	m.shares.Update(now, share.ServedMsg{Org: s.need.Org, Route: s.need.Route, Service: s.need.Service})
	if 2*s.expected > s.need.Objective {
		smooth(&m.cost(s.need.Service).excess, min(float64(now.Sub(s.at))/float64(s.expected), maxExcess), costSmoothing)
	}
}

// tickShares drops outdated figures and counts the capacity of each service.
func (m *Model) tickShares(now time.Time) (cmds []ident.Cmd) {
	if m.shares == nil || now.Sub(m.sharesTicked) < sharesInterval {
		return nil
	}
	m.sharesTicked = now
	for _, service := range m.set.Services() {
		if service.Store == nil {
			m.shares.SetCapacity(service.Name, m.capacity(now, &service))
		}
	}
	return m.shares.Update(now, share.TickMsg{})
}

// capacity returns how many requests a second the upstreams of a service in use can begin, by the engine time that requests take on average, and by
// their slots for plain calls. Cold upstreams take as many as they bear.
func (m *Model) capacity(now time.Time, service *conf.Service) (perSecond float64) {
	plain := service.Engine == nil
	each := m.cost(service.Name).engineTime
	if each == 0 {
		each = float64(m.engineTime(service.Name, plain, 0))
	}
	m.fleet.Each(now, service.Name, func(u *conf.Upstream, status fleet.Status) {
		if !status.Usable || status.Ordered {
			return
		}
		rate := float64(time.Second) / max(each, 1)
		if plain {
			rate *= float64(max(u.Slots, 1))
		}
		if status.Cold && service.ColdRate > 0 {
			rate = min(rate, service.ColdRate)
		}
		if status.Limit.Named {
			rate = min(rate, status.Limit.PerSecond)
		}
		perSecond += rate
	})
	return perSecond
}
