package once

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets defaults for the seed and the size of the random runs; the command line overrides them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "200", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
