// Package cache decides how prompt contexts are reused through stores: whether and where the context
// of a prompt is exported after its answer, and whether a request's context is imported from a store
// before the request is sent, or recomputed.
package cache

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
	"cicadavalve/core/roll"
	"cicadavalve/core/route"
	"cicadavalve/core/rules"
	"cicadavalve/core/sched"
)

// Verdicts reports which requests are in quarantine.
type Verdicts interface {
	Quarantined(now time.Time, d poison.Digest) bool
}

// request is a completion in flight.
type request struct {
	sched.Request
	// attempt, version, upstream and address are those of the newest attempt.
	attempt  int
	version  ident.Version
	upstream ident.UpstreamID
	address  string
}

// key identifies the context of the request's prompt, by organisation, version, prompt and model.
func (r *request) key() uint64 {
	return route.Key(r.Org, r.version, r.PromptRoot) ^ xxhash.Sum64String(string(r.Model))
}

// blocks returns the number of whole blocks in the prompt.
func (r *request) blocks() int { return r.PromptTokens / BlockTokens }

// Model decides on imports and exports for one entry.
//
//	m := cache.NewModel("entry-0", "boot-1", cache.WithLimits(limits))
//	cmds := m.Update(now, sched.ArriveMsg{Request: req})
type Model struct {
	entry       ident.EntryID
	incarnation ident.BootID
	limits      Limits
	verdicts    Verdicts
	// rules is nil until the first version is in force; until then no store is used.
	rules   *rules.Set
	version int64
	// members holds the entries that share the links to the stores, sorted.
	members []ident.EntryID
	links   map[ident.UpstreamID]*link
	// order holds the store ids, sorted, so that decisions do not depend on map order.
	order []ident.UpstreamID
	// requests holds the completions in flight; an entry's scheduler bounds them.
	requests map[ident.RequestID]*request
	contexts *contextIndex
	// queue lists the waiting exports, the oldest first; at most [Limits.MaxQueued].
	queue []queuedExport
	// exporting holds the running exports.
	exporting map[ident.RequestID]queuedExport
	// lastGeneration numbers the newest export of this incarnation; it never decreases.
	lastGeneration int64
	estimates      estimates
}

// Option sets one property of a [Model].
type Option func(*Model)

// WithLimits sets the limits on the use of the stores; 0 means the default, see [DefaultLimits].
func WithLimits(l Limits) Option { return func(m *Model) { m.limits = l.orDefaults() } }

// WithVerdicts sets which requests are in quarantine; by default none is.
func WithVerdicts(v Verdicts) Option { return func(m *Model) { m.verdicts = v } }

type noVerdicts struct{}

func (noVerdicts) Quarantined(time.Time, poison.Digest) bool { return false }

// NewModel returns a model without stores. The incarnation must differ for each start of an entry, as it
// makes the generations of exports unique.
func NewModel(entry ident.EntryID, incarnation ident.BootID, options ...Option) *Model {
	m := &Model{
		entry: entry, incarnation: incarnation, limits: DefaultLimits(), verdicts: noVerdicts{},
		links: map[ident.UpstreamID]*link{}, requests: map[ident.RequestID]*request{},
		contexts: newContextIndex(maxContexts), exporting: map[ident.RequestID]queuedExport{}, estimates: newEstimates(),
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Update handles a message and returns the resulting commands; none if stores are off.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	if m.limits.Off {
		return nil
	}
	cmds = m.update(now, msg)
	if len(m.queue) > 0 {
		cmds = append(cmds, m.startExports(now)...)
	}
	return cmds
}

func (m *Model) update(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case sched.ArriveMsg:
		if msg.Request.Model != "" {
			m.requests[msg.Request.ID] = &request{Request: msg.Request}
		}
	case sched.SendCmd:
		return m.decideImport(now, msg)
	case sched.EndMsg:
		return m.finishRequest(now, msg)
	case sched.GoneMsg:
		delete(m.requests, msg.Request)
	case ImportedMsg:
		m.finishImport(now, msg)
	case ExportedMsg:
		m.finishExport(now, msg)
	case roll.AttemptMsg:
		m.estimates.observePrefill(msg)
	case sched.TickMsg:
		m.tick(now)
	default:
		m.updateConfig(msg)
	}
	return nil
}

// updateConfig applies changes of the upstream list, the rules and the members.
func (m *Model) updateConfig(msg ident.Msg) {
	switch msg := msg.(type) {
	case sched.UpstreamsMsg:
		m.setStores(msg)
	case sched.RulesMsg:
		m.setRules(msg)
	case roll.MembersMsg:
		m.setMembers(msg)
	}
}

func (m *Model) setStores(msg sched.UpstreamsMsg) {
	listed := map[ident.UpstreamID]bool{}
	for _, u := range msg.Upstreams {
		if u.Role != sched.RoleStore {
			continue
		}
		listed[u.ID] = true
		l, known := m.links[u.ID]
		if !known || l.address != u.Address {
			l = newLink(u.ID)
			m.links[u.ID] = l
		}
		l.address, l.zone, l.leaving = u.Address, u.Zone, u.Leaving
	}
	for id, l := range m.links {
		l.listed = listed[id]
	}
	m.removeUnlisted()
}

// setRules applies a newer version of the rules. It ignores older ones and texts with faults.
func (m *Model) setRules(msg sched.RulesMsg) {
	if msg.Version <= m.version {
		return
	}
	if set, faults := rules.Parse(msg.Text); len(faults) == 0 {
		m.rules, m.version = set, msg.Version
	}
}

func (m *Model) setMembers(msg roll.MembersMsg) {
	m.members = m.members[:0]
	for _, member := range msg.Members {
		m.members = append(m.members, member.Entry)
	}
	slices.Sort(m.members)
}

// removeUnlisted removes the stores that are no longer listed and have no running transfer.
func (m *Model) removeUnlisted() {
	maps.DeleteFunc(m.links, func(_ ident.UpstreamID, l *link) bool { return !l.listed && len(l.running) == 0 })
	m.order = slices.Sorted(maps.Keys(m.links))
}

// NextTick returns when the model next needs a tick, and whether it needs one: at once, the zero time,
// while an export waits.
func (m *Model) NextTick() (at time.Time, set bool) { return at, len(m.queue) > 0 }

// tick removes the transfers whose end was not reported in time.
func (m *Model) tick(now time.Time) {
	for _, id := range m.order {
		m.links[id].expire(now)
	}
	m.removeUnlisted()
	maps.DeleteFunc(m.exporting, func(_ ident.RequestID, q queuedExport) bool { return now.After(q.deadline) })
}

// unavailableReason returns why a store takes no transfer, or empty if it does.
func (m *Model) unavailableReason(now time.Time, l *link) string {
	switch {
	case m.rules == nil:
		return "no configuration is in force"
	case !l.listed:
		return "not on the VM list"
	case l.leaving:
		return "leaving by the VM list"
	case m.rules.Drained(l.store, l.zone):
		return "drained by a rule"
	case now.Before(l.pausedUntil):
		return "failed a moment ago"
	}
	return ""
}

// storeFor returns the store that a context belongs to, or nil if each one is unlisted, leaving or drained,
// or no rules are in force. A store that is paused after a failure keeps its contexts: one written elsewhere
// would not be found once the store is back.
func (m *Model) storeFor(key uint64) *link {
	var best *link
	for _, id := range m.order {
		l := m.links[id]
		if !l.listed || l.leaving || m.rules == nil || m.rules.Drained(l.store, l.zone) {
			continue
		}
		if best == nil || route.Weight(key, l.hash) > route.Weight(key, best.hash) {
			best = l
		}
	}
	return best
}

// transferShare returns how many transfers this entry may run over a link at once. The shares of all
// members add up to LinkTransfers; the members that get one of the remainder differ from store to store.
func (m *Model) transferShare(l *link) int {
	i, member := slices.BinarySearch(m.members, m.entry)
	if !member {
		return 0
	}
	n := uint64(len(m.members))
	total := uint64(m.limits.LinkTransfers)
	share := total / n
	if (uint64(i)+l.hash)%n < total%n {
		share++
	}
	return int(share)
}
