package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cicadavalve/core/route"
)

func ExamplePolicy() {
	policy := route.New(route.NameLeastOutstanding, rand.New(rand.NewPCG(1, 2)))
	candidates := []*route.Candidate{{ID: "engine-0", Outstanding: 4}, {ID: "engine-1", Outstanding: 1}}
	fmt.Println(candidates[policy.Pick(time.Time{}, route.Need{Org: "depot"}, candidates)].ID)
	// Output: engine-1
}
