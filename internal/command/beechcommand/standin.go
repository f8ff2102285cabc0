package beechcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/standin/beechengine"
	"github.com/beechring/beechring/internal/standin/beechplatform"
	"github.com/beechring/beechring/internal/standin/beechservice"
)

// standinFlags are the flags shared by stand-ins that write a journal.
type standinFlags struct {
	listen  string
	journal string
}

const (
	standinHeaderTimeout   = 5 * time.Second
	standinShutdownTimeout = 2 * time.Second
)

func newStandinCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a small stand-in of what beechring meets",
		Long:  "Run a small stand-in of a model engine, a plain service or the platform's service,\nfor trying beechring out and for tests. They keep nothing and hold no model.",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	command.AddCommand(newEngineStandin(), newServiceStandin(), newPlatformStandin(), newCrowdStandin())
	return command
}

func newEngineStandin() *cobra.Command {
	flags := standinFlags{}
	s := beechengine.Settings{}
	command := &cobra.Command{
		Use:     "engine --listen IP:PORT",
		Short:   "Stand in for a model engine",
		Example: "  beechring standin engine --listen 127.0.0.1:8000 --models fit-advisor@1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return flags.serve(c, &s.Journal, func() http.Handler {
				return beechengine.New(s, clockwork.NewRealClock()).Handler()
			})
		},
	}
	f := command.Flags()
	flags.add(command)
	f.StringSliceVar(&s.Models, "models", nil, "model@weights loaded at the start")
	f.IntVar(&s.Slots, "slots", 0, "requests run at once")
	f.IntVar(&s.PrefillRate, "prefill-rate", 0, "prompt tokens a second; 0 takes no time")
	f.DurationVar(&s.TokenTime, "token-time", 0, "time between output tokens")
	f.DurationVar(&s.EndTime, "end-time", 0, "time between the last output token and the answer's end")
	f.IntVar(&s.CacheTokens, "cache-tokens", 0, "prompt tokens the cache holds")
	f.DurationVar(&s.EventLag, "event-lag", 0, "age at which a cache event is published")
	f.IntVar(&s.LoseEvery, "lose-every", 0, "lose each n-th cache event")
	f.DurationVar(&s.ReportLag, "report-lag", 0, "age of the load report")
	f.DurationVar(&s.LoadTime, "load-time", 0, "time to load a model")
	f.BoolVar(&s.CheckFence, "check-fence", false, "refuse orders with an older fencing number")
	f.DurationVar(&s.CrashPause, "crash-pause", 0, "time away after a crash")
	return command
}

func newServiceStandin() *cobra.Command {
	flags := standinFlags{}
	s := beechservice.Settings{}
	command := &cobra.Command{
		Use:     "service --listen IP:PORT",
		Short:   "Stand in for a plain service",
		Example: "  beechring standin service --listen 127.0.0.1:8100",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return flags.serve(c, &s.Journal, func() http.Handler {
				return beechservice.New(s, clockwork.NewRealClock()).Handler()
			})
		},
	}
	flags.add(command)
	command.Flags().DurationVar(&s.Delay, "delay", 0, "time from running a request to its answer")
	return command
}

func newPlatformStandin() *cobra.Command {
	var listen string
	s := beechplatform.Settings{}
	command := &cobra.Command{
		Use:     "platform --listen IP:PORT",
		Short:   "Stand in for the platform's key-value service and host list",
		Example: "  beechring standin platform --listen 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveStandin(c, listen, beechplatform.New(s, clockwork.NewRealClock()).Handler())
		},
	}
	addListen(command, &listen)
	command.Flags().StringVar(&s.Key, "key", "", "bearer key of each call; empty is any")
	command.Flags().IntVar(&s.WritesPerSecond, "writes-per-second", 0, "limit of writes")
	command.Flags().IntVar(&s.ReadsPerSecond, "reads-per-second", 0, "limit of reads")
	return command
}

func (f *standinFlags) add(c *cobra.Command) {
	addListen(c, &f.listen)
	c.Flags().StringVar(&f.journal, "journal", "", "file that gets what ran, as JSON lines")
}

// serve opens the journal, then creates the handler, which writes to it, and
// serves it.
func (f *standinFlags) serve(c *cobra.Command, journal *io.Writer, handler func() http.Handler) error {
	closeJournal, err := openJournal(f.journal, journal)
	if err != nil {
		return err
	}
	defer closeJournal()
	return serveStandin(c, f.listen, handler())
}

func addListen(c *cobra.Command, listen *string) {
	c.Flags().StringVar(listen, "listen", "", "address to listen on, IP:PORT")
	_ = c.MarkFlagRequired("listen")
}

// openJournal opens a stand-in's journal file for appending and stores it in
// target. It does nothing if the name is empty.
func openJournal(name string, target *io.Writer) (func() error, error) {
	if name == "" {
		return func() error { return nil }, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &usageError{err}
	}
	*target = file
	return file.Close, nil
}

// serveStandin serves HTTP until the command's context is done.
func serveStandin(c *cobra.Command, listen string, handler http.Handler) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return &usageError{fmt.Errorf("address %q: want IP:PORT", listen)}
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stop := context.AfterFunc(c.Context(), func() {
		ctx, cancel := context.WithTimeout(context.Background(), standinShutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	return nil
}
