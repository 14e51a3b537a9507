package fifo_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/fifo"
)

// TestMapMatchesSlice compares random operations with those on a slice of keys and a plain map.
func TestMapMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		m, values := fifo.NewMap[int, int](capacity), map[int]int{}
		var keys []int
		for i := range rapid.IntRange(0, 60).Draw(t, "operations") {
			key := rapid.IntRange(0, 7).Draw(t, "key")
			if rapid.Bool().Draw(t, "set") {
				m.Set(key, i)
				if _, held := values[key]; !held {
					keys = append(keys, key)
				}
				values[key] = i
				if len(keys) > capacity {
					delete(values, keys[0])
					keys = keys[1:]
				}
			} else {
				m.Delete(key)
				delete(values, key)
				keys = slices.DeleteFunc(keys, func(k int) bool { return k == key })
			}
			got := map[int]int{}
			for _, k := range m.Keys() {
				got[k], _ = m.Get(k)
			}
			if _, held := m.Get(100); held || m.Len() != len(keys) {
				t.Fatalf("%d keys, want %d", m.Len(), len(keys))
			}
			if diff := cmp.Diff(values, got); diff != "" {
				t.Fatalf("values (-want +got):\n%s", diff)
			}
			if !slices.Equal(keys, m.Keys()) {
				t.Fatalf("keys %v, want %v", m.Keys(), keys)
			}
		}
	})
}
