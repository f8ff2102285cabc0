//go:build review

package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name. Each returns what broke the rule, or an empty string.
var cases = map[string]func(*lab) (broken string, err error){}

func main() {
	const arguments = 4
	switch {
	case len(os.Args) > 1 && os.Args[1] == "engine":
		if err := runEngineProcess(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "engine:", err)
			os.Exit(exitNotRun)
		}
	case len(os.Args) > 1 && os.Args[1] == "crowd":
		if err := runCrowdProcess(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "crowd:", err)
			os.Exit(exitNotRun)
		}
	case len(os.Args) == arguments && os.Args[1] == "case":
		os.Exit(runCase(os.Args[2], os.Args[3]))
	default:
		fmt.Fprintln(os.Stderr, "usage: lab case NAME DIR | lab engine FLAGS | lab crowd FLAGS")
		os.Exit(exitNotRun)
	}
}

func runCase(name, dir string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitNotRun
	}
	l, err := newLab(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	defer l.close()
	broken, err := play(l)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitNotRun
	case broken != "":
		l.note("BROKEN: %s", broken)
		return exitBroken
	}
	l.note("HELD")
	return exitHeld
}
