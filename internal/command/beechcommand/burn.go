package beechcommand

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/process/beechburn"
)

const defaultBurnRows = 20

func newBurnCommand() *cobra.Command {
	flags := adminFlags{}
	var rows int
	command := &cobra.Command{
		Use:   "burn --admin IP:PORT[,IP:PORT...]",
		Short: "Report how fast the service-level allowance is spent",
		Long: "Report service-level burn by workspace and over all, merged over the entry hosts\nnamed, with hit rate, first-token percentiles and wasted recomputation. A rate of 1\n" +
			"spends the allowance exactly over the window. An entry that cannot be asked is named\nand the exit code is 1.",
		Example: "  beechring burn --admin 10.0.0.1:9090,10.0.0.2:9090 --admin-key KEY",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runBurn(c, flags, rows)
		},
	}
	flags.add(command)
	command.Flags().IntVar(&rows, "rows", defaultBurnRows, "workspaces shown, the worst first")
	return command
}

func runBurn(c *cobra.Command, flags adminFlags, rows int) error {
	addresses, err := parseAddresses(flags.addresses)
	if err != nil {
		return err
	}
	var snapshots []beechburn.Snapshot
	var failed error
	for _, address := range addresses {
		var snapshot beechburn.Snapshot
		if err := getAdmin(c.Context(), address, flags.key, "/burn", &snapshot); err != nil {
			fmt.Fprintf(c.ErrOrStderr(), "beechring: %v\n", err)
			failed = &refusedError{err}
			continue
		}
		snapshots = append(snapshots, snapshot)
	}
	merged, err := beechburn.Merge(snapshots)
	if err != nil {
		return &refusedError{err}
	}
	report := merged.Report()
	if flags.format == formatJSON {
		err = printJSON(c.OutOrStdout(), report)
	} else {
		err = beechburn.Table(c.OutOrStdout(), report, rows)
	}
	if err != nil {
		return err
	}
	return failed
}
