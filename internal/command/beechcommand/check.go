package beechcommand

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check entry|agent|gate|keeper|manifest FILE",
		Short:   "Check a settings file or a manifest",
		Long:    "Check a settings file or a manifest without using it. Each error names the field,\nwhat is wrong with its value and what is allowed.",
		Example: "  beechring check manifest docs/examples/granite-loop.json\n  beechring check entry entry.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, arguments []string) error {
			data, err := readFile(arguments[1], c.InOrStdin())
			if err != nil {
				return err
			}
			if err := check(arguments[0], data); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: good\n", arguments[1])
			return nil
		},
	}
}

func check(kind string, data []byte) error {
	var err error
	switch kind {
	case "entry":
		_, err = beechsettings.ParseEntry(data)
	case "agent":
		_, err = beechsettings.ParseAgent(data)
	case "gate":
		_, err = beechsettings.ParseGate(data)
	case "keeper":
		_, err = beechsettings.ParseKeeper(data)
	case "manifest":
		_, err = beechmanifest.Parse(data)
	default:
		return &usageError{fmt.Errorf("%q is not entry, agent, gate, keeper or manifest", kind)}
	}
	if err != nil {
		return &refusedError{err}
	}
	return nil
}
