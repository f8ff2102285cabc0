package beechcommand

import (
	"bytes"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/command/beechchart"
	"github.com/beechring/beechring/internal/command/beechplay"
)

const plotMode = 0o644

func newReportCommand() *cobra.Command {
	var format outputFormat
	var plot string
	command := &cobra.Command{
		Use:     "report FILE...",
		Short:   "Show recorded plays side by side",
		Long:    "Show plays that were recorded by 'beechring play --record', the earliest first: what\ncallers got in each. With --plot the shares are drawn as a picture too.",
		Example: "  beechring play --record plays.jsonl --why 'as it stands'\n  beechring play --record plays.jsonl --why 'longer patience'\n  beechring report plays.jsonl --plot plays.svg",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			return runReport(c, files, format, plot)
		},
	}
	addOutputFlag(command, &format)
	command.Flags().StringVar(&plot, "plot", "", "write an SVG picture to this file")
	return command
}

func runReport(c *cobra.Command, files []string, format outputFormat, plot string) error {
	var records []beechplay.Record
	for _, file := range files {
		data, err := readFile(file, c.InOrStdin())
		if err != nil {
			return err
		}
		read, err := beechplay.ReadRecords(bytes.NewReader(data))
		if err != nil {
			return &usageError{fmt.Errorf("%s: %w", file, err)}
		}
		records = append(records, read...)
	}
	if plot != "" {
		var picture bytes.Buffer
		if err := beechchart.Plot(&picture, records); err != nil {
			return &refusedError{err}
		}
		if err := os.WriteFile(plot, picture.Bytes(), plotMode); err != nil {
			return err
		}
	}
	if format == formatJSON {
		return printJSON(c.OutOrStdout(), records)
	}
	return beechchart.Table(c.OutOrStdout(), records)
}
