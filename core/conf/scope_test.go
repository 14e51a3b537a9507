package conf_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
)

func isolating(orgs map[ident.OrgID]bool) *conf.Set {
	var data conf.Data
	for name, isolated := range orgs {
		data.Organisations = append(data.Organisations, conf.Organisation{Name: name, Isolated: isolated})
	}
	return conf.NewSet(data)
}

// TestIsolatedOrganisationsShareNoContext draws configurations one after the other, and requests that use what is cached in their scope and
// add to it. What an organisation made before it was isolated was used by others afterwards.
func TestIsolatedOrganisationsShareNoContext(t *testing.T) {
	names := []ident.OrgID{"a", "b", "c", "a/b", "=a", "*", "%61", ""}
	rapid.Check(t, func(t *rapid.T) {
		makers := map[string]map[ident.OrgID]bool{}
		for range rapid.IntRange(2, 12).Draw(t, "configurations") {
			orgs := map[ident.OrgID]bool{}
			for _, name := range names[:len(names)-1] {
				if rapid.IntRange(0, 9).Draw(t, "listed") > 0 {
					orgs[name] = rapid.Bool().Draw(t, "isolated")
				}
			}
			set := isolating(orgs)
			for range rapid.IntRange(1, 6).Draw(t, "requests") {
				name := rapid.SampledFrom(names).Draw(t, "organisation")
				scope := set.CacheScope(name)
				if _, listed := orgs[name]; listed && !set.InScope(scope) {
					t.Fatalf("scope %q of %q counts as unused", scope, name)
				}
				for maker := range makers[scope] {
					if maker != name && (orgs[maker] || orgs[name]) {
						t.Fatalf("%q uses what %q made in scope %q, isolated: %v", name, maker, scope, orgs)
					}
				}
				if makers[scope] == nil {
					makers[scope] = map[ident.OrgID]bool{}
				}
				makers[scope][name] = true
			}
		}
	})
}

// TestScopeIsThatOfTheConfiguration computes scopes of configurations with the same isolated organisations, in any order: all entries must
// agree, whatever they have seen before.
func TestScopeIsThatOfTheConfiguration(t *testing.T) {
	got := map[string]bool{}
	for range 20 {
		got[isolating(map[ident.OrgID]bool{"a": true, "b": true, "c": false}).CacheScope("c")] = true
	}
	for i := range 3 {
		got[isolating(map[ident.OrgID]bool{"a": true, "b": true, ident.OrgID(fmt.Sprint("d", i)): false}).CacheScope("")] = true
	}
	if diff := cmp.Diff(1, len(got)); diff != "" {
		t.Errorf("number of shared scopes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("", isolating(map[ident.OrgID]bool{"a": false}).CacheScope("a")); diff != "" {
		t.Errorf("shared scope without isolated organisations (-want +got):\n%s", diff)
	}
}

// TestScopesInUse asks which scopes of an earlier configuration are still used.
func TestScopesInUse(t *testing.T) {
	before := isolating(map[ident.OrgID]bool{"a/1": true, "b": false, "c": true})
	after := isolating(map[ident.OrgID]bool{"a/1": true, "b": true, "c": false})
	got := map[string]bool{}
	for _, name := range []ident.OrgID{"a/1", "b", "c"} {
		got["before "+string(name)] = after.InScope(before.CacheScope(name))
		got["after "+string(name)] = after.InScope(after.CacheScope(name))
	}
	got["other form"], got["empty"] = after.InScope("c"), after.InScope("")
	want := map[string]bool{"other form": true, "empty": false, "before a/1": true, "before b": false, "before c": false, "after a/1": true, "after b": true, "after c": true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("used (-want +got):\n%s", diff)
	}
}
