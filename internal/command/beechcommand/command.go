// Package beechcommand implements beechring's command line. Each command has
// its own file with a constructor that sets the usage text, the flags and the
// function to run. To add a command, add such a file and list its constructor
// in commandConstructors.
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
	// refusedError marks an error for exit code 1: the command ran, but its
	// request was rejected or could not be completed.
	refusedError struct{ err error }

	// usageError marks an error for exit code 2: an invalid command line,
	// invalid settings or an unreadable file.
	usageError struct{ err error }
)

// Exit codes of every command.
const (
	ExitOK      = 0
	ExitRefused = 1
	ExitUsage   = 2
)

// commandConstructors lists the commands in the order of their registration.
var commandConstructors = []func() *cobra.Command{
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
	newLabCommand,
	newReportCommand,
	newStandinCommand,
	newVersionCommand,
}

// Run executes one command line and returns the exit code. An interrupt or a
// termination signal cancels the command's context for a graceful shutdown.
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

// newRoot builds the command tree. It calls started before a command's RunE
// function runs; any earlier error is a usage error.
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
	for _, construct := range commandConstructors {
		command := construct()
		notifyStart(command, started)
		for _, sub := range command.Commands() {
			notifyStart(sub, started)
		}
		root.AddCommand(command)
	}
	return root
}

// notifyStart wraps the RunE function of c to call started first.
func notifyStart(c *cobra.Command, started func()) {
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
