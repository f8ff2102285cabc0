package beechattempt

import (
	"context"
	"expvar"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// Prober reports whether a server accepts connections; *beechpool.Pool implements it.
	Prober interface {
		Probe(ctx context.Context, peer netip.AddrPort) error
	}

	// crashDetector decides whether a request whose answer broke off has crashed its
	// server. After a crash the server refuses connections. One that still accepts them has itself
	// failed, by resetting connections or cutting answers off, and one that is silent may be sound.
	// If these counted against the request, a failing server would have the same request of many
	// callers rejected everywhere for minutes. It is safe for concurrent use.
	crashDetector struct {
		prober   Prober
		suspects *beechsuspect.Registry
		poison   *beechpoison.Tracker
		clock    clockwork.Clock
		log      *zap.Logger

		mu      sync.Mutex
		pending map[netip.AddrPort]*probe // by the server being probed
		probes  sync.WaitGroup
		counts  crashCounts
	}

	// probe is a look at a server, and the requests that broke off there meanwhile.
	probe struct {
		answers  []brokenAnswer
		done     chan struct{} // closed when a crash has been recorded, or the server lives
		accepted bool          // its process runs, or another one at its address; set before done is closed
	}

	// brokenAnswer is a request whose answer broke off.
	brokenAnswer struct {
		call    *beechcall.Call
		request beechpoison.Request
		server  string // ID
		begun   bool   // its answer had begun
		at      time.Time
	}

	// crashCounts counts what was lost with crashed servers.
	crashCounts struct {
		servers, begun, notBegun expvar.Int
	}
)

const (
	// probeTimeout is how long a server may take to accept a connection: several
	// round trips to the farthest availability zone, and well below the time in which
	// a crashed server restarts.
	probeTimeout = 400 * time.Millisecond
	// maxLoggedParts bounds the prompt parts in a log line.
	maxLoggedParts = 12
)

func newCrashDetector(prober Prober, suspects *beechsuspect.Registry, poison *beechpoison.Tracker, clock clockwork.Clock, log *zap.Logger) *crashDetector {
	return &crashDetector{prober: prober, suspects: suspects, poison: poison, clock: clock, log: log, pending: make(map[netip.AddrPort]*probe)}
}

// answerBroken records a request whose answer broke off, and reports it as a suspect if
// the server is down. The probe runs in the background, and is shared by all requests
// that break off at a server meanwhile.
func (d *crashDetector) answerBroken(broken brokenAnswer, server netip.AddrPort) *probe {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, probing := d.pending[server]
	if !probing {
		p = &probe{done: make(chan struct{})}
		d.pending[server] = p
		d.probes.Go(func() { d.probe(server, p) })
	}
	p.answers = append(p.answers, broken)
	return p
}

func (d *crashDetector) probe(server netip.AddrPort, p *probe) {
	defer close(p.done)
	ctx, cancel := clockwork.WithTimeout(context.Background(), d.clock, probeTimeout)
	defer cancel()
	err := d.prober.Probe(ctx, server)
	p.accepted = err == nil
	d.mu.Lock()
	answers := p.answers
	delete(d.pending, server)
	d.mu.Unlock()
	switch {
	case err == nil:
		return
	case isDone(ctx):
		// A host that stands still or cannot be reached answers no probe; a crash is refused.
		d.log.Info("answers broke off at a silent server", zap.Stringer("peer", server), zap.Int("requests", len(answers)), zap.Error(err))
		return
	}
	fingerprints := make([]uint64, 0, len(answers))
	for _, answer := range answers {
		fingerprints = append(fingerprints, answer.call.Fingerprint())
	}
	d.report(server, answers, err)
	d.suspects.RecordCrash(fingerprints)
	d.recordPoison(answers)
}

// recordPoison records the crash of each server that was at the address.
func (d *crashDetector) recordPoison(answers []brokenAnswer) {
	first := make(map[string]time.Time)
	notBegun := make(map[string][]beechpoison.Request)
	for _, answer := range answers {
		if at, ok := first[answer.server]; !ok || answer.at.Before(at) {
			first[answer.server] = answer.at
		}
		if !answer.begun {
			notBegun[answer.server] = append(notBegun[answer.server], answer.request)
		}
	}
	for id, at := range first {
		d.poison.RecordCrash(xxhash.Sum64String(id), at, notBegun[id])
	}
}

// report logs and counts the requests that were lost with a server.
func (d *crashDetector) report(server netip.AddrPort, answers []brokenAnswer, err error) {
	begun := 0
	var requests, parts []string
	for _, answer := range answers {
		if answer.begun {
			begun++
			continue
		}
		requests = append(requests, answer.call.ID)
		for _, part := range answer.call.SharedParts() {
			if !slices.Contains(parts, part.ID) {
				parts = append(parts, part.ID)
			}
		}
	}
	d.counts.servers.Add(1)
	d.counts.begun.Add(int64(begun))
	d.counts.notBegun.Add(int64(len(requests)))
	d.log.Info("server gone with requests under way", zap.Stringer("peer", server), zap.Int("requests", len(answers)), zap.Int("begun", begun),
		zap.Strings("notBegun", requests[:min(len(requests), maxLoggedParts)]), zap.Strings("parts", parts[:min(len(parts), maxLoggedParts)]), zap.Error(err))
}
