package beechcommand

import (
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/process/beechentry"
	"github.com/beechring/beechring/internal/process/beechsettings"
)

func newEntryCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "entry --settings FILE",
		Short:   "Run the process of an entry host",
		Long:    "Run the process of an entry host. It takes callers' requests over HTTP and sends\nthem to agents. SIGTERM ends it once every request has its whole answer.",
		Example: "  beechring entry --settings entry.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runEntry(c, file)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file in JSON, or - for standard input")
	_ = command.MarkFlagRequired("settings")
	return command
}

func runEntry(c *cobra.Command, file string) error {
	data, err := readFile(file, c.InOrStdin())
	if err != nil {
		return err
	}
	settings, err := beechsettings.ParseEntry(data)
	if err != nil {
		return &usageError{err}
	}
	log, err := newLog(c.ErrOrStderr(), settings.Log, settings.Name)
	if err != nil {
		return err
	}
	callers, err := serverTLS(settings.TLS)
	if err != nil {
		return &usageError{err}
	}
	links, err := linkTLS(settings.LinkTLS)
	if err != nil {
		return &usageError{err}
	}
	limitMemory(settings.Memory)
	clock := clockwork.NewRealClock()
	entry, err := beechentry.New(settings, beechentry.Dependencies{
		Clock:   clock,
		Log:     log,
		Store:   newStore(settings.Platform, settings.PlatformKey, clock),
		LinkTLS: links,
		TLS:     callers,
	})
	if err != nil {
		return err
	}
	return entry.Serve(c.Context())
}
