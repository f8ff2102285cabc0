// Package beechcommand is beechring's command line: one file a command, all of
// one shape (a constructor that sets usage text, flags and the worker), and the
// table below that lists them. A new command is a file and a line in the table.
//
// # Usage
//
//	os.Exit(beechcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
package beechcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

type (
	// refusedError is an answer of no: the command worked and what it asked
	// for was refused.
	refusedError struct{ err error }

	// usageError is a command line that makes no sense.
	usageError struct{ err error }
)

// Exit codes of every command.
const (
	ExitOK      = 0
	ExitRefused = 1
	ExitUsage   = 2
)

// table lists the commands.
var table = []func() *cobra.Command{
	newEntryCommand,
	newAgentCommand,
	newGateCommand,
	newKeeperCommand,
	newCheckCommand,
	newApplyCommand,
	newExplainCommand,
	newStatusCommand,
	newBurnCommand,
	newDemoCommand,
	newPlayCommand,
	newReportCommand,
	newStandinCommand,
	newVersionCommand,
}

// Run executes one command line and returns the exit code. An interrupt or a
// termination signal ends the command gracefully.
func Run(arguments []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	started := false
	root := newRoot(func() { started = true })
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errs, "beechring: %v\n", err)
	var usage *usageError
	if errors.As(err, &usage) || !started {
		return ExitUsage
	}
	return ExitRefused
}

// newRoot makes the command tree. Started is called when a command's worker
// begins; an error before that is the command line's.
func newRoot(started func()) *cobra.Command {
	root := &cobra.Command{
		Use:           "beechring",
		Short:         "Routes language-model traffic with long shared prompts",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return c.Help()
		},
	}
	for _, construct := range table {
		command := construct()
		announce(command, started)
		for _, sub := range command.Commands() {
			announce(sub, started)
		}
		root.AddCommand(command)
	}
	return root
}

func announce(c *cobra.Command, started func()) {
	work := c.RunE
	c.RunE = func(c *cobra.Command, arguments []string) error {
		started()
		return work(c, arguments)
	}
}

func (e *refusedError) Error() string { return e.err.Error() }

func (e *refusedError) Unwrap() error { return e.err }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }
