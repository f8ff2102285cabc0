package beechcommand

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the cases' expected output anew")

// TestCases runs every folder under cases/: its cmd is a command line, its
// expected is what it prints, to both outputs in order, and its exit code.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("cases/*")
	if err != nil || len(folders) == 0 {
		t.Fatal("no cases")
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			is := is.New(t)
			line, err := os.ReadFile(filepath.Join(folder, "cmd"))
			is.NoErr(err)
			var out bytes.Buffer
			code := Run(strings.Fields(string(line)), &out, &out)
			got := fmt.Sprintf("%sexit code %d\n", out.String(), code)
			file := filepath.Join(folder, "expected")
			if *update {
				is.NoErr(os.WriteFile(file, []byte(got), 0o644))
			}
			want, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}
