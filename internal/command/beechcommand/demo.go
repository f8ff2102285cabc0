package beechcommand

import (
	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/command/beechdemo"
)

func newDemoCommand() *cobra.Command {
	settings := beechdemo.Settings{}
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run everything in one process with stand-ins, send a small load and print what was measured",
		Long: "Run two entry hosts, agents, stand-ins of engines, a plain service and the platform's\nservice in one process on loopback, send a small mixed load and print what callers saw.\n" +
			"No file is needed. With --keep it stays up and prints a curl line that works.",
		Example: "  beechring demo\n  beechring demo --keep",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return beechdemo.Run(c.Context(), settings, c.OutOrStdout(), c.ErrOrStderr())
		},
	}
	command.Flags().BoolVar(&settings.Keep, "keep", false, "stay up after the load")
	command.Flags().IntVar(&settings.Requests, "requests", beechdemo.DefaultRequests, "requests to send")
	command.Flags().IntVar(&settings.Callers, "callers", beechdemo.DefaultCallers, "callers at once")
	command.Flags().StringVar(&settings.Log, "log", "error", "log level of the processes: debug, info, warn or error")
	return command
}
