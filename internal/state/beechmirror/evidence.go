package beechmirror

import (
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

type (
	// Means is how a mirror has learned something.
	Means string

	// Evidence is what a change or a proof of a copy rests on.
	Evidence struct {
		Means Means
		Peer  netip.AddrPort // that told it; invalid: the store did
	}
)

// Means of changes and proofs.
const (
	ByRead     Means = "read"
	ByRevision Means = "revision of another read"
	ByWatch    Means = "watch"
	ByChanges  Means = "changes of a peer's watch"
	ByCopy     Means = "copy of a peer"
	ByProof    Means = "proof of a peer"
	ByExpiry   Means = "end of keeping"
)

// Why a mirror watches the store.
const (
	watchForPeers   = "peers rely on it"
	watchUnattended = "no peer proved that it watches"
)

// LastChange returns what the last change of the items rests on. It may be called from the callback of New.
func (m *Mirror) LastChange() Evidence { return loadEvidence(&m.lastChange) }

// LastProof returns what the last proof of the copy's age rests on. It may be called from the callback of New.
func (m *Mirror) LastProof() Evidence { return loadEvidence(&m.lastProof) }

// String returns the means and the peer.
func (e Evidence) String() string {
	if e.Peer.IsValid() {
		return string(e.Means) + " " + e.Peer.String()
	}
	return string(e.Means)
}

func loadEvidence(p *atomic.Pointer[Evidence]) Evidence {
	if e := p.Load(); e != nil {
		return *e
	}
	return Evidence{}
}

// logWatch logs that this process begins to watch the store, or leaves that to a peer. The caller must hold the lock.
func (m *Mirror) logWatch(watches bool) {
	if m.watchKnown && m.watches == watches {
		return
	}
	m.watchKnown, m.watches = true, watches
	fields := []zap.Field{zap.Duration("age", m.freshness.Age()), zap.Stringer("provenBy", m.LastProof())}
	if !watches {
		m.log.Info("store watched by a peer", fields...)
		return
	}
	reason := watchUnattended
	if m.alwaysWatch {
		reason = watchForPeers
	}
	if !m.peerWatchAt.IsZero() {
		fields = append(fields, zap.Duration("sincePeer", m.clock.Since(m.peerWatchAt).Truncate(time.Millisecond)))
	}
	m.log.Info("watches the store", append(fields, zap.String("reason", reason))...)
}
