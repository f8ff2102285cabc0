package beechcommand

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/command/beechlab"
)

// Defaults of a simulated fleet.
const (
	labGates   = 356
	labEngines = 624
	labZones   = 6
	labLength  = 10 * time.Second
	labRate    = 1.0
)

func newLabCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "lab",
		Short: "Play parts of beechring in virtual time",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	command.AddCommand(newLabFleetCommand())
	return command
}

func newLabFleetCommand() *cobra.Command {
	settings := beechlab.Settings{}
	command := &cobra.Command{
		Use:     "fleet [--gates N] [--engines N] [--zones N] [--seed N]",
		Short:   "Play the control of a large fleet in virtual time",
		Long:    "Play the control of a large fleet in virtual time: gates find one another, share reads of\nthe store and the states of engines; then a configuration changes, and an engine's host and a\ngate die. It prints messages, bytes, ages and times. The same seed gives the same figures.",
		Example: "  beechring lab fleet\n  beechring lab fleet --gates 700 --engines 1250",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := beechlab.Run(c.Context(), settings, func(step string) { fmt.Fprintln(c.ErrOrStderr(), "playing:", step) })
			if err != nil {
				return &usageError{err}
			}
			return report.Print(c.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&settings.Gates, "gates", labGates, "entry hosts")
	flags.IntVar(&settings.Engines, "engines", labEngines, "backend servers with a keeper")
	flags.IntVar(&settings.Zones, "zones", labZones, "availability zones")
	flags.Uint64Var(&settings.Seed, "seed", 1, "seed of all that is drawn")
	flags.DurationVar(&settings.Length, "length", labLength, "measured time")
	flags.Float64Var(&settings.Rate, "rate", labRate, "requests per second of each backend server")
	flags.Float64Var(&settings.Loss, "loss", 0, "share of the datagrams that are lost")
	return command
}
