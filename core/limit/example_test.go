package limit_test

import (
	"fmt"
	"time"

	"cicadavalve/core/limit"
)

func ExampleSlots() {
	now := time.Unix(0, 0)
	self := limit.Holder{Entry: "entry-0", Incarnation: "boot-0"}
	s := limit.NewSlots(limit.DefaultTiming())
	s.Update(now, limit.MembersMsg{Epoch: 1, Holders: []limit.Holder{self}})
	s.Update(now, limit.LeaseMsg{Holder: self, Until: now.Add(time.Second)})
	first, second := s.Acquire(now, "engine-0", 1, "request-0"), s.Acquire(now, "engine-0", 1, "request-1")
	late := s.Free(now.Add(2*time.Second), "engine-1", 1)
	fmt.Println(first, second, late)
	// Output: true false false
}
