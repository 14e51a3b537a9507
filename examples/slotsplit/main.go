// Command slotsplit divides the slots of one cold upstream among workers without a coordinator: each computes its own
// share from the list of members.
package main

import (
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/limit"
)

// coldLimit is how many concurrent requests the upstream bears while it is cold.
const coldLimit = 6

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
	fmt.Printf("%d requests run on an upstream that bears %d\n", total, coldLimit)
}

// acquireAll acquires every slot that a worker may use and returns their number.
func acquireAll(now time.Time, worker limit.Holder, holders []limit.Holder) (acquired int) {
	slots := limit.NewSlots(limit.DefaultTiming())
	slots.Update(now, limit.MembersMsg{Epoch: 1, Holders: holders})
	slots.Update(now, limit.LeaseMsg{Holder: worker, Until: now.Add(time.Second)})
	slots.ObserveBoot(now, "engine-1", "boot-1")
	for slots.Acquire(now, "engine-1", coldLimit, ident.RequestID(fmt.Sprint(worker.Entry, acquired))) {
		acquired++
	}
	return acquired
}
