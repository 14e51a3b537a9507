// Package share divides the engine time of a fleet between organisations by weighted max-min fairness, orders queued requests, and
// gives refused callers times to come back.
//
// Each entry counts the engine time that it gives to each organisation and what it could not give. Entries send each other these
// figures, so that all judge by the use of the whole fleet. Nobody is held back while nothing waits and nothing is refused.
package share

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// memory is the time constant of the decaying sums of engine time. It is long against batches and the interval between reports,
	// and shorter than waves of load (13 s), so that little of a share that was unused in a wave's trough is saved up for its peak.
	memory = 8 * time.Second
	// unmetMemory is that of unmet demand: soon after the last refusal nobody is held back any more.
	unmetMemory = 2 * time.Second
	// rateMemory is the time constant of the measured rates.
	rateMemory = 4 * time.Second
	// refreshInterval is the minimum interval at which shares are computed anew.
	refreshInterval = 50 * time.Millisecond
	// peerTTL is how long the figures of another entry are used: a few intervals at which an entry without waiting requests reports.
	peerTTL = 5 * time.Second
	// minUnmet is the unmet demand below which an organisation counts as served in full, as a fraction of its use. It hides the
	// remains of demand that was met since.
	minUnmet = 0.01
	// minAccount is the sum of engine time below which an organisation's account is dropped.
	minAccount = 100 * time.Microsecond
	// tolerance is the excess over its share up to which an organisation does not count as above it: figures of other entries are up
	// to half a second old.
	tolerance = 1.05
	// stepExcess is the additional excess for each further step of [Model.Steps].
	stepExcess = 0.25
	// chanceFactor is how many standard deviations of the engine time that an organisation's requests take by chance it must have had
	// beyond its share to count as above it, batch the number of requests that arrive together.
	chanceFactor = 2.0
	batch        = 3.0
	// maxSteps bounds Steps, so that some capacity stays open to every organisation.
	maxSteps = 3
)

// GivenMsg reports engine time given to an organisation, negative if it was not used after all.
type GivenMsg struct {
	Org  ident.OrgID
	Time time.Duration
}

// UnmetMsg reports engine time that an organisation asked for and that was refused or has to wait.
type UnmetMsg struct {
	Org  ident.OrgID
	Time time.Duration
}

// MetMsg reports that what was unmet since a time has been given.
type MetMsg struct {
	Org   ident.OrgID
	Time  time.Duration
	Since time.Time
}

// OfferedMsg reports the first decision about a request of a route.
type OfferedMsg struct {
	Org   ident.OrgID
	Route string
}

// ServedMsg reports the first byte of an answer.
type ServedMsg struct {
	Org     ident.OrgID
	Route   string
	Service ident.ServiceName
}

// Use is what one entry gave to an organisation lately, and what it could not give: decaying sums with time constants of 8 s and 2 s.
type Use struct {
	Org          ident.OrgID
	Given, Unmet time.Duration
}

// Rate is the rate at which requests of one service begin to be answered at one entry.
type Rate struct {
	Service   ident.ServiceName
	PerSecond float64
}

// PeerMsg carries figures of another entry. Organisations that it does not list keep their last figures.
type PeerMsg struct {
	Peer  string
	Uses  []Use
	Rates []Rate
}

// TickMsg drops outdated figures and reports who is held back.
type TickMsg struct{}

// RestrictedCmd reports that an organisation is from now on held back to its share, or no longer.
type RestrictedCmd struct {
	Org        ident.OrgID
	Restricted bool
	// Excess is its use relative to its share.
	Excess float64
}

// account holds the figures of one organisation.
type account struct {
	// given and unmet are this entry's, in ns.
	given, unmet decaying
	// others is the sum of what the other entries reported.
	others Use
	// demand is input and result of the last division.
	demand demand
	// restricted is set between two RestrictedCmd.
	restricted bool
}

// peerFigures are those that another entry has reported.
type peerFigures struct {
	uses map[ident.OrgID]figure
	// rates are in requests a second.
	rates map[ident.ServiceName]figure
}

// figure is what another entry reported, at its arrival.
type figure struct {
	use  Use
	rate float64
	at   time.Time
}

// Model keeps the shares as one entry sees them. Its methods aren't safe for concurrent use.
type Model struct {
	rng     *rand.Rand
	entries int
	// weights holds those that differ from 1.
	weights  map[ident.OrgID]float64
	accounts map[ident.OrgID]*account
	peers    map[string]*peerFigures
	services map[ident.ServiceName]*service
	routes   map[string]*route
	// offered and served are the sums over routes.
	offered, served decaying
	// requests counts what this entry gave engine time to, given is the sum of that time, in ns.
	requests, given decaying
	// level is the engine time for each unit of weight; nothing waits unless contended is set.
	level     float64
	contended bool
	// demands is reused for each division.
	demands     []*demand
	refreshedAt time.Time
	reportedAt  time.Time
	// turn counts reports, so that organisations with little use are reported in turn.
	turn int
}

// Option sets one property of a [Model].
type Option func(*Model)

// WithWeight sets the weight of an organisation; others have weight 1. Weights that aren't positive are ignored.
func WithWeight(org ident.OrgID, weight float64) Option {
	return func(m *Model) {
		if weight > 0 {
			m.weights[org] = weight
		}
	}
}

// NewModel returns a Model without figures. The random numbers spread the times at which callers return.
//
//	m := share.NewModel(rng)
//	m.Update(now, share.GivenMsg{Org: "a", Time: 80 * time.Millisecond})
//	if m.Steps(now, "a") > 0 { wait() }
func NewModel(rng *rand.Rand, options ...Option) *Model {
	m := &Model{
		rng: rng, entries: 1, weights: map[ident.OrgID]float64{}, accounts: map[ident.OrgID]*account{}, peers: map[string]*peerFigures{},
		services: map[ident.ServiceName]*service{}, routes: map[string]*route{},
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// SetEntries sets how many entries share the capacity, including this one.
func (m *Model) SetEntries(n int) { m.entries = max(n, 1) }

// Update applies a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case GivenMsg:
		m.account(msg.Org).given.add(now, float64(msg.Time), memory)
		if msg.Time > 0 {
			m.requests.add(now, 1, memory)
			m.given.add(now, float64(msg.Time), memory)
		}
	case UnmetMsg:
		m.account(msg.Org).unmet.add(now, float64(msg.Time), unmetMemory)
	case MetMsg:
		unmet := decaying{sum: float64(msg.Time), at: msg.Since}
		m.account(msg.Org).unmet.add(now, -unmet.value(now, unmetMemory), unmetMemory)
	case OfferedMsg:
		m.offer(now, msg)
	case ServedMsg:
		m.service(msg.Service).served.add(now, 1, rateMemory)
		m.serve(now, msg)
	case PeerMsg:
		m.updatePeer(now, msg)
	case TickMsg:
		m.expirePeers(now)
		m.refresh(now)
		cmds = m.restrictions()
		m.forget(now)
	}
	return cmds
}

// Steps returns by how many steps of urgency the requests of an organisation are put back: 0 while it is not above its share or nothing
// waits, at most 3.
func (m *Model) Steps(now time.Time, org ident.OrgID) (steps int) {
	m.refresh(now)
	if a, known := m.accounts[org]; known {
		return m.steps(a)
	}
	return 0
}

func (m *Model) steps(a *account) (steps int) {
	excess := m.excess(a)
	if excess <= tolerance {
		return 0
	}
	// The number of requests within the memory varies by its root, and by more as they arrive in batches.
	entitled, each := a.demand.weight*m.level, m.meanTime()
	if a.demand.given-entitled < chanceFactor*math.Sqrt(batch*entitled*each) {
		return 0
	}
	return min(1+int(min((excess-tolerance)/stepExcess, maxSteps)), maxSteps)
}

// meanTime returns the mean engine time of the requests that this entry sent lately, in ns.
func (m *Model) meanTime() float64 {
	if m.requests.sum < minRoute {
		return 0
	}
	return m.given.sum / m.requests.sum
}

// excess returns the engine time that all entries gave to an organisation, relative to its share. It is 0 while nothing waits.
func (m *Model) excess(a *account) float64 {
	if !m.contended || m.level <= 0 {
		return 0
	}
	return a.demand.given / (a.demand.weight * m.level)
}

// Contended reports whether requests of some organisation wait or were refused lately.
func (m *Model) Contended(now time.Time) bool {
	m.refresh(now)
	return m.contended
}

// refresh divides the engine time of the fleet anew if that was done too long ago.
func (m *Model) refresh(now time.Time) {
	if since := now.Sub(m.refreshedAt); since >= 0 && since < refreshInterval {
		return
	}
	m.refreshedAt = now
	m.demands, m.contended = m.demands[:0], false
	for org, a := range m.accounts {
		given := max(a.given.value(now, memory), 0) + float64(a.others.Given)
		unmet := max(a.unmet.value(now, unmetMemory), 0) + float64(a.others.Unmet)
		if unmet < max(minUnmet*given, float64(minAccount)) {
			unmet = 0
		}
		m.contended = m.contended || unmet > 0
		a.demand = demand{given: given, required: given + unmet, weight: m.weight(org)}
		m.demands = append(m.demands, &a.demand)
	}
	m.level = divide(m.demands)
}

func (m *Model) weight(org ident.OrgID) float64 {
	if w, set := m.weights[org]; set {
		return w
	}
	return 1
}

func (m *Model) account(org ident.OrgID) *account {
	a, ok := m.accounts[org]
	if !ok {
		a = &account{demand: demand{weight: m.weight(org)}}
		m.accounts[org] = a
	}
	return a
}

// updatePeer replaces the figures that another entry reported before.
func (m *Model) updatePeer(now time.Time, msg PeerMsg) {
	p, ok := m.peers[msg.Peer]
	if !ok {
		p = &peerFigures{uses: map[ident.OrgID]figure{}, rates: map[ident.ServiceName]figure{}}
		m.peers[msg.Peer] = p
	}
	for _, u := range msg.Uses {
		u.Given, u.Unmet = min(max(u.Given, 0), maxReported), min(max(u.Unmet, 0), maxReported)
		m.replace(u.Org, p.uses[u.Org].use, u)
		p.uses[u.Org] = figure{use: u, at: now}
	}
	for _, r := range msg.Rates {
		r.PerSecond = min(max(r.PerSecond, 0), maxReportedRate)
		m.service(r.Service).others += r.PerSecond - p.rates[r.Service].rate
		p.rates[r.Service] = figure{rate: r.PerSecond, at: now}
	}
}

const (
	// maxReported bounds the engine time that another entry may claim for one organisation, so that one wrong report doesn't hide all others.
	maxReported = time.Hour
	// maxReportedRate bounds the rate that another entry may claim, in requests a second.
	maxReportedRate = 1e5
)

// replace replaces a figure of another entry in the sum over all others.
func (m *Model) replace(org ident.OrgID, old, now Use) {
	a := m.account(org)
	a.others.Given += now.Given - old.Given
	a.others.Unmet += now.Unmet - old.Unmet
}

// expirePeers drops figures that are too old.
func (m *Model) expirePeers(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		for org, t := range p.uses {
			if now.Sub(t.at) > peerTTL {
				m.replace(org, t.use, Use{})
				delete(p.uses, org)
			}
		}
		for service, t := range p.rates {
			if now.Sub(t.at) > peerTTL {
				m.service(service).others -= t.rate
				delete(p.rates, service)
			}
		}
		if len(p.uses)+len(p.rates) == 0 {
			delete(m.peers, name)
		}
	}
}

// forget drops the accounts of organisations without use.
func (m *Model) forget(now time.Time) {
	for org, a := range m.accounts {
		if a.others == (Use{}) && !a.restricted && a.given.value(now, memory) < float64(minAccount) && a.unmet.value(now, unmetMemory) < float64(minAccount) {
			delete(m.accounts, org)
		}
	}
	for name, r := range m.routes {
		if r.offered.value(now, routeMemory) < minRoute {
			delete(m.routes, name)
		}
	}
}

// restrictions returns the organisations whose restriction begins or ends. One begins at the second step and ends at none, so that those
// at their share are not reported again and again.
func (m *Model) restrictions() (cmds []ident.Cmd) {
	for _, org := range slices.Sorted(maps.Keys(m.accounts)) {
		a := m.accounts[org]
		steps := m.steps(a)
		if begins := !a.restricted && steps > 1; begins || a.restricted && steps == 0 {
			a.restricted = begins
			cmds = append(cmds, RestrictedCmd{Org: org, Restricted: begins, Excess: m.excess(a)})
		}
	}
	return cmds
}
