package beechcommand

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/process/beechkeeper"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/platform"
)

func newKeeperCommand() *cobra.Command {
	return roleCommand[beechsettings.Keeper]{
		name: "keeper", short: "Run the process beside an engine on the users' platform",
		long:  "Run the process beside an engine on the users' platform. It gives the engine its\norders and tells gates how the engine stands. Without --settings the platform's\nvariable names the file.",
		parse: beechsettings.ParseKeeper, run: runKeeper,
		common: func(s *beechsettings.Keeper) commonSettings { return commonSettings{s.Name, s.Log, s.Memory} },
	}.command()
}

func runKeeper(ctx context.Context, r *role[beechsettings.Keeper]) error {
	followSettings(ctx, r.file, r.data, r.log, func(data []byte) error {
		_, err := beechsettings.ParseKeeper(data)
		return err // only validated here; changes take effect at the next start
	})
	clock := clockwork.NewRealClock()
	engines := platform.NewEngines(beechpool.New(beechpool.DefaultSettings, clock), clock)
	keeper, err := beechkeeper.New(r.settings, beechkeeper.Dependencies{
		Clock: clock, Log: r.log, Engine: platform.KeeperEngine{Engines: engines, Address: r.settings.Engine},
		ReportUrgencies: platform.CallersCompete(r.settings.Contracts),
	})
	if err != nil {
		return err
	}
	serveMetrics(ctx, r.settings.Admin, keeper.Metrics(), r.log)
	return keeper.Run(ctx)
}
