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
		if diff := cmp.Diff(s.want, m.Limit("a")); diff != "" {
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
