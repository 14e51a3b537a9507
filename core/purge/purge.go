// Package purge decides when stores free the context of outdated weights.
//
// A part may be freed only once nothing reads it. Only an engine that still has the old weights transfers old
// parts, and each transfer is bounded in time. So parts are freed once every engine has had newer weights for
// longer than that bound.
package purge

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
)

// FetchTimeout bounds a transfer of parts, measured from the decision to fetch.
const FetchTimeout = 2200 * time.Millisecond

const (
	// settleDelay is how long all engines must have had newer weights: the bound of a transfer plus the lag of reports.
	settleDelay = FetchTimeout + 500*time.Millisecond
	// maxTickGap is the longest time between two ticks in which the list of engines counts as known throughout.
	maxTickGap = 500 * time.Millisecond
	// retryInterval is the delay before a purge that has not succeeded is retried.
	retryInterval = 2 * time.Second
)

// TickMsg triggers the periodic decisions.
type TickMsg struct {
	// Holds reports whether this entry may free parts.
	Holds bool
	// Stores are the stores to purge.
	Stores []parts.Holder
}

// DoneMsg reports that a purge succeeded.
type DoneMsg struct{ Cmd FreeCmd }

// FreeCmd requests that a store free the parts of a model whose weights are older than version Below.
type FreeCmd struct {
	Store parts.Holder
	Model ident.ModelName
	Below int64
}

// Model decides on purges for the entry that holds the duty. Its methods aren't safe for concurrent use.
type Model struct {
	fleet          *fleet.Model
	targetVersions map[ident.ModelName]int64
	// settledSince holds since when all engines are known to have had the target version of a model.
	settledSince map[ident.ModelName]time.Time
	tickedAt     time.Time
	done         map[FreeCmd]bool
	sentAt       map[FreeCmd]time.Time
}

// NewModel returns a model that follows the engines of a fleet.
//
//	m := purge.NewModel(upstreams)
//	m.SetTargetVersion("m0", 2)
func NewModel(upstreams *fleet.Model) *Model {
	return &Model{
		fleet: upstreams, targetVersions: map[ident.ModelName]int64{}, settledSince: map[ident.ModelName]time.Time{},
		done: map[FreeCmd]bool{}, sentAt: map[FreeCmd]time.Time{},
	}
}

// SetTargetVersion sets the target version of a model; a version that is not newer is ignored.
func (m *Model) SetTargetVersion(model ident.ModelName, version int64) {
	if version > m.targetVersions[model] {
		m.targetVersions[model] = version
		delete(m.settledSince, model)
	}
}

// Update applies one message and returns the commands that follow.
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
	if now.Sub(m.tickedAt) > maxTickGap {
		clear(m.settledSince)
	}
	m.tickedAt = now
	if len(m.targetVersions) == 0 {
		return nil
	}
	behind := map[ident.ModelName]bool{}
	m.fleet.Scan(func(u *conf.Upstream) {
		for model, have := range u.Weights {
			behind[model] = behind[model] || have < m.targetVersions[model]
		}
	})
	for model, version := range m.targetVersions {
		if behind[model] {
			delete(m.settledSince, model)
			continue
		}
		if m.settledSince[model].IsZero() {
			m.settledSince[model] = now
		}
		if !msg.Holds || version < 2 || now.Sub(m.settledSince[model]) < settleDelay {
			continue
		}
		for _, store := range msg.Stores {
			cmd := FreeCmd{store, model, version}
			if !m.done[cmd] && now.Sub(m.sentAt[cmd]) >= retryInterval {
				m.sentAt[cmd] = now
				cmds = append(cmds, cmd)
			}
		}
	}
	return cmds
}
