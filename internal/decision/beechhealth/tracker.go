package beechhealth

import (
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Settings of the tracker. MaxEjected is the share of a model's servers, in
	// percent, that may be out at once.
	Settings struct {
		MaxEjected int
	}

	// Sample is one answer or failure of a server. Tokens is the uncached
	// prompt that the first token had to wait for. Failed covers errors and
	// timeouts of the server, not refusals and not the caller's faults.
	Sample struct {
		Server     netip.AddrPort
		Model      string
		FirstToken time.Duration
		Tokens     int
		Failed     bool
	}

	// Status is what is known of one server, for operators.
	Status struct {
		Server  netip.AddrPort
		Weight  float64
		Ejected bool
		Slow    float64 // times its peers' latency
		Failed  float64 // share of lately failed requests
	}

	// Tracker compares servers with their peers. It is safe for concurrent
	// use.
	Tracker struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
	}
)

// New returns a tracker that knows no server.
func New(s Settings, c clockwork.Clock) *Tracker {
	return &Tracker{settings: s, clock: c}
}

// SetServers names the live servers of a model; those that are missing are
// forgotten for it.
func (t *Tracker) SetServers(_ string, _ []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
}

// Observe learns from one answer or failure.
func (t *Tracker) Observe(_ Sample) {}

// Weight tells how far a server may be used: 0 not at all, 1 fully. A server
// that is not known is used fully.
func (t *Tracker) Weight(_ netip.AddrPort) float64 { return 1 }

// Status lists the known servers, sorted by address.
func (t *Tracker) Status() []Status { return nil }
