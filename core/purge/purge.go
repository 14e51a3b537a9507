// Package purge decides when stores drop the context of outdated weights.
//
// A part may be freed only when nothing reads it any more. A transfer of an old part runs only on an engine that
// still has the old weights, and only for a bounded time; so parts go once every engine has had newer weights
// for longer than that.
package purge

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
)

// FetchTime bounds a transfer of parts, from the decision on.
const FetchTime = 2200 * time.Millisecond

const (
	// restTime is how long all engines must have had newer weights: a transfer and the lag of reports.
	restTime = FetchTime + 500*time.Millisecond
	// againTime is when a purge that did not succeed is tried again.
	againTime = 2 * time.Second
)

// TickMsg lets time pass. Holds tells whether this entry may free parts.
type TickMsg struct {
	Holds  bool
	Stores []parts.Holder
}

// DoneMsg is a purge that succeeded.
type DoneMsg struct{ Cmd FreeCmd }

// FreeCmd asks for the parts of a model below a version to be freed in a store.
type FreeCmd struct {
	Store parts.Holder
	Model ident.ModelName
	Below int64
}

// Model decides for the entry that holds the duty. Its methods aren't safe for concurrent use.
type Model struct {
	fleet  *fleet.Model
	wanted map[ident.ModelName]int64
	// settled holds since when all engines have had the wanted version of a model.
	settled map[ident.ModelName]time.Time
	done    map[FreeCmd]bool
	asked   map[FreeCmd]time.Time
}

// NewModel watches the engines of a fleet.
//
//	m := purge.NewModel(upstreams)
//	m.Want("m0", 2)
func NewModel(upstreams *fleet.Model) *Model {
	return &Model{
		fleet: upstreams, wanted: map[ident.ModelName]int64{}, settled: map[ident.ModelName]time.Time{},
		done: map[FreeCmd]bool{}, asked: map[FreeCmd]time.Time{},
	}
}

// Want names the newest version of a model.
func (m *Model) Want(model ident.ModelName, version int64) {
	if version > m.wanted[model] {
		m.wanted[model] = version
		delete(m.settled, model)
	}
}

// Update takes in one message.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case DoneMsg:
		m.done[msg.Cmd] = true
	case TickMsg:
		return m.tick(now, msg)
	}
	return nil
}

func (m *Model) tick(now time.Time, msg TickMsg) (cmds []ident.Cmd) {
	behind := map[ident.ModelName]bool{}
	m.fleet.Scan(func(u *conf.Upstream) {
		for model, have := range u.Weights {
			behind[model] = behind[model] || have < m.wanted[model]
		}
	})
	for model, version := range m.wanted {
		if behind[model] {
			delete(m.settled, model)
			continue
		}
		if m.settled[model].IsZero() {
			m.settled[model] = now
		}
		if !msg.Holds || version < 2 || now.Sub(m.settled[model]) < restTime {
			continue
		}
		for _, store := range msg.Stores {
			cmd := FreeCmd{store, model, version}
			if !m.done[cmd] && now.Sub(m.asked[cmd]) >= againTime {
				m.asked[cmd] = now
				cmds = append(cmds, cmd)
			}
		}
	}
	return cmds
}
