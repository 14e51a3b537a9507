package store_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/engine"
	"cicadavalve/io/store"
)

// TestManifestOpensOnlyForItsContext opens a manifest under other contexts and after tampering: only blocks of the
// same prompt prefix may be returned.
func TestManifestOpensOnlyForItsContext(t *testing.T) {
	const size = 16
	prompt := strings.Repeat("the wear of span", 3)
	contextOf := func(key, version, prompt string) *store.Context {
		return store.NewContext([]byte(key), "m", ident.Version(version), prompt, size)
	}
	own := contextOf("one", "v1", prompt)
	blocks := []engine.Block{{Name: "g-0", Length: 1, Checksum: "a"}, {Name: "g-1", Length: 2, Checksum: "b"}}
	raw, err := own.Seal(blocks)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		context *store.Context
		raw     []byte
		want    []engine.Block
		refused bool
	}{
		"own":                {own, raw, blocks, false},
		"grown":              {contextOf("one", "v1", prompt+prompt), raw, blocks, false},
		"other second block": {contextOf("one", "v1", prompt[:size]+strings.Repeat("x", size)), raw, blocks[:1], false},
		"other first block":  {contextOf("one", "v1", "x"+prompt[1:]), raw, nil, true},
		"other organisation": {contextOf("two", "v1", prompt), raw, nil, true},
		"other version":      {contextOf("one", "v2", prompt), raw, nil, true},
		"other block named":  {own, bytes.Replace(raw, []byte("g-1"), []byte("g-7"), 1), nil, true},
		"cut":                {own, raw[:len(raw)/2], nil, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, _, err := tc.context.Open(tc.raw)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("blocks (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.refused, err != nil); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}
