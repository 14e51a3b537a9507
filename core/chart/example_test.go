package chart_test

import (
	"fmt"

	"cicadavalve/core/chart"
)

func ExampleChart_Next() {
	c := chart.Must([]byte(door))
	locked := func(chart.Guard) bool { return false }
	t, taken := c.Next(c.Initial(), "push", locked)
	fmt.Println(taken, t)
	// Output: true shut --push--> shut rattle
}
