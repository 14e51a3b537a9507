// Package purge decides when stores free the context of outdated weights, and that in cache scopes that are no longer used.
//
// A part may be freed only once nothing reads it. Only an engine that still has the old weights transfers old
// parts, and each transfer is bounded in time. So parts are freed once every engine has had newer weights for
// longer than that bound, and those of an unused scope once every entry has had the newer configuration for as long.
package purge

import (
	"maps"
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
	// Behind reports whether an entry may use scopes of another configuration than this one's.
	Behind func() bool
}

// DoneMsg reports that a purge succeeded. Cmd is a [FreeCmd] or a [FreeScopesCmd].
type DoneMsg struct{ Cmd ident.Cmd }

// FreeCmd requests that a store free the parts of a model whose weights are older than version Below.
type FreeCmd struct {
	Store parts.Holder
	Model ident.ModelName
	Below int64
}

// FreeScopesCmd requests that a store free the parts in all cache scopes that are not used beside the shared scope Scope.
type FreeScopesCmd struct {
	Store parts.Holder
	Scope string
}

// Model decides on purges for the entry that holds the duty. Its methods aren't safe for concurrent use.
type Model struct {
	fleet          *fleet.Model
	targetVersions map[ident.ModelName]int64
	// settledSince holds since when all engines are known to have had the target version of a model.
	settledSince map[ident.ModelName]time.Time
	// scope is the shared cache scope of the configuration, nil before the first one; scopeChanged is set once another one was seen.
	scope        *string
	scopeChanged bool
	// scopeSettledSince is since when no entry is known to have a configuration with another scope; zero while one may.
	scopeSettledSince time.Time
	tickedAt          time.Time
	done              map[ident.Cmd]bool
	sentAt            map[ident.Cmd]time.Time
}

// NewModel returns a model that follows the engines of a fleet.
//
//	m := purge.NewModel(upstreams)
//	m.SetTargetVersion("m0", 2)
func NewModel(upstreams *fleet.Model) *Model {
	return &Model{
		fleet: upstreams, targetVersions: map[ident.ModelName]int64{}, settledSince: map[ident.ModelName]time.Time{},
		done: map[ident.Cmd]bool{}, sentAt: map[ident.Cmd]time.Time{},
	}
}

// SetTargetVersion sets the target version of a model; a version that is not newer is ignored.
func (m *Model) SetTargetVersion(model ident.ModelName, version int64) {
	if version > m.targetVersions[model] {
		m.targetVersions[model] = version
		delete(m.settledSince, model)
	}
}

// SetScope sets the shared cache scope of the configuration in force. Scopes of before the first call are not known, and keep their parts
// until the weights change.
func (m *Model) SetScope(scope string) {
	if m.scope != nil && *m.scope == scope {
		return
	}
	m.scopeChanged = m.scope != nil
	m.scope, m.scopeSettledSince = &scope, time.Time{}
	maps.DeleteFunc(m.done, func(cmd ident.Cmd, _ bool) bool {
		_, scopes := cmd.(FreeScopesCmd)
		return scopes
	})
}

// Update applies one message and returns the commands that follow.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case DoneMsg:
		if free, scopes := msg.Cmd.(FreeScopesCmd); scopes && (m.scope == nil || free.Scope != *m.scope) {
			return nil
		}
		m.done[msg.Cmd] = true
	case TickMsg:
		return m.tick(now, msg)
	}
	return nil
}

func (m *Model) tick(now time.Time, msg TickMsg) (cmds []ident.Cmd) {
	if now.Sub(m.tickedAt) > maxTickGap {
		clear(m.settledSince)
		m.scopeSettledSince = time.Time{}
	}
	m.tickedAt = now
	cmds = m.purgeScopes(now, msg)
	if len(m.targetVersions) == 0 {
		return cmds
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
			cmds = append(cmds, m.send(now, FreeCmd{store, model, version})...)
		}
	}
	return cmds
}

// purgeScopes returns the purges of unused scopes that are due.
func (m *Model) purgeScopes(now time.Time, msg TickMsg) (cmds []ident.Cmd) {
	switch {
	case !m.scopeChanged:
		return nil
	case msg.Behind():
		m.scopeSettledSince = time.Time{}
		return nil
	case m.scopeSettledSince.IsZero():
		m.scopeSettledSince = now
	}
	if !msg.Holds || now.Sub(m.scopeSettledSince) < settleDelay {
		return nil
	}
	for _, store := range msg.Stores {
		cmds = append(cmds, m.send(now, FreeScopesCmd{store, *m.scope})...)
	}
	return cmds
}

// send returns a purge unless it is done or was sent lately.
func (m *Model) send(now time.Time, cmd ident.Cmd) []ident.Cmd {
	if m.done[cmd] || now.Sub(m.sentAt[cmd]) < retryInterval {
		return nil
	}
	m.sentAt[cmd] = now
	return []ident.Cmd{cmd}
}
