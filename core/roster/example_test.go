package roster_test

import (
	"fmt"
	"time"

	"cicadavalve/core/ledger"
	"cicadavalve/core/roster"
)

func ExampleMembership() {
	now := time.Unix(0, 0)
	m := roster.NewMembership(roster.WithLease(3 * time.Second))
	m.Update(now, roster.SelfMsg{Member: roster.Member{Entry: "entry-0", Incarnation: "boot-0"}})
	m.Update(now, ledger.BatchMsg{Stream: ledger.StreamRoster, ReadStart: now})
	join := m.Update(now, roster.WantMsg{Member: true})[0].(roster.AppendCmd).Record
	m.Update(now, ledger.BatchMsg{
		Stream: ledger.StreamRoster, Entries: []ledger.Entry{{Offset: 0, Record: join}}, Next: 1, ReadStart: now,
	})
	fmt.Println(join.Kind, m.Holds(now), m.Holds(now.Add(3*time.Second)))
	// Output: join true false
}
