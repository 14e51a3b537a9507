package poison_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// store keeps what entries ask to remember.
type store map[poison.Digest]poison.SuspectBody

// apply performs the events of an entry and returns how many asked for something.
func (s store) apply(m *poison.Model) (calls int) {
	for _, event := range m.TakeEvents() {
		switch e := event.(type) {
		case poison.RememberCmd:
			s[e.Body.Digest] = e.Body
			calls++
		case poison.ForgetCmd:
			delete(s, e.Digest)
			calls++
		}
	}
	return calls
}

// recall starts an entry with what is remembered.
func (s store) recall(t *testing.T, now time.Time) *poison.Model {
	m := newModel(9)
	for _, body := range s {
		raw, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		if counts, err := m.Recall(now, raw); err != nil || !counts {
			t.Fatalf("recalled: counts %v, error %v", counts, err)
		}
	}
	m.TakeEvents()
	return m
}

func lossOf(upstream int) poison.Loss {
	return poison.Loss{Upstream: ident.UpstreamID(fmt.Sprint("u", upstream)), Boot: "1"}
}

// TestNewEntryContinuesTheCount loses two upstreams with a request, replaces all entries, and loses one more on trial.
func TestNewEntryContinuesTheCount(t *testing.T) {
	s, m := store{}, newModel(0)
	m.RecordLoss(start, start, "d", lossOf(0), false)
	first := s.apply(m)
	m.RecordLoss(start, start, "d", lossOf(1), false)
	second := s.apply(m)
	m.Unreachable(start, "u0")
	m.Unreachable(start, "u1")
	confirmed := s.apply(m)
	if diff := cmp.Diff([]int{0, 1, 1}, []int{first, second, confirmed}); diff != "" {
		t.Errorf("calls after the first loss, the second and their confirmation (-want +got):\n%s", diff)
	}
	later := start.Add(time.Minute)
	fresh := s.recall(t, later)
	suspect := fresh.Standing(later, "d")
	fresh.RecordLoss(later, later, "d", lossOf(2), true)
	fresh.Unreachable(later, "u2")
	s.apply(fresh)
	got := []any{suspect, fresh.Standing(later, "d"), len(s)}
	if diff := cmp.Diff([]any{poison.Suspect, poison.Quarantined, 0}, got); diff != "" {
		t.Errorf("standing, standing after the trial, suspects remembered (-want +got):\n%s", diff)
	}
}

// TestAnsweredRequestIsForgotten has a recalled request answered, and another one outlast the retention.
func TestAnsweredRequestIsForgotten(t *testing.T) {
	s, m := store{}, newModel(0)
	for upstream := range 2 {
		m.RecordLoss(start, start, "d", lossOf(upstream), false)
		m.Unreachable(start, lossOf(upstream).Upstream)
	}
	s.apply(m)
	raw, err := json.Marshal(s["d"])
	if err != nil {
		t.Fatal(err)
	}
	late, err := newModel(1).Recall(start.Add(2*time.Hour), raw)
	if err != nil {
		t.Fatal(err)
	}
	fresh := s.recall(t, start)
	fresh.ObserveAnswer(start, "d")
	s.apply(fresh)
	got := []any{late, fresh.Standing(start, "d"), len(s)}
	if diff := cmp.Diff([]any{false, poison.Clear, 0}, got); diff != "" {
		t.Errorf("counts after the retention, standing, suspects remembered (-want +got):\n%s", diff)
	}
}

// TestFewSuspectsAreRemembered loses two upstreams with a thousand requests in flight.
func TestFewSuspectsAreRemembered(t *testing.T) {
	s, m := store{}, newModel(0)
	calls := 0
	for i := range 1000 {
		for upstream := range 2 {
			m.RecordLoss(start, start, poison.Digest(fmt.Sprint("d", i)), lossOf(upstream), false)
		}
		calls += s.apply(m)
	}
	for upstream := range 2 {
		m.Unreachable(start, lossOf(upstream).Upstream)
		calls += s.apply(m)
	}
	if len(s) == 0 || calls > 250 {
		t.Errorf("%d calls to remember %d requests", calls, len(s))
	}
}

// TestUnreadableMemoryIsRejected recalls records that say nothing usable.
func TestUnreadableMemoryIsRejected(t *testing.T) {
	for _, raw := range []string{"", "{", `{"losses":1}`} {
		if _, err := newModel(0).Recall(start, []byte(raw)); err == nil {
			t.Errorf("%q was accepted", raw)
		}
	}
}

// TestOrderOfWhatIsRememberedIsFixed has many requests change at once: equal models must ask for the same ones in the same order.
func TestOrderOfWhatIsRememberedIsFixed(t *testing.T) {
	run := func() []ident.Cmd {
		m := newModel(0)
		for i := range 100 {
			for upstream := range 2 {
				m.RecordLoss(start, start, poison.Digest(fmt.Sprint("d", i)), lossOf(upstream), false)
			}
		}
		return m.TakeEvents()
	}
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Errorf("events of two equal models:\n%.600s", diff)
	}
}
