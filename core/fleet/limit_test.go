package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
)

func named(perSecond float64) conf.NamedLimit {
	return conf.NamedLimit{Named: true, PerSecond: perSecond}
}

// TestNewestAnswerDecidesTheLimit applies answers out of order and of another incarnation.
func TestNewestAnswerDecidesTheLimit(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	m := fleet.NewModel()
	m.Update(start, listed("a", 5))
	steps := []struct {
		name string
		msg  ident.Msg
		want conf.NamedLimit
	}{
		{"named", fleet.LimitMsg{ID: "a", Born: 5, Limit: named(3), At: at(100)}, named(3)},
		{"older answer without a limit", fleet.LimitMsg{ID: "a", Born: 5, At: at(90)}, named(3)},
		{"earlier incarnation", fleet.LimitMsg{ID: "a", Born: 4, At: at(200)}, named(3)},
		{"other rate", fleet.LimitMsg{ID: "a", Born: 5, Limit: named(2), At: at(300)}, named(2)},
		{"same record", listed("a", 5), named(2)},
		{"answer without a limit", fleet.LimitMsg{ID: "a", Born: 5, At: at(400)}, conf.NamedLimit{}},
		{"named again", fleet.LimitMsg{ID: "a", Born: 5, Limit: named(1), At: at(500)}, named(1)},
		{"restart", listed("a", 6), conf.NamedLimit{}},
		{"unknown upstream", fleet.LimitMsg{ID: "b", Limit: named(1), At: at(600)}, conf.NamedLimit{}},
	}
	for _, s := range steps {
		m.Update(at(1000), s.msg)
		if diff := cmp.Diff(s.want, m.Limit(at(1000), "a")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", s.name, diff)
		}
	}
}

// TestLimitReportsAreBounded changes the rate every 10 ms for 3 s.
func TestLimitReportsAreBounded(t *testing.T) {
	m := fleet.NewModel()
	m.Update(start, listed("a", 1))
	reports := 0
	for i := range 300 {
		now := start.Add(time.Duration(i+1) * 10 * time.Millisecond)
		reports += len(m.Update(now, fleet.LimitMsg{ID: "a", Born: 1, Limit: named(float64(i%7 + 1)), At: now}))
	}
	if reports < 2 || reports > 4 {
		t.Errorf("%d reports in 3 s", reports)
	}
}

// TestLimitIsToldToOtherEntries passes a limit and its end between entries, of which one has missed the end.
func TestLimitIsToldToOtherEntries(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	newModel := func() *fleet.Model {
		m := fleet.NewModel()
		m.Update(start, listed("a", 1))
		return m
	}
	exchange := func(ms int, from, to *fleet.Model) (told int) {
		for _, msg := range from.TakeLimits(at(ms), 10) {
			to.Update(at(ms), msg)
			told++
		}
		return told
	}
	first, second := newModel(), newModel()
	first.Update(at(0), fleet.LimitMsg{ID: "a", Born: 1, Limit: named(3), At: at(1)})
	told := []int{exchange(10, first, second), exchange(20, first, second), exchange(20, second, first), exchange(1100, first, second)}
	if diff := cmp.Diff([]int{1, 0, 0, 1}, told); diff != "" {
		t.Errorf("limits told at once, again, by another entry and a second later (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(named(3), second.Limit(at(1100), "a")); diff != "" {
		t.Errorf("limit heard (-want +got):\n%s", diff)
	}
	second.Update(at(2000), fleet.LimitMsg{ID: "a", Born: 1, At: at(2000)})
	lost := 0
	for ms := 2000; ms < 9000; ms += 100 {
		lost += len(second.TakeLimits(at(ms), 10))
	}
	if diff := cmp.Diff(3, lost); diff != "" {
		t.Errorf("ends told (-want +got):\n%s", diff)
	}
	exchange(9000, first, second)
	exchange(9100, second, first)
	if diff := cmp.Diff(conf.NamedLimit{}, first.Limit(at(9100), "a")); diff != "" {
		t.Errorf("limit of the entry that had missed the end (-want +got):\n%s", diff)
	}
}

// TestHeardLimitExpires hears of a limit twice, from an entry that got one answer and tells nothing more.
func TestHeardLimitExpires(t *testing.T) {
	m := fleet.NewModel()
	m.Update(start, listed("a", 1))
	msg := fleet.LimitMsg{ID: "a", Born: 1, Limit: named(3), At: start, Heard: true}
	m.Update(start, msg)
	m.Update(start.Add(5*time.Second), msg)
	got := []conf.NamedLimit{m.Limit(start.Add(14*time.Second), "a"), m.Limit(start.Add(16*time.Second), "a")}
	if diff := cmp.Diff([]conf.NamedLimit{named(3), {}}, got); diff != "" {
		t.Errorf("limit after 14 and 16 s (-want +got):\n%s", diff)
	}
}
