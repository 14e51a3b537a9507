package leave_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/leave"
)

var start = time.Unix(1000, 0)

// TestStoppingEntryTakesWhatEndsInTime asks for requests at several times of a grace period of 8 s.
func TestStoppingEntryTakesWhatEndsInTime(t *testing.T) {
	t.Parallel()
	m := leave.NewModel()
	m.Update(start, leave.AnsweredMsg{Route: "long", Took: 4 * time.Second})
	m.Update(start, leave.AnsweredMsg{Route: "long", Took: time.Second})
	m.Update(start, leave.AnsweredMsg{Route: "short", Took: 200 * time.Millisecond})
	ask := func(after time.Duration) (taken string) {
		now := start.Add(after)
		for _, route := range []string{"long", "short", "new"} {
			for _, deadline := range []time.Duration{500 * time.Millisecond, 20 * time.Second} {
				for _, repeatable := range []bool{true, false} {
					if m.Takes(now, leave.Request{Route: route, Deadline: now.Add(deadline), Repeatable: repeatable}) {
						taken += fmt.Sprintf("%s/%v/%v ", route, deadline, repeatable)
					}
				}
			}
		}
		return taken
	}
	const all = "long/500ms/true long/500ms/false long/20s/true long/20s/false short/500ms/true short/500ms/false short/20s/true short/20s/false " +
		"new/500ms/true new/500ms/false new/20s/true new/20s/false "
	before := ask(0)
	m.Update(start, leave.StopMsg{EndsAt: start.Add(8 * time.Second)})
	want := []string{
		all,
		"long/500ms/true long/500ms/false long/20s/true long/20s/false short/500ms/true short/500ms/false short/20s/true short/20s/false new/500ms/true new/500ms/false ",
		"long/500ms/true long/500ms/false long/20s/true short/500ms/true short/500ms/false short/20s/true short/20s/false new/500ms/true new/500ms/false ",
		"long/500ms/true long/500ms/false short/500ms/true short/500ms/false short/20s/true short/20s/false new/500ms/true new/500ms/false ",
		"",
	}
	got := []string{before, ask(0), ask(4 * time.Second), ask(7 * time.Second), ask(7900 * time.Millisecond)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests taken before the stop, at 0 s, 4 s, 7 s and 7.9 s (-want +got):\n%s", diff)
	}
}

// TestLongAnswerIsForgotten asks long after a single long answer.
func TestLongAnswerIsForgotten(t *testing.T) {
	t.Parallel()
	m := leave.NewModel()
	m.Update(start, leave.AnsweredMsg{Route: "r", Took: 8 * time.Second})
	now := start.Add(time.Minute)
	m.Update(now, leave.AnsweredMsg{Route: "r", Took: 300 * time.Millisecond})
	m.Update(now, leave.StopMsg{EndsAt: now.Add(2 * time.Second)})
	if !m.Takes(now, leave.Request{Route: "r", Deadline: now.Add(time.Minute)}) {
		t.Error("a request of a route with short answers is refused")
	}
}
