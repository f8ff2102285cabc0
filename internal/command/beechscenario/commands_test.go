package beechscenario

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

type (
	// command implements a command that scripts have beside those of testscript.
	command func(d *deployment, arguments []string) error

	// values holds the name=value arguments of a command.
	values map[string]string
)

// commands maps the names that scripts use; docs/PROOFS.md describes each command.
var commands = map[string]command{
	"platform":   commandPlatform,
	"engine":     commandEngine,
	"service":    commandService,
	"entry":      commandEntry,
	"seeds":      commandSeeds,
	"sigkill":    eachName((*deployment).kill),
	"sigterm":    commandTerminate,
	"restart":    eachName((*deployment).restart),
	"freeze":     eachName((*deployment).freeze),
	"thaw":       eachName(func(d *deployment, name string) error { return d.signal(name, syscall.SIGCONT) }),
	"cut":        commandCut,
	"fault":      commandFault,
	"leaving":    commandLeaving,
	"apply":      commandApply,
	"send":       commandSend,
	"load":       commandLoad,
	"halt":       commandHalt,
	"await":      commandWait,
	"expect":     commandExpect,
	"until":      commandUntil,
	"holds":      commandHolds,
	"hits":       commandHits,
	"hitswithin": commandHitsWithin,
	"mark":       commandMark,
	"ranonly":    commandRanOnly,
	"agent":      commandAgent,

	"freezeholder": commandFreezeHolder,

	"wire":  commandWire,
	"noise": commandNoise,
}

func eachName(do func(d *deployment, name string) error) command {
	return func(d *deployment, arguments []string) error {
		for _, name := range arguments {
			if err := do(d, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// usage returns the error for wrong arguments of a command.
func usage(form string) error { return fmt.Errorf("usage: %s", form) }

func parseArguments(arguments []string) (plain []string, named values) {
	named = values{}
	for _, a := range arguments {
		if name, value, found := strings.Cut(a, "="); found {
			named[name] = value
			continue
		}
		plain = append(plain, a)
	}
	return plain, named
}

func (v values) number(name string, fallback int) int {
	if n, err := strconv.Atoi(v[name]); err == nil {
		return n
	}
	return fallback
}

func (v values) duration(name string) time.Duration {
	d, _ := time.ParseDuration(v[name])
	return d
}

func (v values) text(name, fallback string) string {
	if text, given := v[name]; given {
		return text
	}
	return fallback
}

// commandHolds implements holds NAME...: checks invariants over all calls so far.
func commandHolds(d *deployment, arguments []string) error {
	for _, name := range arguments {
		check := invariants[name]
		if check == nil {
			return fmt.Errorf("no invariant %q", name)
		}
		if err := check(d); err != nil {
			return fmt.Errorf("%s does not hold: %w", name, err)
		}
	}
	return nil
}

// scriptCommands adapts the commands to testscript. A command with a preceding !
// is expected to fail.
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, arguments []string) {
	out := map[string]func(ts *testscript.TestScript, neg bool, arguments []string){}
	for name, do := range commands {
		out[name] = func(ts *testscript.TestScript, neg bool, arguments []string) {
			err := do(ts.Value(deploymentKey{}).(*deployment), arguments)
			if neg && err == nil {
				ts.Fatalf("%s succeeded unexpectedly", name)
			}
			if !neg && err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return out
}
