package beechkeeper

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
)

const (
	// fenceInterval is the time between requests for a fencing number, each to another gate.
	fenceInterval = 300 * time.Millisecond
	// fenceRefreshInterval is the same while the engine refuses the latest one.
	fenceRefreshInterval = 2 * time.Second
	// fenceRepeatInterval is the time between requests to the same gate. It exceeds the time
	// in which a gate answers, also if it cannot read the store.
	fenceRepeatInterval = 1200 * time.Millisecond
	// legacyProofs is the number of requests that a gate must have received and left without
	// an answer to count as one of a release that does not know them.
	legacyProofs = 3
)

// fenceRequests are this process's requests for a fencing number. Their numbers begin at random,
// so that late answers to the process before are told from those to this one.
type fenceRequests struct {
	first    uint64
	count    uint64
	answered bool // a gate has answered one
	legacy   bool // no gate knows them
}

// next returns the number of the next request.
func (f *fenceRequests) next() uint64 {
	f.count++
	return f.first + f.count - 1
}

// sent reports whether this process has sent the request with a number.
func (f *fenceRequests) sent(number uint64) bool { return number-f.first < f.count }

// acquireFence requests a fencing number from gates, one after the other, until the updater
// needs none.
func (k *Keeper) acquireFence(ctx context.Context) error {
	for ctx.Err() == nil {
		var repeat <-chan time.Time
		if interval := k.requestFence(); interval > 0 {
			repeat = k.deps.Clock.After(interval)
		}
		select {
		case <-repeat:
		case <-k.fenceDue:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// requestFence sends a request to the gate that was asked least recently, and returns the time
// until the next one; 0: no number is needed. The inquiry beside it is answered by gates of all
// releases, and thereby tells whether the gate has heard.
func (k *Keeper) requestFence() (interval time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.updater.NeedsFence() {
		return 0
	}
	interval = fenceInterval
	if k.updater.Fence() > 0 {
		interval = fenceRefreshInterval
	}
	now := k.deps.Clock.Now()
	to, ok := k.nextFenceGate(now)
	if !ok {
		return interval
	}
	number := k.fences.next()
	scope := beechdatagram.Scope(k.gates[to].zone != k.settings.Zone)
	k.gates[to].askedAt = now
	k.send([]netip.AddrPort{to}, scope, beechdatagram.Acquire{Acquire: &beechwire.Acquire{Number: number}})
	k.send([]netip.AddrPort{to}, scope, beechdatagram.Inquiry{Inquiry: &beechwire.Inquiry{Number: number}})
	return interval
}

// nextFenceGate returns the gate to ask, if one may be asked now. The caller holds the lock.
func (k *Keeper) nextFenceGate(now time.Time) (to netip.AddrPort, ok bool) {
	for address, gate := range k.gates {
		if now.Sub(gate.askedAt) < fenceRepeatInterval {
			continue
		}
		if !ok || k.asksBefore(gate, k.gates[to]) {
			to, ok = address, true
		}
	}
	return to, ok
}

// asksBefore reports whether to ask gate x before gate y: one not asked for longer, else one
// of this zone.
func (k *Keeper) asksBefore(x, y *gateState) bool {
	if !x.askedAt.Equal(y.askedAt) {
		return x.askedAt.Before(y.askedAt)
	}
	return x.zone == k.settings.Zone && y.zone != k.settings.Zone
}

// receiveFence handles a gate's answer to a request for a fencing number.
func (k *Keeper) receiveFence(from netip.AddrPort, m beechdatagram.Fence) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.fences.sent(m.Number) {
		return
	}
	k.fences.answered, k.fences.legacy = true, false
	k.updater.SetLegacyGates(false)
	if !k.updater.NeedsFence() || m.Fence.Fence <= k.updater.Fence() {
		return
	}
	k.updater.SetFence(m.Fence.Fence)
	k.deps.Log.Info("fencing number acquired", zap.Uint64("fence", m.Fence.Fence), zap.Stringer("peer", from))
	beechtask.Notify(k.wake)
}

// receiveProof handles a gate's answer to the inquiry beside a request for a fencing number.
func (k *Keeper) receiveProof(from netip.AddrPort, m beechdatagram.Proof) {
	k.mu.Lock()
	defer k.mu.Unlock()
	gate, follows := k.gates[from]
	if !follows || k.fences.answered || k.fences.legacy || !k.fences.sent(m.Number) {
		return
	}
	gate.proofs++
	for _, g := range k.gates {
		if g.proofs < legacyProofs {
			return
		}
	}
	k.fences.legacy = true
	k.updater.SetLegacyGates(true)
	k.deps.Log.Warn("no gate reads fencing numbers", zap.Int("gates", len(k.gates)))
}
