package beechmanifest

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that all runs are the same. The flags
// -rapid.seed and -rapid.checks override it.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
