package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
)

// TestWaitingRequestIsPlacedInTheScopeInForce isolates an organisation while a request of another one waits for capacity. Sent in the scope that
// was in force when it arrived, it would use what the first organisation made there.
func TestWaitingRequestIsPlacedInTheScopeInForce(t *testing.T) {
	b := newBench(1, 200_000)
	b.place.Update(start, place.PeerMsg{Peer: "full", Loads: []place.Load{{Upstream: engineID(0), Requests: 16, Backlog: 90_000}}})
	waiting := need(1, start, 1000, "doc", 300*time.Millisecond)
	waiting.Org, waiting.Objective = "b", 5*time.Second
	if early := sends(b.place.Update(start, place.ArriveMsg{Need: waiting})); len(early) > 0 {
		t.Fatal("the request did not wait")
	}
	set := conf.NewSet(conf.Data{
		Services:      []conf.Service{{Name: "llm", ColdRate: 10, Engine: &conf.Engine{Slots: 16, Memory: 200_000, TokenSize: 20_000, Link: 300e9}}},
		Organisations: []conf.Organisation{{Name: "a", Isolated: true}, {Name: "b"}},
	})
	b.place.SetConfig(set)
	b.place.Update(start, place.PeerMsg{Peer: "full"})
	var got []string
	for _, s := range sends(b.place.Update(start.Add(time.Second), place.TickMsg{})) {
		got = append(got, s.Salt)
	}
	if diff := cmp.Diff([]string{place.Salt(set.CacheScope("b"), model, 1)}, got); diff != "" {
		t.Errorf("salts (-want +got):\n%s", diff)
	}
}

// TestSaltsAreUnambiguous parses salts of names with the separator of their fields.
func TestSaltsAreUnambiguous(t *testing.T) {
	type fields struct {
		Scope   string
		Model   ident.ModelName
		Version int64
	}
	for _, want := range []fields{{"", "m", 1}, {"=a", "b/c", 2}, {"=a%2Fb", "c", 2}, {"*0f", "50%", 3}} {
		salt := place.Salt(want.Scope, want.Model, want.Version)
		model, version, ok := place.ParseSalt(salt)
		if diff := cmp.Diff(want, fields{place.SaltScope(salt), model, version}); diff != "" || !ok {
			t.Errorf("%q (-want +got):\n%s", salt, diff)
		}
	}
}
