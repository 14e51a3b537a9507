package versus_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/versus"
)

// TestLoadResultsMergesSamePlan reads two results of one plan, and then a third with another seed, which must fail.
func TestLoadResultsMergesSamePlan(t *testing.T) {
	var paths []string
	for i, seed := range []uint64{1, 1, 2} {
		raw, err := json.Marshal(versus.Result{Seed: seed, Outcomes: []versus.Outcome{{Policy: fmt.Sprint(i)}}})
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "result.json")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	merged, err := versus.LoadResults(paths[:2])
	want := versus.Result{Seed: 1, Outcomes: []versus.Outcome{{Policy: "0"}, {Policy: "1"}}}
	if diff := cmp.Diff(want, merged); diff != "" || err != nil {
		t.Errorf("merged, error %v (-want +got):\n%s", err, diff)
	}
	if _, err := versus.LoadResults(paths); err == nil {
		t.Error("results with different seeds were merged")
	}
}
