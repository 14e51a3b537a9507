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

// takeBackRecorder records the moves of the take-backs that it receives.
type takeBackRecorder struct {
	peer.Backend
	moves []string
}

func (r *takeBackRecorder) RecordTakeBack(_ context.Context, body roll.TakeBackBody) {
	r.moves = append(r.moves, string(body.Move))
}

// TestTakeBackNotificationUsesMutualTLS notifies a peer that accepts only mutual TLS of a version taken back.
func TestTakeBackNotificationUsesMutualTLS(t *testing.T) {
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
	recorder := &takeBackRecorder{}
	other := httptest.NewUnstartedServer(peer.NewHandler(recorder))
	other.TLS = keys.ServerConfig()
	other.StartTLS()
	defer other.Close()
	d := NewDaemon(config.Settings{Entry: "entry-0", Zone: "z", Policy: "affinity", JournalRate: 1}, config.Tokens{}, WithKeys(keys))
	address := strings.TrimPrefix(other.URL, "https://")
	if err := d.takeBackNotifier.notify(t.Context(), address, roll.TakeBackBody{Move: "move-1"}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"move-1"}, recorder.moves); diff != "" {
		t.Errorf("moves of the received take-backs (-want +got):\n%s", diff)
	}
}
