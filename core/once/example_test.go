package once_test

import (
	"fmt"
	"time"

	"cicadavalve/core/ledger"
	"cicadavalve/core/once"
)

func ExampleModel() {
	now := time.Unix(0, 0)
	m := once.NewModel("entry-0", "boot-0")
	m.Update(now, ledger.BatchMsg{Stream: once.StreamOnce})
	cmds := m.Update(now, once.CallMsg{Request: "r", Key: once.Key{Org: "grower", Key: "slot-7"}, Attempt: "a"})
	start := cmds[0].(once.AppendCmd).Record
	cmds = m.Update(now, ledger.BatchMsg{
		Stream: once.StreamOnce, Entries: []ledger.Entry{{Offset: 0, Record: start}}, Next: 1,
	})
	fmt.Printf("%s, then %T\n", start.Kind, cmds[0])
	// Output: start, then once.SendCmd
}
