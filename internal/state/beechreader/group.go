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
	// Group is the processes of a zone that share their reads, as one of them
	// knows it. It is safe for concurrent use.
	Group struct {
		self netip.AddrPort

		mu         sync.Mutex
		lastNamed  map[netip.AddrPort]time.Time // when they were named last
		inquiries  []inquiry
		lastNumber uint64
	}

	// inquiry is one that was sent, at a time of this process's clock.
	inquiry struct {
		number uint64
		sent   time.Duration
	}

	// Schedule is the age of a copy at which a process reads the store, by its
	// rank.
	Schedule struct {
		First  time.Duration
		Second time.Duration
		Others time.Duration
	}
)

const (
	// readersPerZone are asked: the one that reads, and the one that stands in for it.
	readersPerZone = 2
	// peerTTL is how long a peer that nobody names any more is still counted:
	// those who name them forget a peer after about as long.
	peerTTL = 4 * time.Second
	// maxInquiries may be answered yet. Later answers are of no use: they make a
	// copy no younger than the next question does.
	maxInquiries = 8
)

// New returns the circle of a process that knows no peers.
func New(self netip.AddrPort) *Group {
	return &Group{self: self, lastNamed: make(map[netip.AddrPort]time.Time)}
}

// UpdatePeers takes in who is in the zone now, by a third process's word.
func (g *Group) UpdatePeers(peers []netip.AddrPort, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, peer := range peers {
		if peer.IsValid() && peer != g.self {
			g.lastNamed[peer] = now
		}
	}
	maps.DeleteFunc(g.lastNamed, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > peerTTL })
}

// ranked gives all processes in the order in which they read. The caller holds
// the lock.
func (g *Group) ranked(now time.Time) []netip.AddrPort {
	list := []netip.AddrPort{g.self}
	for peer, at := range g.lastNamed {
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

// Rank is this process's place in the order, from 0.
func (g *Group) Rank(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Index(g.ranked(now), g.self)
}

// Readers gives the peers to ask: the first two in the order, without this
// process itself.
func (g *Group) Readers(now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.ranked(now)
	first := list[:min(readersPerZone, len(list))]
	return slices.DeleteFunc(slices.Clone(first), func(peer netip.AddrPort) bool { return peer == g.self })
}

// Self is the address of this process.
func (g *Group) Self() netip.AddrPort { return g.self }

// Peers gives all peers.
func (g *Group) Peers(now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(g.ranked(now), func(peer netip.AddrPort) bool { return peer == g.self })
}

// HasPeer tells whether a process is a peer.
func (g *Group) HasPeer(peer netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.lastNamed[peer]
	return ok
}

// StartInquiry notes that a question is sent now, and gives its number.
func (g *Group) StartInquiry(now time.Duration) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber++
	g.inquiries = append(g.inquiries, inquiry{number: g.lastNumber, sent: now})
	g.inquiries = g.inquiries[max(len(g.inquiries)-maxInquiries, 0):]
	return g.lastNumber
}

// ConfirmedAt takes in an answer's age, and gives the time, by this process's
// clock, at or after which the copy there was confirmed. It is false where the
// answer proves nothing.
func (g *Group) ConfirmedAt(number uint64, age time.Duration) (confirmed time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.inquiries, func(q inquiry) bool { return q.number == number })
	if i < 0 || age < 0 {
		return 0, false
	}
	return g.inquiries[i].sent - age, true
}

// ForRank gives the age for a rank.
func (s Schedule) ForRank(rank int) time.Duration {
	switch rank {
	case 0:
		return s.First
	case 1:
		return s.Second
	}
	return s.Others
}

// Scaled gives all ages times a factor.
func (s Schedule) Scaled(factor float64) Schedule {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	return Schedule{First: scale(s.First), Second: scale(s.Second), Others: scale(s.Others)}
}
