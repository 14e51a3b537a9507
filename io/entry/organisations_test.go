package entry_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/bench"
	"cicadavalve/io/entry"
	"cicadavalve/io/peer"
)

func TestShowOrganisationsListsFirstTokensByClass(t *testing.T) {
	c, ctx := startCluster(t, 1)
	e := c.Entries()[0]
	for _, class := range []ident.Class{ident.Interactive, ident.Deferred} {
		if _, err := bench.CallWithClass(ctx, e, bench.Token, class, completionBody("prompt", 2)); err != nil {
			t.Fatal(err)
		}
	}
	var views []entry.OrganisationView
	if err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "organisations", "", &views); err != nil {
		t.Fatal(err)
	}
	want := []sched.OrgView{{Org: bench.Org, Share: 0.1}}
	if diff := cmp.Diff(want, []sched.OrgView{views[0].OrgView}); diff != "" {
		t.Errorf("organisations (-want +got):\n%s", diff)
	}
	counted := map[ident.Class]bool{}
	for _, row := range views[0].FirstToken {
		counted[row.Class] = row.Count > 0 && row.P50Ms > 0
	}
	if diff := cmp.Diff(map[ident.Class]bool{ident.Interactive: true, ident.Deferred: true}, counted); diff != "" {
		t.Errorf("classes with first tokens (-want +got):\n%s", diff)
	}
}
