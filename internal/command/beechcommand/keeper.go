package beechcommand

import (
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/process/beechkeeper"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/platform"
)

func newKeeperCommand() *cobra.Command {
	return newRoleCommand("keeper", "Run the process beside an engine on the users' platform",
		"Run the process beside an engine on the users' platform. It gives the engine its\norders and tells gates how the engine stands. Without --settings the platform's\nvariable names the file.", runKeeper)
}

func runKeeper(c *cobra.Command, file string) error {
	data, err := readFile(settingsFile(file), c.InOrStdin())
	if err != nil {
		return err
	}
	settings, err := beechsettings.ParseKeeper(data)
	if err != nil {
		return &usageError{err}
	}
	out := beechlog.NewBounded(c.OutOrStdout())
	defer out.Close()
	log, err := newLog(out, settings.Log, settings.Name)
	if err != nil {
		return err
	}
	limitMemory(settings.Memory)
	followSettings(c.Context(), settingsFile(file), data, log, func(data []byte) error {
		_, err := beechsettings.ParseKeeper(data)
		return err // all of them are in force from the next start on
	})
	clock := clockwork.NewRealClock()
	engines := platform.NewEngines(beechpool.New(beechpool.Defaults, clock), clock)
	keeper, err := beechkeeper.New(settings, beechkeeper.Dependencies{
		Clock: clock, Log: log, Engine: platform.Beside{Engines: engines, Address: settings.Engine},
	})
	if err != nil {
		return err
	}
	serveMetrics(c.Context(), settings.Admin, keeper.Metrics(), log)
	return keeper.Run(c.Context())
}
