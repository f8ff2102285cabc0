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
	// role is what a process on the users' platform begins with.
	role[S any] struct {
		file     string // of the settings
		data     []byte // that was in it at the start
		settings *S
		log      *zap.Logger
	}

	// roleBasics are the settings that every role has.
	roleBasics struct {
		name   string
		level  string // of the log
		memory int    // MB that the host gives the process
	}

	// roleCommand describes a role's command.
	roleCommand[S any] struct {
		name, short, long string
		parse             func([]byte) (*S, error)
		basics            func(*S) roleBasics
		run               func(ctx context.Context, r *role[S]) error
	}
)

// command makes the role's command. The platform's variable names the settings
// where the command line does not.
func (d roleCommand[S]) command() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     d.name + " [--settings FILE]",
		Short:   d.short,
		Long:    d.long,
		Example: "  beechring " + d.name + " --settings " + d.name + ".json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return d.begin(c, settingsFile(file))
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file in JSON, or - for standard input")
	return command
}

// begin reads the settings, opens the log and runs the role.
func (d roleCommand[S]) begin(c *cobra.Command, file string) error {
	data, err := readFile(file, c.InOrStdin())
	if err != nil {
		return err
	}
	settings, err := d.parse(data)
	if err != nil {
		return &usageError{err}
	}
	basics := d.basics(settings)
	out := beechlog.NewAsyncWriter(c.OutOrStdout())
	defer out.Close()
	log, err := newLog(out, basics.level, basics.name)
	if err != nil {
		return err
	}
	limitMemory(basics.memory)
	return d.run(c.Context(), &role[S]{file: file, data: data, settings: settings, log: log})
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
