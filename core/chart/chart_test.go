package chart_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/chart"
)

const door = `
chart: door
initial: shut
states:
  - state: shut
    transitions:
      - {event: push, guard: unlocked, to: open, actions: [ring]}
      - {event: push, to: shut, actions: [rattle]}
  - state: open
    transitions:
      - {event: pull, to: shut}
`

func TestNextTakesTheFirstTransitionWhoseGuardHolds(t *testing.T) {
	c := chart.Must([]byte(door))
	var got []string
	for _, unlocked := range []bool{true, false} {
		next, _ := c.Next(c.Initial(), "push", func(g chart.Guard) bool { return g == "unlocked" && unlocked })
		got = append(got, next.String())
	}
	want := []string{"shut --push[unlocked]--> open ring", "shut --push--> shut rattle"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("transitions (-want +got):\n%s", diff)
	}
	if next, taken := c.Next("open", "push", nil); taken || next.To != "open" {
		t.Errorf("an event without a transition led to %s", next)
	}
}

func TestDotDrawsEachTransition(t *testing.T) {
	want := `digraph door {
  "shut"
  "open"
  "shut" -> "open" [label="push [unlocked]"]
  "shut" -> "shut" [label="push"]
  "open" -> "shut" [label="pull"]
}
`
	if diff := cmp.Diff(want, chart.Must([]byte(door)).Dot()); diff != "" {
		t.Errorf("drawing (-want +got):\n%s", diff)
	}
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	for name, change := range map[string][2]string{
		"unknown state":     {"to: open", "to: ajar"},
		"unreachable state": {"guard: unlocked, to: open", "guard: unlocked, to: shut"},
		"hidden transition": {"guard: unlocked, ", ""},
		"unknown key":       {"initial:", "first:"},
		"state twice":       {"state: open", "state: shut"},
		"no event":          {"event: pull, ", ""},
	} {
		_, err := chart.Parse([]byte(strings.Replace(door, change[0], change[1], 1)))
		if !errors.Is(err, chart.ErrInvalid) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
