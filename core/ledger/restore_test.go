package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ledger"
)

// TestGapRestoresMostCompleteSnapshot appends a stale snapshot, as by a writer that was paused, after one that
// covers more records.
func TestGapRestoresMostCompleteSnapshot(t *testing.T) {
	folded := ledger.NewConfig()
	var states []ledger.State
	for i := range int64(4) {
		body := ledger.ConfigBody{Base: i, Operator: "test", Text: fmt.Sprintf("drain az zone-%d # test\n", i)}
		rec, err := ledger.NewRecord(fmt.Sprint("p", i), ledger.KindConfig, "entry-0", body)
		if err != nil {
			t.Fatal(err)
		}
		folded.Update(time.Time{}, ledger.BatchMsg{
			Stream: ledger.StreamConfig, Entries: []ledger.Entry{{Offset: i, Record: rec}}, Next: i + 1,
		})
		states = append(states, folded.State())
	}
	batch := ledger.BatchMsg{Stream: ledger.StreamConfig, First: 4, Next: 6, Entries: []ledger.Entry{
		{Offset: 4, Record: ledger.Record{ID: "new", Kind: ledger.KindSnapshot, Body: states[3].Encode()}},
		{Offset: 5, Record: ledger.Record{ID: "stale", Kind: ledger.KindSnapshot, Body: states[1].Encode()}},
	}}
	c := ledger.NewConfig()
	c.Update(time.Time{}, batch)
	if diff := cmp.Diff([]int64{4, 6}, []int64{c.Version(), c.Next()}); diff != "" {
		t.Errorf("version and next offset (-want +got):\n%s", diff)
	}
}
