//go:build review

package main

import (
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/standin/beechcrowd"
)

// runCrowdProcess runs the project's stand-in of clients that do not behave.
func runCrowdProcess(arguments []string) error {
	var s beechcrowd.Settings
	flags := flag.NewFlagSet("crowd", flag.ContinueOnError)
	flags.StringVar(&s.Form, "form", "", "what the clients do")
	flags.IntVar(&s.Clients, "clients", 0, "connections at once")
	flags.StringVar(&s.Host, "host", "", "Host header")
	flags.StringVar(&s.Path, "path", "", "path of the requests")
	flags.IntVar(&s.BodyBytes, "body-bytes", 0, "the largest body that the target accepts")
	target := flags.String("target", "", "address")
	key := flags.String("key", "", "of the requests")
	lasts := flags.Duration("for", 0, "how long the crowd stays")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(*target)
	if err != nil {
		return err
	}
	s.Address = address
	s.Header = func(int) http.Header { return header("Beechring-Attempt-Id", newID(), "Beechring-Key", *key) }
	c, err := beechcrowd.New(s)
	if err != nil {
		return err
	}
	time.Sleep(*lasts)
	fmt.Printf("%+v\n", c.Counts())
	c.Stop()
	return nil
}
