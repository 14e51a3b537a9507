package ledger_test

import (
	"fmt"
	"time"

	"cicadavalve/core/ledger"
)

func ExampleConfig() {
	body := ledger.ConfigBody{Base: 0, Operator: "depot lead", Text: "drain az mosgiel # asked by: depot lead\n"}
	rec, _ := ledger.NewRecord("proposal-1", ledger.KindConfig, "entry-0", body)
	c := ledger.NewConfig()
	cmds := c.Update(time.Time{}, ledger.BatchMsg{
		Stream: ledger.StreamConfig, Entries: []ledger.Entry{{Offset: 0, Record: rec}}, Next: 1,
	})
	outcome, folded := c.Outcome("proposal-1")
	fmt.Println(folded, outcome.Verdict, len(cmds), c.Version())
	// Output: true accepted 1 1
}
