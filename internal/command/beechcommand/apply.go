package beechcommand

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/state/beechmanifest"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	applyFlags struct {
		platform []string
		key      string
		base     int64
		timeout  time.Duration
		format   outputFormat
	}

	// applyResult is what apply prints as JSON.
	applyResult struct {
		Outcome    string `json:"outcome"` // accepted, conflict, unknown or refused
		Generation uint64 `json:"generation,omitempty"`
		Change     string `json:"change,omitempty"`
		Error      string `json:"error,omitempty"`
	}
)

const (
	newestBase   = -1
	applyTimeout = 15 * time.Second

	// applyCallsPerSecond limits calls to the platform's service to a quarter of
	// what the service accepts. Apply reads back the parts of a manifest, 257 for
	// 9,300 workspaces; at the 50 calls per second of a long-running process, a
	// change would take 5 s before any process could be notified of it.
	applyCallsPerSecond = 500
)

var errPlatform = errors.New("give the platform's address as --platform IP:PORT")

func newApplyCommand() *cobra.Command {
	flags := applyFlags{}
	command := &cobra.Command{
		Use:   "apply MANIFEST",
		Short: "Put a manifest in force",
		Long: "Put a manifest in force everywhere. --base names the generation that the manifest\nwas built from; if another came since, nothing is changed and the exit code is 1.\n" +
			"Without --base the newest generation is read and taken as base. The outcome may be\nunknown when the platform's service fails in the middle; then ask again with status.",
		Example: "  beechring apply manifest.json --platform 10.0.0.1:7000 --base 41",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			return runApply(c, flags, arguments[0])
		},
	}
	command.Flags().StringSliceVar(&flags.platform, "platform", nil, "addresses of the platform's service, IP:PORT")
	command.Flags().StringVar(&flags.key, "platform-key", "", "key of the platform's service")
	command.Flags().Int64Var(&flags.base, "base", newestBase, "generation that the manifest was built from")
	command.Flags().DurationVar(&flags.timeout, "timeout", applyTimeout, "time to try for")
	addOutputFlag(command, &flags.format)
	return command
}

func runApply(c *cobra.Command, flags applyFlags, file string) error {
	addresses, err := parseAddresses(flags.platform)
	if err != nil {
		return err
	}
	if len(addresses) == 0 {
		return &usageError{errPlatform}
	}
	data, err := readFile(file, c.InOrStdin())
	if err != nil {
		return err
	}
	manifest, err := beechmanifest.Parse(data)
	if err != nil {
		return &refusedError{err}
	}
	ctx, cancel := context.WithTimeout(c.Context(), flags.timeout)
	defer cancel()
	clock := clockwork.NewRealClock()
	store := beechstore.New(beechstore.Settings{Addresses: addresses, Key: flags.key, CallsPerSecond: applyCallsPerSecond}, beechstore.NewHTTPClient(), clock)
	base, err := baseGeneration(ctx, store, flags.base)
	if err != nil {
		return &refusedError{err}
	}
	return reportApply(c, flags.format, beechmanifest.Publish(ctx, store, clock, base, manifest))
}

func baseGeneration(ctx context.Context, store beechstore.Store, given int64) (uint64, error) {
	if given != newestBase {
		return uint64(max(0, given)), nil
	}
	return beechmanifest.Published(ctx, store)
}

func reportApply(c *cobra.Command, format outputFormat, outcome beechmanifest.Outcome) error {
	result, err := describeOutcome(outcome)
	if format == formatJSON {
		if printed := printJSON(c.OutOrStdout(), result); printed != nil {
			return printed
		}
	} else if err == nil {
		fmt.Fprintf(c.OutOrStdout(), "accepted as generation %d\n", result.Generation)
	}
	return err
}

func describeOutcome(outcome beechmanifest.Outcome) (applyResult, error) {
	switch o := outcome.(type) {
	case beechmanifest.Accepted:
		return applyResult{Outcome: "accepted", Generation: o.Generation}, nil
	case beechmanifest.Conflict:
		err := fmt.Errorf("conflict: generation %d is in force; nothing was changed", o.Current)
		return applyResult{Outcome: "conflict", Generation: o.Current, Error: err.Error()}, &refusedError{err}
	case beechmanifest.Unknown:
		err := fmt.Errorf("unknown: the change %s may or may not be in force: %w", o.Change, o.Err)
		return applyResult{Outcome: "unknown", Change: o.Change, Error: err.Error()}, &refusedError{err}
	case beechmanifest.Refused:
		err := fmt.Errorf("refused: nothing was changed: %w", o.Err)
		return applyResult{Outcome: "refused", Error: err.Error()}, &refusedError{err}
	default:
		err := fmt.Errorf("unknown outcome %T", outcome)
		return applyResult{Outcome: "unknown", Error: err.Error()}, err
	}
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &usageError{fmt.Errorf("address %q: want IP:PORT", text)}
		}
		out = append(out, address)
	}
	return out, nil
}
