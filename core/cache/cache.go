// Package cache decides about kept context: whether and where the context of a prompt is
// exported after its answer, and whether a request's context is imported from a store
// before it is sent or recomputed.
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

// Verdicts tells which requests are in quarantine.
type Verdicts interface {
	Quarantined(now time.Time, d poison.Digest) bool
}

// request is a completion that has no final answer yet.
type request struct {
	sched.Request
	// attempt, version, upstream and address are those of the last sending.
	attempt  int
	version  ident.Version
	upstream ident.UpstreamID
	address  string
}

// key names the context that a request may find kept.
func (r *request) key() uint64 {
	return route.Key(r.Org, r.version, r.PromptRoot) ^ xxhash.Sum64String(string(r.Model))
}

// blocks counts the whole blocks of the prompt.
func (r *request) blocks() int { return r.PromptTokens / BlockTokens }

// Model decides for one entry.
//
//	m := cache.NewModel("entry-0", "boot-1", cache.WithLimits(limits))
//	cmds := m.Update(now, sched.ArriveMsg{Request: req})
type Model struct {
	entry       ident.EntryID
	incarnation ident.BootID
	limits      Limits
	verdicts    Verdicts
	// rules is nil until the first version is in force; no store is used before.
	rules   *rules.Set
	version int64
	// members holds the entries that share the links, sorted.
	members []ident.EntryID
	links   map[ident.UpstreamID]*link
	// order holds the stores' ids, sorted, so that decisions do not depend on map order.
	order []ident.UpstreamID
	// requests holds the completions in flight; an entry's scheduler bounds them.
	requests map[ident.RequestID]*request
	memory   *memory
	// queue lists the exports that wait, the oldest first; at most MostQueued.
	queue []queued
	// exporting holds the exports that run.
	exporting map[ident.RequestID]queued
	// generations counts the exports of this incarnation; it never goes back.
	generations int64
	estimates   estimates
}

// Option sets one property of a [Model].
type Option func(*Model)

// WithLimits bounds the use of the stores; 0 takes the default.
func WithLimits(l Limits) Option { return func(m *Model) { m.limits = l.orDefaults() } }

// WithVerdicts asks which requests are in quarantine; by default none is.
func WithVerdicts(v Verdicts) Option { return func(m *Model) { m.verdicts = v } }

type noVerdicts struct{}

func (noVerdicts) Quarantined(time.Time, poison.Digest) bool { return false }

// NewModel is a decider that knows of no store. The incarnation must differ for each start of an entry.
func NewModel(entry ident.EntryID, incarnation ident.BootID, options ...Option) *Model {
	m := &Model{
		entry: entry, incarnation: incarnation, limits: DefaultLimits(), verdicts: noVerdicts{},
		links: map[ident.UpstreamID]*link{}, requests: map[ident.RequestID]*request{},
		memory: newMemory(mostRemembered), exporting: map[ident.RequestID]queued{}, estimates: newEstimates(),
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Update takes a message and returns the commands that follow from it.
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
		return m.send(now, msg)
	case sched.EndMsg:
		return m.end(now, msg)
	case sched.GoneMsg:
		delete(m.requests, msg.Request)
	case ImportedMsg:
		m.imported(now, msg)
	case ExportedMsg:
		m.exported(now, msg)
	case roll.AttemptMsg:
		m.estimates.prefilled(msg)
	case sched.TickMsg:
		m.tick(now)
	default:
		m.learn(msg)
	}
	return nil
}

// learn takes what the platform and the other entries tell.
func (m *Model) learn(msg ident.Msg) {
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
	m.forget()
}

// setRules never goes back to an older version.
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
	for _, one := range msg.Members {
		m.members = append(m.members, one.Entry)
	}
	slices.Sort(m.members)
}

// forget drops the stores that are off the list, once no transfer with them runs.
func (m *Model) forget() {
	maps.DeleteFunc(m.links, func(_ ident.UpstreamID, l *link) bool { return !l.listed && len(l.running) == 0 })
	m.order = slices.Sorted(maps.Keys(m.links))
}

// NextTick is when time next matters: at once while an export waits.
func (m *Model) NextTick() (at time.Time, set bool) { return at, len(m.queue) > 0 }

// tick forgets what ended without a word.
func (m *Model) tick(now time.Time) {
	for _, id := range m.order {
		m.links[id].expire(now)
	}
	m.forget()
	maps.DeleteFunc(m.exporting, func(_ ident.RequestID, q queued) bool { return now.After(q.until) })
}

// closed tells why a store takes no transfer, or is empty.
func (m *Model) closed(now time.Time, l *link) string {
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

// pick is the open store that a prompt's context belongs to, or nil. A store that failed keeps its
// prompts for the moment: what is written elsewhere would not be found once it is back.
func (m *Model) pick(key uint64) *link {
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

// share is how many transfers this entry may run over a link at once. The shares of all members
// add up to LinkTransfers; who gets one more differs from store to store.
func (m *Model) share(l *link) int {
	at, member := slices.BinarySearch(m.members, m.entry)
	if !member {
		return 0
	}
	n := uint64(len(m.members))
	total := uint64(m.limits.LinkTransfers)
	share := total / n
	if (uint64(at)+l.hash)%n < total%n {
		share++
	}
	return int(share)
}
