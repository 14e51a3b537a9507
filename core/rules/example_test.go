package rules_test

import (
	"fmt"

	"cicadavalve/core/rules"
)

func ExampleParse() {
	set, _ := rules.Parse("drain az mosgiel # asked by: depot lead\n")
	fmt.Println(set.Drained("engine-0", "mosgiel"), set.Drained("engine-1", "oamaru"))
	_, faults := rules.Parse("drain az mosgiel\n")
	fmt.Println(len(faults))
	// Output:
	// true false
	// 1
}
