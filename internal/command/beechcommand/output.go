package beechcommand

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// outputFormat is the value of --output.
type outputFormat string

const (
	formatTable outputFormat = "table"
	formatJSON  outputFormat = "json"
)

func addOutputFlag(c *cobra.Command, format *outputFormat) {
	*format = formatTable
	c.Flags().Var(format, "output", "table or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

// String implements pflag.Value.
func (f *outputFormat) String() string { return string(*f) }

// Set implements pflag.Value.
func (f *outputFormat) Set(text string) error {
	switch outputFormat(text) {
	case formatTable, formatJSON:
		*f = outputFormat(text)
		return nil
	default:
		return fmt.Errorf("%q is not table or json", text)
	}
}

// Type implements pflag.Value.
func (f *outputFormat) Type() string { return "format" }

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
