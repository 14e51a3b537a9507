// Command versionmove moves a model's traffic to a new weight version, and takes a bad one back, by the order of a log alone.
package main

import (
	"fmt"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/roll"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
)

const (
	tick = 100 * time.Millisecond
	// attempts is how many requests end in a tick on each version.
	attempts = 5
)

// mover is one worker before one engine, which loads weights at once.
type mover struct {
	now    time.Time
	model  *roll.Model
	log    []ledger.Entry
	loaded []sched.Loaded
	// bad makes every attempt on the new version fail.
	bad bool
}

func main() {
	for _, bad := range []bool{false, true} {
		fmt.Printf("new version fails: %t\n", bad)
		newMover(bad).run(time.Minute)
	}
}

func newMover(bad bool) *mover {
	m := &mover{now: time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC), bad: bad, loaded: []sched.Loaded{{Model: "m", Version: "v1"}}}
	m.model = roll.NewModel("worker", "boot", roll.WithMinDwell(time.Second))
	rules := "serve model m version v1 # example\n" +
		"route model m class interactive # example\n" +
		"move model m from v1 to v2 by 2026-12-05T09:00:30Z share 2% # example\n"
	m.take(sched.RulesMsg{Version: 1, Text: rules})
	m.take(roll.MembersMsg{Members: []roster.Member{{Entry: "worker", Incarnation: "boot"}}})
	return m
}

// run lets time pass: load reports, the log's records and the ends of attempts come each tick.
func (m *mover) run(lasts time.Duration) {
	for end := m.now.Add(lasts); m.now.Before(end); m.now = m.now.Add(tick) {
		m.take(sched.UpstreamsMsg{Upstreams: []sched.Upstream{{ID: "engine", Role: sched.RoleEngine, Address: "engine:1"}}})
		m.take(sched.LoadMsg{Upstream: "engine", Load: sched.Load{Loaded: m.loaded}})
		m.take(ledger.BatchMsg{
			Stream: ledger.StreamVerdict, Entries: m.log[m.model.Next():], Next: int64(len(m.log)), ReadStart: m.now,
		})
		for range attempts {
			m.attempt("v1", false)
			m.attempt("v2", m.bad)
		}
		m.take(sched.TickMsg{})
	}
}

func (m *mover) attempt(v ident.Version, failed bool) {
	m.take(roll.AttemptMsg{
		Org: "org", Model: "m", Class: ident.Interactive, Version: v, Failed: failed,
		First: 100 * time.Millisecond, Between: 10 * time.Millisecond,
	})
}

// take performs the commands that follow from a message.
func (m *mover) take(msg ident.Msg) {
	for _, cmd := range m.model.Update(m.now, msg) {
		switch cmd := cmd.(type) {
		case roll.AppendCmd:
			m.log = append(m.log, ledger.Entry{Offset: int64(len(m.log)), Record: cmd.Record})
		case roll.OrderCmd:
			m.order(cmd)
		case roll.ChangedCmd:
			fmt.Printf("step %d: %s, %.0f %% of new requests\n", cmd.Number, cmd.Phase, 100*cmd.Share)
		}
	}
}

// order loads or unloads weights.
func (m *mover) order(cmd roll.OrderCmd) {
	weights := sched.Loaded{Model: cmd.Task.Model, Version: cmd.Task.Version}
	m.loaded = slices.DeleteFunc(slices.Clone(m.loaded), func(have sched.Loaded) bool { return have == weights })
	if cmd.Task.Action == roll.ActionLoad {
		m.loaded = append(m.loaded, weights)
	}
	m.take(roll.OrderedMsg{Fence: cmd.Fence, Answered: true})
}
