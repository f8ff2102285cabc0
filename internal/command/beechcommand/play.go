package beechcommand

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/command/beechplay"
)

func newPlayCommand() *cobra.Command {
	var file, record, why string
	command := &cobra.Command{
		Use:     "play [--day FILE] [--record FILE]",
		Short:   "Play a small day on stand-ins of the users' platform",
		Long:    "Play a small day: stand-ins of the users' platform, real gates and keepers, callers\nand faults at set times, all in this process. It prints what callers got, and which\npromises were broken. Without --day a calm day is played.\nWith --record a line with its figures is added to a file, for 'beechring report'.",
		Example: "  beechring play\n  beechring play --day docs/examples/day.json --record plays.jsonl --why 'as it stands'",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			day := beechplay.Default
			if file != "" {
				data, err := readFile(file, c.InOrStdin())
				if err != nil {
					return err
				}
				if day, err = beechplay.ParseDay(data); err != nil {
					return &usageError{err}
				}
			}
			report, err := beechplay.Play(c.Context(), day, zap.NewNop())
			if err != nil {
				return err
			}
			report.Print(c.OutOrStdout())
			if record != "" {
				if err := beechplay.AppendRecord(record, report.Record(day, file, why, time.Now())); err != nil {
					return err
				}
			}
			if n := len(report.Promises); n > 0 {
				return &refusedError{fmt.Errorf("%d promises broken", n)}
			}
			return nil
		},
	}
	command.Flags().StringVar(&file, "day", "", "day in JSON, or - for standard input")
	command.Flags().StringVar(&record, "record", "", "add the play's figures to this file")
	command.Flags().StringVar(&why, "why", "", "what is tried, for the record")
	return command
}
