// Command versionmove moves a model's traffic step by step to a new weight version, and takes the version back if its
// requests fail. The worker is coordinated only by the order of records in a log.
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
	tickInterval = 100 * time.Millisecond
	// attemptsPerTick is how many attempts end on each version in a tick.
	attemptsPerTick = 5
)

// simulation is one worker and one engine, which loads weights immediately.
type simulation struct {
	now    time.Time
	model  *roll.Model
	log    []ledger.Entry
	loaded []sched.Loaded
	// fails is whether every attempt on the new version fails.
	fails bool
}

func main() {
	for _, fails := range []bool{false, true} {
		fmt.Printf("new version fails: %t\n", fails)
		newSimulation(fails).run(time.Minute)
	}
}

func newSimulation(fails bool) *simulation {
	s := &simulation{now: time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC), fails: fails, loaded: []sched.Loaded{{Model: "m", Version: "v1"}}}
	s.model = roll.NewModel("worker", "boot", roll.WithMinDwell(time.Second))
	rules := "serve model m version v1 # example\n" +
		"route model m class interactive # example\n" +
		"move model m from v1 to v2 by 2026-12-05T09:00:30Z share 2% # example\n"
	s.update(sched.RulesMsg{Version: 1, Text: rules})
	s.update(roll.MembersMsg{Members: []roster.Member{{Entry: "worker", Incarnation: "boot"}}})
	return s
}

// run advances the time in ticks. In each, the worker receives a load report, the new records of the log and the ends of
// attempts.
func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(tickInterval) {
		s.update(sched.UpstreamsMsg{Upstreams: []sched.Upstream{{ID: "engine", Role: sched.RoleEngine, Address: "engine:1"}}})
		s.update(sched.LoadMsg{Upstream: "engine", Load: sched.Load{Loaded: s.loaded}})
		s.update(ledger.BatchMsg{
			Stream: ledger.StreamVerdict, Entries: s.log[s.model.Next():], Next: int64(len(s.log)), ReadStart: s.now,
		})
		for range attemptsPerTick {
			s.attempt("v1", false)
			s.attempt("v2", s.fails)
		}
		s.update(sched.TickMsg{})
	}
}

func (s *simulation) attempt(v ident.Version, failed bool) {
	s.update(roll.AttemptMsg{
		Org: "org", Model: "m", Class: ident.Interactive, Version: v, Failed: failed,
		First: 100 * time.Millisecond, Between: 10 * time.Millisecond,
	})
}

// update passes a message to the model and executes the resulting commands.
func (s *simulation) update(msg ident.Msg) {
	for _, cmd := range s.model.Update(s.now, msg) {
		switch cmd := cmd.(type) {
		case roll.AppendCmd:
			s.log = append(s.log, ledger.Entry{Offset: int64(len(s.log)), Record: cmd.Record})
		case roll.OrderCmd:
			s.execute(cmd)
		case roll.ChangedCmd:
			fmt.Printf("step %d: %s, %.0f %% of new requests\n", cmd.Number, cmd.Phase, 100*cmd.Share)
		}
	}
}

// execute loads or unloads weights, and reports to the model that the engine answered.
func (s *simulation) execute(cmd roll.OrderCmd) {
	weights := sched.Loaded{Model: cmd.Task.Model, Version: cmd.Task.Version}
	s.loaded = slices.DeleteFunc(slices.Clone(s.loaded), func(l sched.Loaded) bool { return l == weights })
	if cmd.Task.Action == roll.ActionLoad {
		s.loaded = append(s.loaded, weights)
	}
	s.update(roll.OrderedMsg{Fence: cmd.Fence, Answered: true})
}
