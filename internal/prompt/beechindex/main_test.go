package beechindex

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed and more runs, unless flags are
// set.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "0", "1")
	setFlagDefault("rapid.checks", "100", "1000")
	os.Exit(m.Run())
}

func setFlagDefault(name, defaultValue, value string) {
	if f := flag.Lookup(name); f.Value.String() == defaultValue {
		_ = f.Value.Set(value)
	}
	fmt.Printf("-%s=%s\n", name, flag.Lookup(name).Value)
}
