package beechcommand

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/beechring/beechring/internal/standin/beechcrowd"
)

// crowdFlags are the flags of the stand-in of clients that do not behave.
type crowdFlags struct {
	crowd   beechcrowd.Settings
	target  string
	headers []string
	number  string // header that tells requests apart
	stay    time.Duration
}

func newCrowdStandin() *cobra.Command {
	flags := crowdFlags{}
	command := &cobra.Command{
		Use:     "crowd --target IP:PORT",
		Short:   "Stand in for clients that do not behave",
		Long:    "Stand in for many clients that send large or malformed requests, or nothing, and\nstay. Use it against processes of your own, to try their limits. Forms:\n\n" + crowdForms(),
		Example: "  beechring standin crowd --target 127.0.0.1:8080 --form length --clients 48 \\\n    --path /v1/services/shipping/items --header 'Authorization: Bearer example-key'",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return flags.run(c) },
	}
	f := command.Flags()
	f.StringVar(&flags.target, "target", "", "address to connect to, IP:PORT")
	f.StringVar(&flags.crowd.Form, "form", "length", "what the clients do")
	f.IntVar(&flags.crowd.Clients, "clients", 48, "connections at once")
	f.IntVar(&flags.crowd.BodyBytes, "body-bytes", 4<<20, "the largest body that the target accepts")
	f.StringVar(&flags.crowd.Path, "path", "/", "path of the requests")
	f.StringVar(&flags.crowd.Host, "host", "", "Host header; empty is the target")
	f.StringArrayVar(&flags.headers, "header", nil, "header field of the requests, NAME: VALUE")
	f.StringVar(&flags.number, "number-header", "", "header field that gets another value in each request")
	f.DurationVar(&flags.stay, "for", 10*time.Second, "how long the crowd stays")
	_ = command.MarkFlagRequired("target")
	return command
}

func crowdForms() string {
	var text strings.Builder
	for _, form := range beechcrowd.Forms {
		fmt.Fprintf(&text, "  %-13s %s\n", form.Name, form.About)
	}
	return strings.TrimRight(text.String(), "\n")
}

func (f *crowdFlags) run(c *cobra.Command) error {
	address, err := netip.ParseAddrPort(f.target)
	if err != nil {
		return &usageError{fmt.Errorf("address %q: want IP:PORT", f.target)}
	}
	fields := http.Header{}
	for _, text := range f.headers {
		name, value, found := strings.Cut(text, ":")
		if !found {
			return &usageError{fmt.Errorf("header %q: want NAME: VALUE", text)}
		}
		fields.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	f.crowd.Address = address
	f.crowd.Header = func(n int) http.Header {
		header := fields.Clone()
		if f.number != "" {
			header.Set(f.number, fmt.Sprintf("crowd-%d-%d", os.Getpid(), n))
		}
		return header
	}
	crowd, err := beechcrowd.New(f.crowd)
	if err != nil {
		return &usageError{err}
	}
	select {
	case <-time.After(f.stay):
	case <-c.Context().Done():
	}
	counts := crowd.Counts()
	crowd.Stop()
	_, err = fmt.Fprintf(c.OutOrStdout(), "opened %d\nnot opened %d\nclosed without an answer %d\nanswered by status %v\n", counts.Opened, counts.Unopened, counts.Closed, counts.Answered)
	return err
}
