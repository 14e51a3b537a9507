// Package chart interprets state charts that YAML files hold.
//
// A chart lists the states and, for each, its transitions in order. Code asks
// the chart for the transition of an event and performs the actions it names;
// it holds no copy of the chart.
//
//	chart: door
//	initial: shut
//	states:
//	  - state: shut
//	    transitions:
//	      - {event: push, guard: unlocked, to: open, actions: [ring]}
//	  - state: open
package chart

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// State names a state of a chart.
type State string

// Event names what may cause a transition.
type Event string

// Guard names a condition that the code evaluates; the empty guard always holds.
type Guard string

// Action names what the code does when a transition is taken.
type Action string

// ErrInvalid marks every fault of a chart's file.
var ErrInvalid = errors.New("invalid state chart")

// Transition is one arrow of a chart.
type Transition struct {
	From    State    `yaml:"-"`
	Event   Event    `yaml:"event"`
	Guard   Guard    `yaml:"guard"`
	To      State    `yaml:"to"`
	Actions []Action `yaml:"actions"`
}

// String writes the transition on one line.
func (t Transition) String() string {
	text := fmt.Sprintf("%s --%s", t.From, t.Event)
	if t.Guard != "" {
		text += fmt.Sprintf("[%s]", t.Guard)
	}
	text += fmt.Sprintf("--> %s", t.To)
	for _, a := range t.Actions {
		text += " " + string(a)
	}
	return text
}

// file is the YAML form of a chart.
type file struct {
	Chart   string      `yaml:"chart"`
	Initial State       `yaml:"initial"`
	States  []fileState `yaml:"states"`
}

type fileState struct {
	State       State        `yaml:"state"`
	Transitions []Transition `yaml:"transitions"`
}

// Chart is a state chart. It is immutable.
type Chart struct {
	name    string
	initial State
	// states keeps the order of the file; each is reachable from initial.
	states []State
	// from holds the transitions of each state in the order of the file.
	from map[State][]Transition
}

// Parse reads a chart and reports every fault at once; an unknown key is one.
func Parse(raw []byte) (c *Chart, err error) {
	defer func() { err = errors.Wrap(err, "state chart") }()
	var f file
	if err := yaml.UnmarshalWithOptions(raw, &f, yaml.Strict()); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	c = &Chart{name: f.Chart, initial: f.Initial, from: map[State][]Transition{}}
	var faults []error
	for _, s := range f.States {
		if slices.Contains(c.states, s.State) {
			faults = append(faults, fault("state %q stands twice", s.State))
		}
		c.add(s)
	}
	return c, errors.Join(append(faults, c.check()...)...)
}

// Must parses an embedded chart, whose faults are faults of the program.
func Must(raw []byte) *Chart {
	c, err := Parse(raw)
	if err != nil {
		panic(err)
	}
	return c
}

func fault(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}

func (c *Chart) add(s fileState) {
	c.states = append(c.states, s.State)
	for _, t := range s.Transitions {
		t.From = s.State
		c.from[s.State] = append(c.from[s.State], t)
	}
}

func (c *Chart) check() (faults []error) {
	if c.name == "" {
		faults = append(faults, fault("chart: expected a name"))
	}
	for _, s := range append([]State{c.initial}, c.targets()...) {
		if !slices.Contains(c.states, s) {
			faults = append(faults, fault("unknown state %q", s))
		}
	}
	reached := c.reachable()
	for _, s := range c.states {
		if !slices.Contains(reached, s) {
			faults = append(faults, fault("state %q can't be reached", s))
		}
		faults = append(faults, c.shadowed(s)...)
	}
	return faults
}

func (c *Chart) targets() (targets []State) {
	for _, t := range c.Transitions() {
		targets = append(targets, t.To)
	}
	return targets
}

func (c *Chart) reachable() (reached []State) {
	reached = []State{c.initial}
	for i := 0; i < len(reached); i++ {
		for _, t := range c.from[reached[i]] {
			if !slices.Contains(reached, t.To) {
				reached = append(reached, t.To)
			}
		}
	}
	return reached
}

// shadowed reports transitions that an earlier one of the same event always hides.
func (c *Chart) shadowed(s State) (faults []error) {
	type cause struct {
		event Event
		guard Guard
	}
	taken := map[cause]bool{}
	for _, t := range c.from[s] {
		if t.Event == "" {
			faults = append(faults, fault("state %q: expected an event", s))
		}
		if taken[cause{t.Event, ""}] || taken[cause{t.Event, t.Guard}] {
			faults = append(faults, fault("%s can't be taken", t))
		}
		taken[cause{t.Event, t.Guard}] = true
	}
	return faults
}

// Name is the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial is the state that everything starts in.
func (c *Chart) Initial() State { return c.initial }

// States lists the states in the order of the file.
func (c *Chart) States() []State { return slices.Clone(c.states) }

// Transitions lists the transitions in the order of the file.
func (c *Chart) Transitions() (all []Transition) {
	for _, s := range c.states {
		all = append(all, c.from[s]...)
	}
	return all
}

// Next is the first transition of an event whose guard holds; without one the event changes nothing.
//
//	t, taken := c.Next(state, "start", func(g chart.Guard) bool { return held[g] })
func (c *Chart) Next(from State, event Event, holds func(Guard) bool) (t Transition, taken bool) {
	for _, t := range c.from[from] {
		if t.Event == event && (t.Guard == "" || holds(t.Guard)) {
			return t, true
		}
	}
	return Transition{From: from, Event: event, To: from}, false
}

// Dot draws the chart in the DOT language.
func (c *Chart) Dot() string {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %s {\n", c.name)
	for _, s := range c.states {
		fmt.Fprintf(&b, "  %q\n", s)
	}
	for _, t := range c.Transitions() {
		label := string(t.Event)
		if t.Guard != "" {
			label += " [" + string(t.Guard) + "]"
		}
		fmt.Fprintf(&b, "  %q -> %q [label=%q]\n", t.From, t.To, label)
	}
	b.WriteString("}\n")
	return b.String()
}
