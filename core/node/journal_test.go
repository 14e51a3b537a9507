package node_test

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/node"
	"cicadavalve/core/record"
)

// TestJournalsOfEarlierBuildsAreReadable decodes one envelope of each registered type, as an earlier build wrote it with
// every field set, and encodes it again. A renamed type, a changed tag or a lost field fails it: journals in the
// platform's log outlive the build that wrote them.
func TestJournalsOfEarlierBuildsAreReadable(t *testing.T) {
	f, err := os.Open("testdata/journal.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	registry, seen := node.NewRegistry(), 0
	for lines := bufio.NewScanner(f); lines.Scan(); seen++ {
		var stored record.Envelope
		if err := json.Unmarshal(lines.Bytes(), &stored); err != nil {
			t.Fatal(err)
		}
		v, err := registry.Decode(stored)
		if err != nil {
			t.Error(err)
			continue
		}
		got, err := registry.Encode(v)
		if err != nil {
			t.Error(err)
			continue
		}
		if diff := cmp.Diff(fields(t, stored), fields(t, got)); diff != "" {
			t.Errorf("%s (-stored +encoded):\n%s", stored.Type, diff)
		}
	}
	if seen != 66 {
		t.Errorf("expected 66 envelopes, got %d", seen)
	}
}

// fields returns an envelope's type and the fields of its body.
func fields(t *testing.T, e record.Envelope) (all map[string]any) {
	t.Helper()
	if err := json.Unmarshal(e.Body, &all); err != nil {
		t.Fatal(err)
	}
	return map[string]any{"type": e.Type, "body": all}
}
