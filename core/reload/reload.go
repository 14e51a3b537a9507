// Package reload updates model engines to the target version of their weights, a few at a time.
package reload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
)

const (
	// maxLoadShare is the share of all engines that may load at once, and minLoadLimit the lower bound of that
	// limit. More concurrent loads make each one slower.
	maxLoadShare = 0.2
	minLoadLimit = 2
	// maxOutShare is the share of all engines that may be without new work at once, before or during a load. Those whose orders get an
	// answer may be no more than maxTurnShare: the ones that load, and few that drain meanwhile.
	maxOutShare  = 0.4
	maxTurnShare = 0.25
	// drainTimeout is how long an engine may drain its requests before it is ordered to load. Requests that last
	// longer keep the old weights to their end.
	drainTimeout = 800 * time.Millisecond
	// overdueAge is the age of a target version from which engines are ordered to load it without draining first.
	overdueAge = 2500 * time.Millisecond
	// queryInterval is the minimum time between two queries of an engine's state.
	queryInterval = 250 * time.Millisecond
	// orderTimeout is how long an order without visible effect is assumed to be in flight. Reports of engines lag by some
	// hundred milliseconds.
	orderTimeout = 600 * time.Millisecond
	// answerTimeout is how long the answer to an order may take. Without it the order may take effect at once, seconds
	// later or never; a repetition is safe, since the engine accepts only one at each number of accepted orders.
	answerTimeout = 300 * time.Millisecond
	// maxUnanswered is the number of orders without an answer after which an engine gets new work again and others are
	// updated before it.
	maxUnanswered = 4
	// updateTimeout is how long an engine may be without new work before its update is aborted in favour of another.
	updateTimeout = 5 * time.Second
	// refusalPause is how long no update is tried on an engine that refused one or whose update was aborted.
	refusalPause = time.Second
)

// phase is the progress of an engine's update.
type phase int

const (
	draining phase = iota
	querying
	ordered
)

// step is the update of one engine to a version.
type step struct {
	model     ident.ModelName
	version   int64
	phase     phase
	since     time.Time
	queriedAt time.Time
	orderedAt time.Time
	// orders counts the orders given, accepted is set once the engine is known to have accepted one.
	orders   int
	accepted bool
	// seq is the number of orders that the engine had accepted at its last report, -1 if that is unknown.
	seq int64
}

// OrderCmd requests that an engine be ordered to load a version.
type OrderCmd struct {
	Upstream conf.Upstream
	Model    ident.ModelName
	Version  int64
	// Seq is the number of accepted orders that the engine must be at for the order to take effect.
	Seq int64
}

// QueryCmd requests a query of an engine's state.
type QueryCmd struct{ Upstream conf.Upstream }

// TickMsg triggers the periodic decisions.
type TickMsg struct {
	// Holds reports whether this entry may give orders.
	Holds bool
	// InFlight returns the number of requests in flight at an upstream.
	InFlight func(ident.UpstreamID) int
}

// StateMsg is an engine's report of its state.
type StateMsg struct {
	Upstream ident.UpstreamID
	// AskedAt is when the engine was asked. The report may be handled much later.
	AskedAt time.Time
	Loading bool
	Seq     int64
	Weights map[ident.ModelName]int64
}

// AcceptedMsg reports that an engine accepted an order.
type AcceptedMsg struct{ Upstream ident.UpstreamID }

// RefusedMsg reports that an engine refused an order.
type RefusedMsg struct{ Upstream ident.UpstreamID }

// Model decides on the updates of engines for the entry that holds the duty. Its methods aren't safe for concurrent
// use.
type Model struct {
	fleet          *fleet.Model
	targetVersions map[ident.ModelName]int64
	// targetSince holds the earliest times at which the versions can have become targets.
	targetSince map[ident.ModelName]time.Time
	steps       map[ident.UpstreamID]*step
	pausedUntil map[ident.UpstreamID]time.Time
	// aborted counts the aborted updates of engines that are behind.
	aborted map[ident.UpstreamID]int
}

// NewModel returns a model that updates the engines of a fleet.
//
//	m := reload.NewModel(upstreams)
//	m.SetTargetVersion(since, "m0", 2)
func NewModel(upstreams *fleet.Model) *Model {
	return &Model{
		fleet: upstreams, targetVersions: map[ident.ModelName]int64{}, targetSince: map[ident.ModelName]time.Time{},
		steps: map[ident.UpstreamID]*step{}, pausedUntil: map[ident.UpstreamID]time.Time{}, aborted: map[ident.UpstreamID]int{},
	}
}

// SetTargetVersion sets the target version of a model, which can have become the target at the given time at the earliest;
// a version that is not newer is ignored.
func (m *Model) SetTargetVersion(since time.Time, model ident.ModelName, version int64) {
	if version > m.targetVersions[model] {
		m.targetVersions[model], m.targetSince[model] = version, since
	}
}

// Behind reports whether any engine that is not draining still has weights older than their target version.
func (m *Model) Behind() bool {
	for _, u := range m.fleet.All() {
		if _, _, behind := m.nextTarget(u); behind {
			return true
		}
	}
	return false
}

// nextTarget returns the first model of an engine whose weights are older than their target version, and that version. Behind
// is false if there is none or the engine is draining.
func (m *Model) nextTarget(u conf.Upstream) (model ident.ModelName, version int64, behind bool) {
	for _, name := range slices.Sorted(maps.Keys(u.Weights)) {
		if w := m.targetVersions[name]; w > u.Weights[name] && !u.Draining {
			return name, w, true
		}
	}
	return "", 0, false
}

// Update applies one message and returns the commands that follow.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case TickMsg:
		if !msg.Holds {
			clear(m.steps)
			return nil
		}
		return m.tick(now, msg.InFlight)
	case StateMsg:
		m.applyState(msg)
	case AcceptedMsg:
		if s := m.steps[msg.Upstream]; s != nil {
			s.accepted = true
		}
	case RefusedMsg:
		m.refuse(now, msg.Upstream)
	}
	return nil
}

// refuse aborts an update whose order was refused. The refusal of a repeated order means that an earlier one was accepted.
func (m *Model) refuse(now time.Time, id ident.UpstreamID) {
	if s := m.steps[id]; s != nil && s.phase == ordered && s.orders > 1 && !s.accepted {
		s.orderedAt, s.accepted = now, true
		return
	}
	m.abort(now, id)
}

// abort gives an engine new work again and updates others before it.
func (m *Model) abort(now time.Time, id ident.UpstreamID) {
	delete(m.steps, id)
	m.pausedUntil[id] = now.Add(refusalPause)
	m.aborted[id]++
}

// isLoading reports whether an update counts as a load: not while it drains, nor while its orders get no answer.
func (s *step) isLoading() bool { return s.phase != draining && !s.isUnanswered() }

// isUnanswered reports whether an order was given again and none is known to have been accepted.
func (s *step) isUnanswered() bool { return !s.accepted && s.orders >= 2 }

func (m *Model) applyState(msg StateMsg) {
	s, ok := m.steps[msg.Upstream]
	if !ok {
		return
	}
	if msg.Weights[s.model] >= s.version {
		delete(m.steps, msg.Upstream)
		return
	}
	timeout := answerTimeout
	if s.accepted = s.accepted || msg.Loading; s.accepted {
		timeout = orderTimeout
	}
	if s.phase == querying || s.phase == ordered && !msg.Loading && msg.AskedAt.Sub(s.orderedAt) > timeout {
		s.phase, s.seq, s.accepted = querying, msg.Seq, false
	}
}

func (m *Model) tick(now time.Time, inFlight func(ident.UpstreamID) int) (cmds []ident.Cmd) {
	all := m.fleet.All()
	maps.DeleteFunc(m.aborted, func(id ident.UpstreamID, _ int) bool {
		u, known := m.fleet.Get(id)
		_, _, behind := m.nextTarget(u)
		return !known || !behind
	})
	slices.SortFunc(all, func(a, b conf.Upstream) int {
		return cmp.Or(cmp.Compare(m.aborted[a.ID], m.aborted[b.ID]), cmp.Compare(inFlight(a.ID), inFlight(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	engines, loading, out, unanswered := 0, 0, 0, 0
	for _, u := range all {
		if len(u.Weights) == 0 {
			continue
		}
		engines++
		s := m.steps[u.ID]
		if s == nil {
			continue
		}
		model, version, behind := m.nextTarget(u)
		switch {
		case !behind || model != s.model:
			delete(m.steps, u.ID)
			continue
		case s.phase != ordered:
			s.version = version
		}
		if now.Sub(s.since) > updateTimeout || s.phase == querying && s.orders >= maxUnanswered && !s.accepted {
			m.abort(now, u.ID)
			continue
		}
		out++
		if s.isLoading() {
			loading++
		}
		if s.isUnanswered() {
			unanswered++
		}
	}
	for id := range m.steps {
		if _, known := m.fleet.Get(id); !known {
			delete(m.steps, id)
		}
	}
	maxLoads := max(minLoadLimit, int(maxLoadShare*float64(engines)))
	maxTurn := max(maxLoads, int(maxTurnShare*float64(engines)))
	maxOut := max(maxLoads, min(maxTurn+unanswered, int(maxOutShare*float64(engines))))
	for _, u := range all {
		s := m.steps[u.ID]
		if s == nil {
			model, version, behind := m.nextTarget(u)
			if !behind || out >= maxOut || now.Before(m.pausedUntil[u.ID]) {
				continue
			}
			s = &step{model: model, version: version, since: now, seq: -1}
			m.steps[u.ID] = s
			out++
		}
		switch s.phase {
		case draining:
			if loading < maxLoads && (inFlight(u.ID) == 0 || now.Sub(s.since) >= drainTimeout || m.overdue(now, s.model)) {
				s.phase = querying
				loading++
				cmds = append(cmds, m.query(now, s, u)...)
			}
		case querying:
			if s.seq < 0 {
				cmds = append(cmds, m.query(now, s, u)...)
				continue
			}
			s.phase, s.orderedAt, s.orders = ordered, now, s.orders+1
			cmds = append(cmds, OrderCmd{Upstream: u, Model: s.model, Version: s.version, Seq: s.seq})
			s.seq = -1
		case ordered:
			cmds = append(cmds, m.query(now, s, u)...)
		}
	}
	return cmds
}

// overdue reports whether the target version of a model may have been set longer than overdueAge ago.
func (m *Model) overdue(now time.Time, model ident.ModelName) bool {
	return now.Sub(m.targetSince[model]) > overdueAge
}

func (m *Model) query(now time.Time, s *step, u conf.Upstream) []ident.Cmd {
	if now.Sub(s.queriedAt) < queryInterval {
		return nil
	}
	s.queriedAt = now
	return []ident.Cmd{QueryCmd{u}}
}

// Updating returns the engines that get no new work because of their update, sorted by ID.
func (m *Model) Updating() (ids []ident.UpstreamID) {
	for id := range m.steps {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
