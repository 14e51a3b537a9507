// Package chart interprets state charts defined in YAML files.
//
// A chart lists the states and, for each, its transitions in order. Code looks up
// the transition of an event in the chart and performs the actions that it names;
// the code does not duplicate the chart.
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

// Event names the cause of a transition.
type Event string

// Guard names a condition that the code evaluates; the empty guard always holds.
type Guard string

// Action names an action that the code performs when a transition is taken.
type Action string

// ErrInvalid marks all errors of a chart file.
var ErrInvalid = errors.New("invalid state chart")

// Transition is one transition of a chart.
type Transition struct {
	From    State    `yaml:"-"`
	Event   Event    `yaml:"event"`
	Guard   Guard    `yaml:"guard"`
	To      State    `yaml:"to"`
	Actions []Action `yaml:"actions"`
}

// String returns the transition as one line of text.
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
	// states keeps the order of the file; all are reachable from initial.
	states []State
	// transitions holds the transitions from each state in the order of the file.
	transitions map[State][]Transition
}

// Parse parses a chart and reports all errors together. An unknown key is an error.
func Parse(raw []byte) (c *Chart, err error) {
	defer func() { err = errors.Wrap(err, "state chart") }()
	var f file
	if err := yaml.UnmarshalWithOptions(raw, &f, yaml.Strict()); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	c = &Chart{name: f.Chart, initial: f.Initial, transitions: map[State][]Transition{}}
	var faults []error
	for _, s := range f.States {
		if slices.Contains(c.states, s.State) {
			faults = append(faults, invalidf("state %q is listed twice", s.State))
		}
		c.add(s)
	}
	return c, errors.Join(append(faults, c.validate()...)...)
}

// Must parses an embedded chart. It panics if the chart is invalid, since that is a fault of the program.
func Must(raw []byte) *Chart {
	c, err := Parse(raw)
	if err != nil {
		panic(err)
	}
	return c
}

func invalidf(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}

func (c *Chart) add(s fileState) {
	c.states = append(c.states, s.State)
	for _, t := range s.Transitions {
		t.From = s.State
		c.transitions[s.State] = append(c.transitions[s.State], t)
	}
}

func (c *Chart) validate() (faults []error) {
	if c.name == "" {
		faults = append(faults, invalidf("chart: expected a name"))
	}
	for _, s := range append([]State{c.initial}, c.targets()...) {
		if !slices.Contains(c.states, s) {
			faults = append(faults, invalidf("unknown state %q", s))
		}
	}
	reached := c.reachable()
	for _, s := range c.states {
		if !slices.Contains(reached, s) {
			faults = append(faults, invalidf("state %q is unreachable", s))
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
		for _, t := range c.transitions[reached[i]] {
			if !slices.Contains(reached, t.To) {
				reached = append(reached, t.To)
			}
		}
	}
	return reached
}

// shadowed reports the transitions of a state that an earlier one of the same event always precedes.
func (c *Chart) shadowed(s State) (faults []error) {
	type cause struct {
		event Event
		guard Guard
	}
	taken := map[cause]bool{}
	for _, t := range c.transitions[s] {
		if t.Event == "" {
			faults = append(faults, invalidf("state %q: expected an event", s))
		}
		if taken[cause{t.Event, ""}] || taken[cause{t.Event, t.Guard}] {
			faults = append(faults, invalidf("transition %s is shadowed by an earlier one", t))
		}
		taken[cause{t.Event, t.Guard}] = true
	}
	return faults
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// States returns the states in the order of the file.
func (c *Chart) States() []State { return slices.Clone(c.states) }

// Transitions returns the transitions in the order of the file.
func (c *Chart) Transitions() (all []Transition) {
	for _, s := range c.states {
		all = append(all, c.transitions[s]...)
	}
	return all
}

// Next returns the first transition of an event whose guard holds. If there is none, taken is false and the
// transition leads back to from.
//
//	t, taken := c.Next(state, "start", func(g chart.Guard) bool { return held[g] })
func (c *Chart) Next(from State, event Event, holds func(Guard) bool) (t Transition, taken bool) {
	for _, t := range c.transitions[from] {
		if t.Event == event && (t.Guard == "" || holds(t.Guard)) {
			return t, true
		}
	}
	return Transition{From: from, Event: event, To: from}, false
}

// Dot returns the chart as a graph in the DOT language.
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
