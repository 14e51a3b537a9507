package daemon

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/mesh"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// TestUnreadableLoadIsLogged applies an answer with a load of which one field can't be read. The line must name the field.
func TestUnreadableLoadIsLogged(t *testing.T) {
	var out bytes.Buffer
	d := NewController(Settings{}, mesh.Peer{ID: "entry-0"}, slog.New(slog.NewJSONHandler(&out, nil)), 1)
	d.ObserveReply(relay.Exchange{Upstream: "e1"}, port.Reply{Signed: true, HasLoad: true, Running: 3, LoadFault: errors.New("field 2 (waiting)")})
	if text := out.String(); !strings.Contains(text, "upstream_statement_unreadable") || !strings.Contains(text, "field 2 (waiting)") {
		t.Errorf("logged %q", text)
	}
}

// TestSlowdownsOfAnswersAreUsed applies answers with and without a slowdown. What may be the answer of another upstream or of an earlier
// incarnation must not change this one's pace, and a field that can't be read must not end what was stated before.
func TestSlowdownsOfAnswersAreUsed(t *testing.T) {
	stated := port.Reply{Signed: true, HasLoad: true, HasSlowdown: true, Slowdown: 2.5}
	for name, c := range map[string]struct {
		born    int64
		replies []port.Reply
		want    bool
	}{
		"stated":                {1, []port.Reply{stated}, true},
		"stated by a rejection": {1, []port.Reply{{NotRun: true, HasLoad: true, HasSlowdown: true, Slowdown: 2.5}}, true},
		"not signed":            {1, []port.Reply{{HasLoad: true, HasSlowdown: true, Slowdown: 2.5}}, false},
		"of another upstream":   {1, []port.Reply{{Signed: true, Upstream: "e2", HasSlowdown: true, Slowdown: 2.5}}, false},
		"earlier incarnation":   {2, []port.Reply{stated}, false},
		"three fields":          {1, []port.Reply{{Signed: true, HasLoad: true}}, false},
		"unreadable later":      {1, []port.Reply{stated, {Signed: true, HasLoad: true, LoadFault: errors.New("field 4")}}, true},
		"no header later":       {1, []port.Reply{stated, {Signed: true}}, true},
		"three fields later":    {1, []port.Reply{stated, {Signed: true, HasLoad: true}}, false},
	} {
		d := NewController(Settings{}, mesh.Peer{ID: "entry-0"}, slog.New(slog.DiscardHandler), 1)
		d.fleet.Update(clock.Now(), fleet.ListedMsg{Upstream: conf.Upstream{ID: "e1", Service: "llm", Born: c.born}})
		for _, reply := range c.replies {
			d.ObserveReply(relay.Exchange{Upstream: "e1", Born: 1}, reply)
		}
		if got := d.paceSummary().Stating == 1; got != c.want {
			t.Errorf("%s: stated %t, want %t", name, got, c.want)
		}
	}
}
