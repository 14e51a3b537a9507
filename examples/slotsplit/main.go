// Command slotsplit divides the slots of one cold upstream among workers without a
// coordinator: each works its own share out from the list of members.
package main

import (
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/limit"
)

// bears is how many requests the upstream takes while it is cold.
const bears = 6

func main() {
	now := time.Now()
	holders := []limit.Holder{
		{Entry: "worker-a", Incarnation: "boot-a"}, {Entry: "worker-b", Incarnation: "boot-b"},
		{Entry: "worker-c", Incarnation: "boot-c"},
	}
	total := 0
	for _, self := range holders {
		total += acquireAll(now, self, holders)
	}
	fmt.Printf("%d requests run on an upstream that bears %d\n", total, bears)
}

// acquireAll takes every slot that a worker may use and counts them.
func acquireAll(now time.Time, self limit.Holder, holders []limit.Holder) (taken int) {
	slots := limit.NewSlots(limit.DefaultTiming())
	slots.Update(now, limit.MembersMsg{Epoch: 1, Holders: holders})
	slots.Update(now, limit.LeaseMsg{Holder: self, Until: now.Add(time.Second)})
	slots.ObserveBoot(now, "engine-1", "boot-1")
	for slots.Acquire(now, "engine-1", bears, ident.RequestID(fmt.Sprint(self.Entry, taken))) {
		taken++
	}
	return taken
}
