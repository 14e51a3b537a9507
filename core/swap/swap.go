// Package swap brings model engines to a named version of their weights, a few at a time.
package swap

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
)

const (
	// loadShare is the part of all engines that load at once, leastLoads the least number; more at once make
	// each load slower.
	loadShare  = 0.2
	leastLoads = 2
	// outShare is the part of all engines that may be without new work at once, on the way to a load or in it.
	outShare = 0.4
	// drainTime is how long an engine finishes what it has before it is ordered. Requests that last longer
	// keep their old weights to their end.
	drainTime = 800 * time.Millisecond
	// hurryTime is how long after a version was named the engines that still lack it no longer finish what they
	// have before they are ordered.
	hurryTime = 2500 * time.Millisecond
	// askInterval is how often an engine that loads is asked.
	askInterval = 250 * time.Millisecond
	// retryTime is how long an order without effect is believed to be on its way.
	retryTime = 600 * time.Millisecond
	// mostLoad is how long an engine may be without work before it gets work again and another takes its turn.
	mostLoad = 5 * time.Second
	// pauseTime is how long an engine that refused is left alone.
	pauseTime = time.Second
)

// phase is how far an engine is.
type phase int

const (
	draining phase = iota
	asking
	ordered
)

// step is an engine on its way to a version.
type step struct {
	model   ident.ModelName
	version int64
	phase   phase
	since   time.Time
	asked   time.Time
	sent    time.Time
	// seq is the number of orders that the engine had accepted when it was last asked, -1 if not known.
	seq int64
}

// OrderCmd orders an engine to load a version.
type OrderCmd struct {
	Upstream conf.Upstream
	Model    ident.ModelName
	Version  int64
	// Seq is the number of accepted orders on which the order is conditional.
	Seq int64
}

// AskCmd asks an engine how far it is.
type AskCmd struct{ Upstream conf.Upstream }

// TickMsg lets time pass. Holds tells whether this entry may give orders.
type TickMsg struct {
	Holds bool
	// Busy tells how many requests an upstream has under way.
	Busy func(ident.UpstreamID) int
}

// StateMsg is an engine's own word.
type StateMsg struct {
	Upstream ident.UpstreamID
	Loading  bool
	Seq      int64
	Weights  map[ident.ModelName]int64
}

// RefusedMsg is an order that an engine refused.
type RefusedMsg struct{ Upstream ident.UpstreamID }

// Model decides for the entry that holds the duty. Its methods aren't safe for concurrent use.
type Model struct {
	fleet  *fleet.Model
	wanted map[ident.ModelName]int64
	// since holds when the wanted versions were named.
	since  map[ident.ModelName]time.Time
	steps  map[ident.UpstreamID]*step
	paused map[ident.UpstreamID]time.Time
}

// NewModel gives orders to the engines of a fleet.
//
//	m := swap.NewModel(upstreams)
//	m.Want(now, "m0", 2)
func NewModel(upstreams *fleet.Model) *Model {
	return &Model{fleet: upstreams, wanted: map[ident.ModelName]int64{}, since: map[ident.ModelName]time.Time{}, steps: map[ident.UpstreamID]*step{}, paused: map[ident.UpstreamID]time.Time{}}
}

// Want names the newest version of a model.
func (m *Model) Want(now time.Time, model ident.ModelName, version int64) {
	if version > m.wanted[model] {
		m.wanted[model], m.since[model] = version, now
	}
}

// Behind tells whether an engine still has older weights.
func (m *Model) Behind() bool {
	for _, u := range m.fleet.All() {
		if _, _, behind := m.behind(u); behind {
			return true
		}
	}
	return false
}

func (m *Model) behind(u conf.Upstream) (model ident.ModelName, version int64, behind bool) {
	for name, have := range u.Weights {
		if w := m.wanted[name]; w > have && !u.Draining {
			return name, w, true
		}
	}
	return "", 0, false
}

// Update takes in one message.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case TickMsg:
		if !msg.Holds {
			clear(m.steps)
			return nil
		}
		return m.tick(now, msg.Busy)
	case StateMsg:
		m.state(now, msg)
	case RefusedMsg:
		delete(m.steps, msg.Upstream)
		m.paused[msg.Upstream] = now.Add(pauseTime)
	}
	return nil
}

func (m *Model) state(now time.Time, msg StateMsg) {
	s, ok := m.steps[msg.Upstream]
	if !ok {
		return
	}
	if msg.Weights[s.model] >= s.version {
		delete(m.steps, msg.Upstream)
		return
	}
	if s.phase == asking || s.phase == ordered && !msg.Loading && now.Sub(s.sent) > retryTime {
		s.phase, s.seq = asking, msg.Seq
	}
}

func (m *Model) tick(now time.Time, busy func(ident.UpstreamID) int) (cmds []ident.Cmd) {
	all := m.fleet.All()
	slices.SortFunc(all, func(a, b conf.Upstream) int {
		return cmp.Or(cmp.Compare(busy(a.ID), busy(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	engines, loading, out := 0, 0, 0
	for _, u := range all {
		if len(u.Weights) == 0 {
			continue
		}
		engines++
		s := m.steps[u.ID]
		if s == nil {
			continue
		}
		model, version, behind := m.behind(u)
		switch {
		case !behind || model != s.model:
			delete(m.steps, u.ID)
			continue
		case s.phase != ordered:
			s.version = version
		}
		if now.Sub(s.since) > mostLoad {
			delete(m.steps, u.ID)
			m.paused[u.ID] = now.Add(pauseTime)
			continue
		}
		out++
		if s.phase != draining {
			loading++
		}
	}
	for id := range m.steps {
		if _, known := m.fleet.Get(id); !known {
			delete(m.steps, id)
		}
	}
	mostLoads := max(leastLoads, int(loadShare*float64(engines)))
	mostOut := max(mostLoads, int(outShare*float64(engines)))
	for _, u := range all {
		s := m.steps[u.ID]
		if s == nil {
			model, version, behind := m.behind(u)
			if !behind || out >= mostOut || now.Before(m.paused[u.ID]) {
				continue
			}
			s = &step{model: model, version: version, since: now, seq: -1}
			m.steps[u.ID] = s
			out++
		}
		switch s.phase {
		case draining:
			if loading < mostLoads && (busy(u.ID) == 0 || now.Sub(s.since) >= drainTime || m.hurry(now, s.model)) {
				s.phase = asking
				loading++
				cmds = append(cmds, m.ask(now, s, u)...)
			}
		case asking:
			if s.seq < 0 {
				cmds = append(cmds, m.ask(now, s, u)...)
				continue
			}
			s.phase, s.sent = ordered, now
			cmds = append(cmds, OrderCmd{Upstream: u, Model: s.model, Version: s.version, Seq: s.seq})
			s.seq = -1
		case ordered:
			cmds = append(cmds, m.ask(now, s, u)...)
		}
	}
	return cmds
}

// hurry tells whether a version was named long ago.
func (m *Model) hurry(now time.Time, model ident.ModelName) bool {
	return now.Sub(m.since[model]) > hurryTime
}

func (m *Model) ask(now time.Time, s *step, u conf.Upstream) []ident.Cmd {
	if now.Sub(s.asked) < askInterval {
		return nil
	}
	s.asked = now
	return []ident.Cmd{AskCmd{u}}
}

// Underway lists the engines that get no new work since they are about to load.
func (m *Model) Underway() (ids []ident.UpstreamID) {
	for id := range m.steps {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
