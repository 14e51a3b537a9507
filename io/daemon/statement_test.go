package daemon

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/mesh"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// TestUnreadableLoadIsLogged applies an answer with a load of which one field can't be read. The operator must learn which field it is.
func TestUnreadableLoadIsLogged(t *testing.T) {
	var out bytes.Buffer
	d := NewController(Settings{}, mesh.Peer{ID: "entry-0"}, slog.New(slog.NewJSONHandler(&out, nil)), 1)
	d.ObserveReply(relay.Exchange{Upstream: "e1"}, port.Reply{Signed: true, HasLoad: true, Running: 3, LoadFault: errors.New("field 2 (waiting)")})
	if text := out.String(); !strings.Contains(text, "upstream_statement_unreadable") || !strings.Contains(text, "field 2 (waiting)") {
		t.Errorf("logged %q", text)
	}
}
