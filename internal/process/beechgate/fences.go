package beechgate

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// fenceRequests are the keepers that wait for a fencing number. It is safe for concurrent use.
type fenceRequests struct {
	mu      sync.Mutex
	waiting map[netip.AddrPort]uint64 // numbers of the latest requests, by keeper
	due     chan struct{}             // signals that a keeper waits
}

// fencePause is the time from a failed read of a fencing number to the next one.
const fencePause = 600 * time.Millisecond

func newFenceRequests() *fenceRequests {
	return &fenceRequests{waiting: make(map[netip.AddrPort]uint64), due: make(chan struct{}, 1)}
}

func (f *fenceRequests) add(keeper netip.AddrPort, number uint64) {
	f.mu.Lock()
	f.waiting[keeper] = number
	f.mu.Unlock()
	beechtask.Notify(f.due)
}

// take returns the keepers that wait, and forgets them.
func (f *fenceRequests) take() map[netip.AddrPort]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := maps.Clone(f.waiting)
	clear(f.waiting)
	return taken
}

// receiveAcquire has a keeper's request for a fencing number answered.
func (g *Gate) receiveAcquire(from netip.AddrPort, number uint64) {
	g.mu.Lock()
	known := from.Port() == g.settings.Beats.Port() && slices.ContainsFunc(g.servers, func(s beechcall.Server) bool { return s.Address.Addr() == from.Addr() })
	g.mu.Unlock()
	if known {
		g.fences.add(from, number)
	}
}

// answerFences answers requests for fencing numbers, all that wait with one read of the store.
// A request that arrives during a read is answered by the next one, since a number must not
// have been read before it was requested.
func (g *Gate) answerFences(ctx context.Context) error {
	for {
		select {
		case <-g.fences.due:
		case <-ctx.Done():
			return ctx.Err()
		}
		if waiting := g.fences.take(); len(waiting) > 0 {
			fence := g.readFence(ctx)
			for keeper, number := range waiting {
				g.sendTo(keeper, beechdatagram.Fence{Fence: &beechwire.Fence{Number: number, Fence: fence}})
			}
			if fence == 0 {
				g.pauseFences(ctx)
			}
		}
	}
}

// pauseFences waits after a failed read, since a store that rejects calls counts them as well.
func (g *Gate) pauseFences(ctx context.Context) {
	select {
	case <-g.clock.After(fencePause):
	case <-ctx.Done():
	}
}

// readFence reads a fencing number from the store, or returns 0 if that fails.
func (g *Gate) readFence(ctx context.Context) uint64 {
	limited, cancel := clockwork.WithTimeout(ctx, g.clock, readTimeout)
	defer cancel()
	fence, err := g.deps.Revision(limited)
	if err != nil {
		g.metrics.fences.Add("not read", 1)
		g.log.Debug("no fencing number read", zap.Error(err))
		return 0
	}
	g.metrics.fences.Add("read", 1)
	return fence
}
