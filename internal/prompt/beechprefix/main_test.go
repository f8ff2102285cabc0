package beechprefix

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain gives the random tests a fixed seed and enough runs, unless a flag says
// otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	fixFlag("rapid.seed", "0", "1")
	fixFlag("rapid.checks", "100", "1000")
	os.Exit(m.Run())
}

func fixFlag(name, untouched, value string) {
	if f := flag.Lookup(name); f.Value.String() == untouched {
		_ = f.Value.Set(value)
	}
	fmt.Printf("-%s=%s\n", name, flag.Lookup(name).Value)
}
