package beechcommand

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/process/beechgate"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/platform"
)

func newGateCommand() *cobra.Command {
	return roleCommand[beechsettings.Gate]{
		name: "gate", short: "Run the process of an entry host on the users' platform",
		long:  "Run the process of an entry host on the users' platform. It takes callers' requests\nand sends them straight to engines. SIGTERM ends it once every request has its\nwhole answer. Without --settings the platform's variable names the file.",
		parse: beechsettings.ParseGate, run: runGate,
		common: func(s *beechsettings.Gate) commonSettings { return commonSettings{s.Name, s.Log, s.Memory} },
	}.command()
}

func runGate(ctx context.Context, r *role[beechsettings.Gate]) error {
	clock := clockwork.NewRealClock()
	pool := beechpool.New(beechpool.DefaultSettings, clock)
	store := platform.NewStore(r.settings.Store)
	gate, err := beechgate.New(r.settings, beechgate.Dependencies{
		Clock: clock, Age: beechfresh.BootClock{}, Log: r.log,
		Source: store, StoreUse: store.CallStats(), Backend: platform.NewEngines(pool, clock), Pool: pool,
		CallersCompete: platform.CallersCompete(r.settings.Contracts),
		OperatorPrefix: platform.OperatorPrefix, ServerPrefix: platform.ServerPrefix,
		Operators: platform.DecodeConfiguration, Servers: platform.DecodeServers, Revision: store.Revision,
	})
	if err != nil {
		return err
	}
	followSettings(ctx, r.file, r.data, r.log, func(data []byte) error {
		changed, err := beechsettings.ParseGate(data)
		if err == nil {
			gate.Apply(changed)
		}
		return err
	})
	serveMetrics(ctx, r.settings.Admin, gate.Metrics(), r.log)
	handler := platform.NewHandler(gate, clock)
	return gate.Run(ctx, handler, http.HandlerFunc(handler.ServeReady))
}
