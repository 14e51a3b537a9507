package poison_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// TestTrialAtADeadUpstreamShowsNothing tries a request, and then a part, at upstreams that are dead since a loss of theirs. A third loss
// elsewhere must not quarantine them, since none was on a trial that showed anything.
func TestTrialAtADeadUpstreamShowsNothing(t *testing.T) {
	now := start
	m := poison.NewModel("a", poison.WithMessages())
	part := poison.NewDigester([]byte("s")).Part("", "p")
	keys := poison.Keys{Request: "d", Parts: []poison.Digest{part}}
	lose := func(u ident.UpstreamID, trial string) {
		m.RecordBreak(now, poison.Break{Keys: keys, Loss: poison.Loss{Upstream: u, Boot: "1"}, Started: now.Add(-time.Millisecond), Trial: trial})
		now = now.Add(100 * time.Millisecond)
	}
	lose("u0", "")
	lose("u1", "")
	for _, d := range []poison.Digest{"d", part} {
		body := poison.TrialBody{Digest: d, ID: "t" + string(d), Upstream: "u1"}
		m.RequestTrial(now, body)
		lose("u1", body.ID)
		m.EndTrial(now, body)
	}
	lose("u2", "")
	for _, u := range []ident.UpstreamID{"u0", "u1", "u2"} {
		m.Unreachable(now, u)
	}
	got := map[poison.Digest]poison.Standing{"d": m.Standing(now, "d"), part: m.Standing(now, part)}
	if diff := cmp.Diff(map[poison.Digest]poison.Standing{"d": poison.Suspect, part: poison.Suspect}, got); diff != "" {
		t.Errorf("standings (-want +got):\n%s", diff)
	}
}
