package beechattempt

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechsuspect"
)

type (
	// Prober reports whether a server accepts connections; *beechpool.Pool implements it.
	Prober interface {
		Probe(ctx context.Context, peer netip.AddrPort) error
	}

	// crashDetector decides whether a request whose answer broke off has crashed its
	// server. After a crash the server no longer accepts connections; a server that still
	// does has itself failed, by resetting connections or cutting answers off. If both
	// counted against the request, a failing server would have the same request of many
	// callers rejected everywhere for minutes. It is safe for concurrent use.
	crashDetector struct {
		prober   Prober
		suspects *beechsuspect.Registry
		clock    clockwork.Clock
		log      *zap.Logger

		mu      sync.Mutex
		pending map[netip.AddrPort][]uint64 // fingerprints of requests, by the server being probed
		probes  sync.WaitGroup
	}
)

// probeTimeout is how long a server may take to accept a connection: several
// round trips to the farthest availability zone, and well below the time in which
// a crashed server restarts.
const probeTimeout = 400 * time.Millisecond

func newCrashDetector(prober Prober, suspects *beechsuspect.Registry, clock clockwork.Clock, log *zap.Logger) *crashDetector {
	return &crashDetector{prober: prober, suspects: suspects, clock: clock, log: log, pending: make(map[netip.AddrPort][]uint64)}
}

// answerBroken records a request whose answer broke off, and reports it as a suspect if
// the server is down. The probe runs in the background, and is shared by all requests
// that break off at a server meanwhile.
func (d *crashDetector) answerBroken(fingerprint uint64, server netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, probing := d.pending[server]
	d.pending[server] = append(list, fingerprint)
	if !probing {
		d.probes.Go(func() { d.probe(server) })
	}
}

func (d *crashDetector) probe(server netip.AddrPort) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), d.clock, probeTimeout)
	defer cancel()
	err := d.prober.Probe(ctx, server)
	d.mu.Lock()
	fingerprints := d.pending[server]
	delete(d.pending, server)
	d.mu.Unlock()
	if err == nil {
		return
	}
	d.log.Info("server gone with requests under way", zap.Stringer("peer", server), zap.Int("requests", len(fingerprints)), zap.Error(err))
	d.suspects.RecordCrash(fingerprints)
}
