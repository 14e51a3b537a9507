package poison_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/poison"
)

// TestPartDigestsDependOnScopeAndSecret checks which parts entries take for the same, and that no id shows.
func TestPartDigestsDependOnScopeAndSecret(t *testing.T) {
	digester := poison.NewDigester([]byte("s"))
	part := digester.Part("", "5c1e07a2")
	type facts struct{ Same, OtherScope, OtherSecret, OfRequest, Shows, IsPart bool }
	got := facts{
		part == poison.NewDigester([]byte("s")).Part("", "5c1e07a2"), part == digester.Part("org", "5c1e07a2"),
		part == poison.NewDigester([]byte("t")).Part("", "5c1e07a2"), digester.Digest("", "5c1e07a2").IsPart(),
		strings.Contains(string(part), "5c1e07a2"), part.IsPart(),
	}
	if diff := cmp.Diff(facts{Same: true, IsPart: true}, got); diff != "" {
		t.Errorf("digests (-want +got):\n%s", diff)
	}
}
