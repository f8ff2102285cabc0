package beechcommand

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type versionInfo struct {
	Version  string `json:"version"`
	Protocol int    `json:"protocol"`
	Go       string `json:"go"`
}

func newVersionCommand() *cobra.Command {
	var format outputFormat
	command := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  beechring version\n  beechring version --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info := versionInfo{Version: "unknown", Protocol: beechwire.Version, Go: runtime.Version()}
			if build, ok := debug.ReadBuildInfo(); ok {
				info.Version = build.Main.Version
			}
			if format == formatJSON {
				return printJSON(c.OutOrStdout(), info)
			}
			fmt.Fprintf(c.OutOrStdout(), "beechring %s, link protocol %d, %s\n", info.Version, info.Protocol, info.Go)
			return nil
		},
	}
	addOutputFlag(command, &format)
	return command
}
