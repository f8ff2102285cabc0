package beechmember

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that runs are reproducible. The
// flags -rapid.seed and -rapid.checks override the defaults.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
