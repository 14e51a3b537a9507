package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/roll"
	"cicadavalve/io/config"
	"cicadavalve/io/keygen"
	"cicadavalve/io/peer"
)

// hearer keeps the moves that it was told are taken back.
type hearer struct {
	peer.Backend
	moves []string
}

func (h *hearer) RecordTakeBack(_ context.Context, body roll.TakeBackBody) {
	h.moves = append(h.moves, string(body.Move))
}

// TestTakeBackIsToldUnderKeys tells a peer that speaks mutual TLS alone of a version taken back.
func TestTakeBackIsToldUnderKeys(t *testing.T) {
	authority, err := keygen.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.Write(t.TempDir(), "entry", authority)
	if err != nil {
		t.Fatal(err)
	}
	keys, err := peer.NewKeys(files)
	if err != nil {
		t.Fatal(err)
	}
	heard := &hearer{}
	other := httptest.NewUnstartedServer(peer.NewHandler(heard))
	other.TLS = keys.ServerConfig()
	other.StartTLS()
	defer other.Close()
	d := NewDaemon(config.Settings{Entry: "entry-0", Zone: "z", Policy: "affinity", JournalRate: 1}, config.Tokens{}, WithKeys(keys))
	address := strings.TrimPrefix(other.URL, "https://")
	if err := d.takeBackNotifier.notify(t.Context(), address, roll.TakeBackBody{Move: "move-1"}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"move-1"}, heard.moves); diff != "" {
		t.Errorf("moves told of (-want +got):\n%s", diff)
	}
}
