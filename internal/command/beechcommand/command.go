// Package beechcommand is beechring's command line: one file a command and
// the table that lists them.
//
// # Usage
//
//	os.Exit(beechcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
package beechcommand

import (
	"fmt"
	"io"
)

// Exit codes of every command.
const (
	ExitOK      = 0
	ExitRefused = 1
	ExitUsage   = 2
)

// Run executes one command line and returns the exit code.
func Run(_ []string, _, errs io.Writer) int {
	fmt.Fprintln(errs, "beechring: no commands yet")
	return ExitUsage
}
