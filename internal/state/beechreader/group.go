package beechvouch

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
	// Circle is the processes of a zone that share their reads, as one of them
	// knows it. It is safe for concurrent use.
	Circle struct {
		self netip.AddrPort

		mu    sync.Mutex
		peers map[netip.AddrPort]time.Time // when they were named last
		asked []question
		last  uint64
	}

	// question is one that was sent, at a time of this process's clock.
	question struct {
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
	// readers are asked: the one that reads, and the one that stands in for it.
	readers = 2
	// namedLasts is how long a peer that nobody names any more is still counted:
	// those who name them forget a peer after about as long.
	namedLasts = 4 * time.Second
	// questionsKept may be answered yet. Later answers are of no use: they make a
	// copy no younger than the next question does.
	questionsKept = 8
)

// New returns the circle of a process that knows no peers.
func New(self netip.AddrPort) *Circle {
	return &Circle{self: self, peers: make(map[netip.AddrPort]time.Time)}
}

// Named takes in who is in the zone now, by a third process's word.
func (c *Circle) Named(peers []netip.AddrPort, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, peer := range peers {
		if peer.IsValid() && peer != c.self {
			c.peers[peer] = now
		}
	}
	maps.DeleteFunc(c.peers, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > namedLasts })
}

// ranked gives all processes in the order in which they read. The caller holds
// the lock.
func (c *Circle) ranked(now time.Time) []netip.AddrPort {
	list := []netip.AddrPort{c.self}
	for peer, at := range c.peers {
		if now.Sub(at) <= namedLasts {
			list = append(list, peer)
		}
	}
	slices.SortFunc(list, func(x, y netip.AddrPort) int {
		return cmp.Or(cmp.Compare(score(x), score(y)), x.Compare(y))
	})
	return list
}

func score(peer netip.AddrPort) uint64 { return xxhash.Sum64String(peer.String()) }

// Rank is this process's place in the order, from 0.
func (c *Circle) Rank(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Index(c.ranked(now), c.self)
}

// Readers gives the peers to ask: the first two in the order, without this
// process itself.
func (c *Circle) Readers(now time.Time) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.ranked(now)
	first := list[:min(readers, len(list))]
	return slices.DeleteFunc(slices.Clone(first), func(peer netip.AddrPort) bool { return peer == c.self })
}

// Self is the address of this process.
func (c *Circle) Self() netip.AddrPort { return c.self }

// Peers gives all peers.
func (c *Circle) Peers(now time.Time) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(c.ranked(now), func(peer netip.AddrPort) bool { return peer == c.self })
}

// Knows tells whether a process is a peer.
func (c *Circle) Knows(peer netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.peers[peer]
	return ok
}

// Ask notes that a question is sent now, and gives its number.
func (c *Circle) Ask(now time.Duration) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	c.asked = append(c.asked, question{number: c.last, sent: now})
	c.asked = c.asked[max(len(c.asked)-questionsKept, 0):]
	return c.last
}

// Answered takes in an answer's age, and gives the time, by this process's
// clock, at or after which the copy there was confirmed. It is false where the
// answer proves nothing.
func (c *Circle) Answered(number uint64, age time.Duration) (confirmed time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.asked, func(q question) bool { return q.number == number })
	if i < 0 || age < 0 {
		return 0, false
	}
	return c.asked[i].sent - age, true
}

// Of gives the age for a rank.
func (s Schedule) Of(rank int) time.Duration {
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
