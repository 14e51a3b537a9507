package rules_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/rules"
)

const validFile = `
route model wear-summary class interactive   # asked by: depot lead, 3 Dec
serve model wear-summary version v6          # asked by: depot lead
route service booking runs once              # asked by: dispatch
limit organisation otago-lines share 30%     # asked by: council
drain az mosgiel                             # asked by: depot lead
drain upstream engine-4                      # asked by: depot lead
move model wear-summary from v6 to v7 by 2026-12-05T18:00:00Z share 2%  # asked by: lab
bears upstream engine-* cold 2               # asked by: platform
orders upstream engine-3 ignores-fencing     # asked by: platform
`

func TestParseAcceptsEveryKind(t *testing.T) {
	set, faults := rules.Parse(validFile)
	if diff := cmp.Diff([]rules.Fault(nil), faults); diff != "" {
		t.Fatalf("faults (-want +got):\n%s", diff)
	}
	type view struct {
		Rules         int
		Class         ident.Class
		Version       ident.Version
		Once          bool
		ZoneDrained   bool
		EngineDrained bool
		Other         bool
		Cold          int
		Share         float64
		IgnoresFence  bool
	}
	got := view{
		Rules: len(set.Rules()), Version: set.ServedVersion("wear-summary"),
		ZoneDrained: set.Drained("engine-9", "mosgiel"), EngineDrained: set.Drained("engine-4", "oamaru"),
		Other: set.Drained("engine-9", "oamaru"), IgnoresFence: set.IgnoresFencing("engine-3"),
	}
	got.Class, _ = set.ModelClass("wear-summary")
	got.Once, _ = set.Service("booking")
	got.Cold, _ = set.ColdLimit("engine-7")
	got.Share, _ = set.OrgShare("otago-lines")
	want := view{9, ident.Interactive, "v6", true, true, true, false, 2, 0.3, true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rules (-want +got):\n%s", diff)
	}
}

func TestParseReportsEveryFaultAtOnce(t *testing.T) {
	text := "drain az mosgiel\n" +
		"drain az # asked by: x\n" +
		"route model m class urgent # asked by: x\n" +
		"limit organisation o share 130% # asked by: x\n" +
		"launch rockets # asked by: x\n" +
		"drain az oamaru now # asked by: x\n" +
		"drain az dunedin # asked by: x\n" +
		"drain az dunedin # asked by: y\n"
	_, faults := rules.Parse(text)
	type place struct {
		Line, Column int
		Word         string
	}
	var got []place
	for _, f := range faults {
		got = append(got, place{f.Line, f.Column, f.Word})
	}
	want := []place{
		{1, 17, ""}, {2, 9, ""}, {3, 21, "urgent"}, {4, 28, "130%"}, {5, 1, "launch rockets"}, {6, 17, "now"}, {8, 1, "dunedin"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}

// TestReleaseIDDependsOnDigestAndComment compares the ids of releases: position and spacing don't change an id,
// another comment does. It also expects faults for malformed digests.
func TestReleaseIDDependsOnDigestAndComment(t *testing.T) {
	digest := strings.Repeat("0a", 32)
	ids := func(line string) (ids []string) {
		set, faults := rules.Parse(line)
		if len(faults) > 0 {
			return []string{faults[0].Word}
		}
		for _, r := range set.Released() {
			ids = append(ids, r.ID)
		}
		return ids
	}
	first := ids("release request " + digest + " # asked by: depot lead\n")
	same := ids("\nrelease request " + digest + "   #  asked by: depot lead \n")
	if diff := cmp.Diff(first, same); diff != "" {
		t.Errorf("ids of one comment (-want +got):\n%s", diff)
	}
	if again := ids("release request " + digest + " # asked by: depot lead, again\n"); cmp.Equal(first, again) {
		t.Errorf("another comment has the same id %v", again)
	}
	for _, word := range []string{digest[1:], strings.ToUpper(digest), "innocent"} {
		if diff := cmp.Diff([]string{word}, ids("release request "+word+" # asked by: x\n")); diff != "" {
			t.Errorf("fault (-want +got):\n%s", diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add("drain az \xff # \x00")
	f.Fuzz(func(t *testing.T, text string) {
		set, faults := rules.Parse(text)
		if (set == nil) != (len(faults) > 0) {
			t.Fatalf("set %v with %d faults", set, len(faults))
		}
		if set == nil {
			return
		}
		again, faults := rules.Parse(set.Text())
		if len(faults) > 0 || len(again.Rules()) != len(set.Rules()) {
			t.Fatalf("the same text gave other rules: %v", faults)
		}
	})
}
