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

var update = flag.Bool("update", false, "write the expected output of the cases")

// TestCases runs the command line in the cmd file of every folder under cases and
// compares its output and exit code with the folder's expected file. Standard
// output and standard error are written to one buffer in order.
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
