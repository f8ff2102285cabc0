package beechscenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/beechring/beechring/internal/command/beechtrace"
)

type deploymentKey struct{}

const scripts = "../../../scenarios"

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the beechring binary once for all tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "beechring")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := reserveNetwork(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer networkLock.Close()
	binary = filepath.Join(dir, "beechring")
	build := exec.Command("go", "build", "-o", binary, "github.com/beechring/beechring/cmd/beechring")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build beechring:", err)
		return 1
	}
	return m.Run()
}

// TestScenarios runs every script under scenarios/ in parallel.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scripts, "*", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts under %s: %v", scripts, err)
	}
	testscript.Run(t, testscript.Params{
		Files: files,
		Setup: func(env *testscript.Env) error {
			d := newDeployment(env.T().(testing.TB), env.WorkDir)
			env.Values[deploymentKey{}] = d
			env.Defer(func() {
				d.close()
				if d.t.Failed() {
					beechtrace.Show(d.t, env.WorkDir)
				}
			})
			env.Setenv("PATH", filepath.Dir(binary)+string(os.PathListSeparator)+os.Getenv("PATH"))
			return nil
		},
		Cmds:     scriptCommands(),
		TestWork: os.Getenv("SCENARIO_KEEP") != "",
	})
}
