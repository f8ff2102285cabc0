package beechcommand

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/process/beechadmin"
	"github.com/beechring/beechring/internal/process/beechlog"
)

type (
	// role holds the settings and the logger that a process on the users'
	// platform starts with.
	role[S any] struct {
		file     string // path of the settings file
		data     []byte // content of the file at startup
		settings *S
		log      *zap.Logger
	}

	// commonSettings are the settings shared by all roles.
	commonSettings struct {
		name   string
		level  string // log level
		memory int    // memory limit of the process on its host, in MB
	}

	// roleCommand describes the command that runs a role.
	roleCommand[S any] struct {
		name, short, long string
		parse             func([]byte) (*S, error)
		common            func(*S) commonSettings
		run               func(ctx context.Context, r *role[S]) error
	}
)

// command builds the cobra command of the role. Without --settings, the path of
// the settings file comes from the platform's environment variable.
func (d roleCommand[S]) command() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     d.name + " [--settings FILE]",
		Short:   d.short,
		Long:    d.long,
		Example: "  beechring " + d.name + " --settings " + d.name + ".json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return d.start(c, settingsFile(file))
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file in JSON, or - for standard input")
	return command
}

// start reads the settings, creates the logger and runs the role.
func (d roleCommand[S]) start(c *cobra.Command, file string) error {
	data, err := readFile(file, c.InOrStdin())
	if err != nil {
		return err
	}
	settings, err := d.parse(data)
	if err != nil {
		return &usageError{err}
	}
	common := d.common(settings)
	out := beechlog.NewAsyncWriter(c.OutOrStdout())
	defer out.Close()
	log, err := newLog(out, common.level, common.name)
	if err != nil {
		return err
	}
	limitMemory(common.memory)
	return d.run(c.Context(), &role[S]{file: file, data: data, settings: settings, log: log})
}

const (
	memoryLimitPercent = 70 // percent of the process's memory limit above which garbage collection runs more often
	megabyte           = 1 << 20
)

// limitMemory sets the Go runtime's soft memory limit well below the memory limit
// of the process, because the host kills a process that exceeds its limit. Zero
// sets no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) * megabyte * memoryLimitPercent / 100)
	}
}

// serveMetrics serves a process's metrics until the context is done. It does
// nothing if the address is not set. If it cannot listen on the address, it logs
// an error and the process runs without metrics: the port is the same on all
// hosts, and serving callers matters more than metrics.
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
