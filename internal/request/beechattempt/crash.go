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
	// Prober tells whether a server takes connections; *beechpool.Pool is one.
	Prober interface {
		Reach(ctx context.Context, peer netip.AddrPort) error
	}

	// blamer decides whether a request whose answer broke off is to blame for it.
	// A server that a request crashes is gone afterwards; one that resets
	// connections or breaks off answers while it lives is at fault itself. Were
	// both blamed on the request, a failing server would have the same question of
	// many callers refused everywhere, for minutes. It is safe for concurrent use.
	blamer struct {
		prober   Prober
		suspects *beechsuspect.Registry
		clock    clockwork.Clock
		log      *zap.Logger

		mu      sync.Mutex
		waiting map[netip.AddrPort][]uint64 // fingerprints, by the server that is looked at
		looks   sync.WaitGroup
	}
)

// lookPatience is how long a server may take to accept a connection: several
// times the way to the farthest availability zone, and well inside the time after
// which a crashed server is back.
const lookPatience = 400 * time.Millisecond

func newBlamer(prober Prober, suspects *beechsuspect.Registry, clock clockwork.Clock, log *zap.Logger) *blamer {
	return &blamer{prober: prober, suspects: suspects, clock: clock, log: log, waiting: make(map[netip.AddrPort][]uint64)}
}

// brokeOff takes in a request whose answer broke off at a server, and has it
// blamed if the server is gone. The caller is not kept waiting for that. All
// that break off together cost one connection.
func (b *blamer) brokeOff(fingerprint uint64, server netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list, looking := b.waiting[server]
	b.waiting[server] = append(list, fingerprint)
	if !looking {
		b.looks.Go(func() { b.look(server) })
	}
}

func (b *blamer) look(server netip.AddrPort) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), b.clock, lookPatience)
	defer cancel()
	err := b.prober.Reach(ctx, server)
	b.mu.Lock()
	running := b.waiting[server]
	delete(b.waiting, server)
	b.mu.Unlock()
	if err == nil {
		return
	}
	b.log.Info("server gone with requests under way", zap.Stringer("peer", server), zap.Int("requests", len(running)), zap.Error(err))
	b.suspects.RecordCrash(running)
}
