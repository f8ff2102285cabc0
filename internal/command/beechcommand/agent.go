package beechcommand

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/process/beechagent"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechsettings"
)

const (
	connectTimeout = 2 * time.Second
	readyPath      = "/ready"
)

func newAgentCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "agent --settings FILE",
		Short:   "Run the process beside a backend server",
		Long:    "Run the process beside a backend server. It decides what runs there. SIGTERM ends\nit once every request has its whole answer.",
		Example: "  beechring agent --settings agent.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runAgent(c, file)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file in JSON, or - for standard input")
	_ = command.MarkFlagRequired("settings")
	return command
}

func runAgent(c *cobra.Command, file string) error {
	data, err := readFile(file, c.InOrStdin())
	if err != nil {
		return err
	}
	settings, err := beechsettings.ParseAgent(data)
	if err != nil {
		return &usageError{err}
	}
	log, err := newLog(c.ErrOrStderr(), settings.Log, settings.Name)
	if err != nil {
		return err
	}
	links, err := linkTLS(settings.LinkTLS)
	if err != nil {
		return &usageError{err}
	}
	limitMemory(settings.Memory)
	clock := clockwork.NewRealClock()
	client := beechbackend.NewClient(connectTimeout)
	agent, err := beechagent.New(settings, beechagent.Dependencies{
		Clock:   clock,
		Log:     log,
		Store:   newStore(settings.Platform, settings.PlatformKey, clock),
		Engine:  beechbackend.NewOpenAI(settings.Backend, client),
		Service: beechbackend.NewService(settings.Backend, readyPath, client),
		LinkTLS: links,
	})
	if err != nil {
		return err
	}
	return agent.Serve(c.Context())
}
