package beechcommand

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/process/beechadmin"
	"github.com/beechring/beechring/internal/process/beechgate"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/platform"
)

func newGateCommand() *cobra.Command {
	return newRoleCommand("gate", "Run the process of an entry host on the users' platform",
		"Run the process of an entry host on the users' platform. It takes callers' requests\nand sends them straight to engines. SIGTERM ends it once every request has its\nwhole answer. Without --settings the platform's variable names the file.", runGate)
}

func runGate(c *cobra.Command, file string) error {
	data, err := readFile(settingsFile(file), c.InOrStdin())
	if err != nil {
		return err
	}
	settings, err := beechsettings.ParseGate(data)
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
	clock := clockwork.NewRealClock()
	pool := beechpool.New(beechpool.Defaults, clock)
	gate, err := beechgate.New(settings, beechgate.Dependencies{
		Clock: clock, Age: beechfresh.Boot{}, Log: log,
		Source: platform.NewStore(settings.Store), Backend: platform.NewEngines(pool, clock), Pool: pool,
		OperatorPrefix: platform.OperatorPrefix, ServerPrefix: platform.ServerPrefix,
		Operators: platform.Operators, Servers: platform.Servers,
	})
	if err != nil {
		return err
	}
	followSettings(c.Context(), settingsFile(file), data, log, func(data []byte) error {
		changed, err := beechsettings.ParseGate(data)
		if err == nil {
			gate.Apply(changed)
		}
		return err
	})
	serveMetrics(c.Context(), settings.Admin, gate.Metrics(), log)
	door := platform.NewDoor(gate, clock)
	return gate.Run(c.Context(), door, http.HandlerFunc(door.ServeReady))
}

const (
	memoryShare = 70 // percent of the host's memory at which the collector works harder
	megabyte    = 1 << 20
)

// limitMemory has the garbage collector keep the process well below what the
// host gives it: beyond that the process is killed.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) * megabyte * memoryShare / 100)
	}
}

// serveMetrics serves a process's metrics until the context ends. An address
// that is not set serves nothing. One that cannot be had is told and left: the
// port is the same on all hosts, and callers come before metrics.
func serveMetrics(ctx context.Context, address netip.AddrPort, metrics http.Handler, log *zap.Logger) {
	if !address.IsValid() {
		return
	}
	serve, err := beechadmin.Listen(address, metrics)
	if err != nil {
		log.Error("metrics not served", zap.Stringer("listen", address), zap.Error(err))
		return
	}
	go func() {
		if err := serve(ctx); ctx.Err() == nil {
			log.Warn("metrics not served any more", zap.Error(err))
		}
	}()
}
