package beechreader

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Group is the set of processes of a zone that share their reads, as known to one of
	// them. It is safe for concurrent use.
	Group struct {
		self netip.AddrPort

		mu           sync.Mutex
		lastReported map[netip.AddrPort]time.Time // when a peer was last reported
		inquiries    []inquiry
		lastNumber   uint64
	}

	// inquiry is an inquiry that was sent, with the time by this process's clock.
	inquiry struct {
		number uint64
		sent   time.Duration
	}

	// Schedule is the age of its copy at which a process reads the store, by rank.
	Schedule struct {
		First  time.Duration
		Second time.Duration
		Others time.Duration
	}
)

const (
	// readersPerZone is the number of processes that receive inquiries: the reader and
	// its standby.
	readersPerZone = 2
	// peerTTL is how long a peer counts after it was last reported. The processes that
	// report peers forget a peer after about the same time.
	peerTTL = 4 * time.Second
	// maxInquiries is the number of inquiries whose answers are still accepted. Later
	// answers are useless: answers to newer inquiries confirm a copy as of a later time.
	maxInquiries = 8
)

// New returns the group of a process that knows no peers.
func New(self netip.AddrPort) *Group {
	return &Group{self: self, lastReported: make(map[netip.AddrPort]time.Time)}
}

// UpdatePeers adds the peers that a third process reports in the zone, and drops the peers
// that have not been reported for longer than peerTTL.
func (g *Group) UpdatePeers(peers []netip.AddrPort, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, peer := range peers {
		if peer.IsValid() && peer != g.self {
			g.lastReported[peer] = now
		}
	}
	maps.DeleteFunc(g.lastReported, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > peerTTL })
}

// ranked returns all processes by rank. The caller must hold the lock.
func (g *Group) ranked(now time.Time) []netip.AddrPort {
	list := []netip.AddrPort{g.self}
	for peer, at := range g.lastReported {
		if now.Sub(at) <= peerTTL {
			list = append(list, peer)
		}
	}
	slices.SortFunc(list, func(x, y netip.AddrPort) int {
		return cmp.Or(cmp.Compare(rankHash(x), rankHash(y)), x.Compare(y))
	})
	return list
}

func rankHash(peer netip.AddrPort) uint64 { return xxhash.Sum64String(peer.String()) }

// Rank returns the rank of this process, from 0.
func (g *Group) Rank(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Index(g.ranked(now), g.self)
}

// Readers returns the peers to send inquiries to: the processes with the two lowest ranks,
// without this process itself.
func (g *Group) Readers(now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.ranked(now)
	first := list[:min(readersPerZone, len(list))]
	return slices.DeleteFunc(slices.Clone(first), func(peer netip.AddrPort) bool { return peer == g.self })
}

// Self returns the address of this process.
func (g *Group) Self() netip.AddrPort { return g.self }

// Peers returns all peers by rank.
func (g *Group) Peers(now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(g.ranked(now), func(peer netip.AddrPort) bool { return peer == g.self })
}

// HasPeer reports whether a process is a peer.
func (g *Group) HasPeer(peer netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.lastReported[peer]
	return ok
}

// StartInquiry records that an inquiry is sent now, and returns its number.
func (g *Group) StartInquiry(now time.Duration) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber++
	g.inquiries = append(g.inquiries, inquiry{number: g.lastNumber, sent: now})
	g.inquiries = g.inquiries[max(len(g.inquiries)-maxInquiries, 0):]
	return g.lastNumber
}

// ConfirmedAt takes the number of an inquiry and the age from its answer. It returns a time
// by this process's clock, and the peer's copy was confirmed at or after it. Ok is false if
// the answer proves nothing.
func (g *Group) ConfirmedAt(number uint64, age time.Duration) (confirmed time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.inquiries, func(q inquiry) bool { return q.number == number })
	if i < 0 || age < 0 {
		return 0, false
	}
	return g.inquiries[i].sent - age, true
}

// ForRank returns the age for a rank.
func (s Schedule) ForRank(rank int) time.Duration {
	switch rank {
	case 0:
		return s.First
	case 1:
		return s.Second
	}
	return s.Others
}

// Scaled returns a schedule with all ages multiplied by a factor.
func (s Schedule) Scaled(factor float64) Schedule {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	return Schedule{First: scale(s.First), Second: scale(s.Second), Others: scale(s.Others)}
}
