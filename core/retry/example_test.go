package retry_test

import (
	"fmt"

	"cicadavalve/core/retry"
)

func ExampleSequence() {
	s := retry.NewSequence()
	_ = s.Begin("request/1", "v6")
	_, _ = s.Accept("request/1", "v6", 0)
	_ = s.Begin("request/2", "v6") // The stream broke; the next attempt resumes at event 1.
	late, _ := s.Accept("request/1", "v6", 1)
	resumed, _ := s.Accept("request/2", "v6", 1)
	whole, _ := s.End("request/2", "v6", 2)
	fmt.Println(late, resumed, whole, s.Dropped().Crossed)
	// Output: false true true 1
}
