package beechcommand

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// processStatus is the part of an entry's or agent's status page that the status
// command shows.
type processStatus struct {
	Name       string   `json:"name"`
	Zone       string   `json:"zone"`
	Address    string   `json:"address"`
	Pool       string   `json:"pool,omitempty"`
	Generation uint64   `json:"generation"`
	Ready      bool     `json:"ready"`
	Leaving    bool     `json:"leaving"`
	Offers     []string `json:"offers,omitempty"`
	Entries    int      `json:"entries,omitempty"`
	Linked     int      `json:"linkedAgents,omitempty"`
	Requests   int64    `json:"openRequests,omitempty"`
	Error      string   `json:"error,omitempty"`
}

func newStatusCommand() *cobra.Command {
	flags := adminFlags{}
	command := &cobra.Command{
		Use:     "status --admin IP:PORT[,IP:PORT...]",
		Short:   "Show what processes are doing",
		Long:    "Show generation, readiness and links of entries and agents, a line each. The exit\ncode is 1 if one of them cannot be asked.",
		Example: "  beechring status --admin 10.0.0.1:9090,10.0.0.2:9090 --admin-key KEY",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runStatus(c, flags)
		},
	}
	flags.add(command)
	return command
}

func runStatus(c *cobra.Command, flags adminFlags) error {
	addresses, err := parseAddresses(flags.addresses)
	if err != nil {
		return err
	}
	var rows []processStatus
	var failed error
	for _, address := range addresses {
		row := processStatus{Address: address.String()}
		if err := getAdmin(c.Context(), address, flags.key, "/status", &row); err != nil {
			row.Error = err.Error()
			failed = &refusedError{err}
		}
		rows = append(rows, row)
	}
	if flags.format == formatJSON {
		if err := printJSON(c.OutOrStdout(), rows); err != nil {
			return err
		}
		return failed
	}
	table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tZONE\tADDRESS\tGENERATION\tSTATE\tLINKS\tOFFERS")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", r.Name, r.Zone, r.Address, r.Generation, r.state(), max(r.Linked, r.Entries), strings.Join(r.Offers, ","))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return failed
}

func (r processStatus) state() string {
	switch {
	case r.Error != "":
		return "unreachable"
	case r.Leaving:
		return "leaving"
	case r.Ready:
		return "ready"
	default:
		return "not ready"
	}
}
