package abtest_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/abtest"
)

// TestLoadResultsMergesSamePlan reads two results of one plan, and then a third with another seed, which must fail.
func TestLoadResultsMergesSamePlan(t *testing.T) {
	var paths []string
	for i, seed := range []uint64{1, 1, 2} {
		raw, err := json.Marshal(abtest.Result{Seed: seed, Outcomes: []abtest.Outcome{{Policy: fmt.Sprint(i)}}})
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "result.json")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	merged, err := abtest.LoadResults(paths[:2])
	want := abtest.Result{Seed: 1, Outcomes: []abtest.Outcome{{Policy: "0"}, {Policy: "1"}}}
	if diff := cmp.Diff(want, merged); diff != "" || err != nil {
		t.Errorf("merged, error %v (-want +got):\n%s", err, diff)
	}
	if _, err := abtest.LoadResults(paths); err == nil {
		t.Error("results with different seeds were merged")
	}
}
