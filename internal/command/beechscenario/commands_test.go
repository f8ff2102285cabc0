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
	// command is one of the scripts' own commands.
	command func(w *world, arguments []string) error

	// values are a command's name=value arguments.
	values map[string]string
)

// commands lists them; docs/PROOFS.md tells what each does.
var commands = map[string]command{
	"platform":   commandPlatform,
	"engine":     commandEngine,
	"service":    commandService,
	"entry":      commandEntry,
	"seeds":      commandSeeds,
	"sigkill":    eachName((*world).kill),
	"sigterm":    commandTerminate,
	"restart":    eachName((*world).restart),
	"freeze":     eachName(func(w *world, name string) error { return w.signal(name, syscall.SIGSTOP) }),
	"thaw":       eachName(func(w *world, name string) error { return w.signal(name, syscall.SIGCONT) }),
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

func eachName(do func(w *world, name string) error) command {
	return func(w *world, arguments []string) error {
		for _, name := range arguments {
			if err := do(w, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// usage is the error of a command that was written wrongly.
func usage(form string) error { return fmt.Errorf("usage: %s", form) }

func readValues(arguments []string) (plain []string, named values) {
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

func (v values) number(name string, usual int) int {
	if n, err := strconv.Atoi(v[name]); err == nil {
		return n
	}
	return usual
}

func (v values) duration(name string) time.Duration {
	d, _ := time.ParseDuration(v[name])
	return d
}

func (v values) text(name, usual string) string {
	if text, given := v[name]; given {
		return text
	}
	return usual
}

// holds NAME...: invariants over everything so far.
func commandHolds(w *world, arguments []string) error {
	for _, name := range arguments {
		check := invariants[name]
		if check == nil {
			return fmt.Errorf("no invariant %q", name)
		}
		if err := check(w); err != nil {
			return fmt.Errorf("%s does not hold: %w", name, err)
		}
	}
	return nil
}

// scriptCommands makes the commands fit testscript. With a ! before it a
// command must fail.
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, arguments []string) {
	out := map[string]func(ts *testscript.TestScript, neg bool, arguments []string){}
	for name, do := range commands {
		out[name] = func(ts *testscript.TestScript, neg bool, arguments []string) {
			err := do(ts.Value(worldKey{}).(*world), arguments)
			if neg && err == nil {
				ts.Fatalf("%s was expected to fail", name)
			}
			if !neg && err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return out
}
