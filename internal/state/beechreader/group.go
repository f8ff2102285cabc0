package beechreader

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

type (
	// Group is what a process knows of the others that share reads with it. It is safe for
	// concurrent use.
	Group struct {
		self netip.AddrPort

		mu         sync.Mutex
		fleet      []netip.AddrPort // the readers of the fleet, by rank
		zone       []netip.AddrPort // those of this process's zone
		inquiries  []inquiry
		lastNumber uint64 // begins at random, so that a late answer to the process before at this address is none to this one
	}

	// Role is what a process does for the others.
	Role int

	// inquiry is an inquiry that was sent, with the time by this process's clock.
	inquiry struct {
		number uint64
		sent   time.Duration
	}
)

// Roles.
const (
	Follower Role = iota
	ZoneSecond
	ZoneFirst
	Second
	First
)

const (
	// Readers is the number of readers of the fleet and of each zone: one and its standby.
	Readers = 2
	// maxInquiries is the number of inquiries whose answers are still accepted. Later
	// answers are useless: answers to newer inquiries confirm a copy as of a later time.
	maxInquiries = 8
)

// New returns the group of a process that knows no others and therefore reads for itself.
func New(self netip.AddrPort) *Group {
	return &Group{self: self, fleet: []netip.AddrPort{self}, lastNumber: uint64(rand.Uint32())}
}

// SetReaders sets the readers of the fleet and of this process's zone, by rank. Without
// readers of the fleet this process reads for itself.
func (g *Group) SetReaders(fleet, zone []netip.AddrPort) {
	if len(fleet) == 0 {
		fleet = []netip.AddrPort{g.self}
	}
	g.mu.Lock()
	g.fleet, g.zone = fleet, zone
	g.mu.Unlock()
}

// Role returns what this process does.
func (g *Group) Role() Role {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.role()
}

func (g *Group) role() Role {
	switch {
	case g.fleet[0] == g.self:
		return First
	case slices.Contains(g.fleet, g.self):
		return Second
	case len(g.zone) > 0 && g.zone[0] == g.self:
		return ZoneFirst
	case slices.Contains(g.zone, g.self):
		return ZoneSecond
	}
	return Follower
}

// Targets returns the processes that are sent inquiries: the readers of the fleet by its
// other readers and the readers of a zone, and these by all others of the zone.
func (g *Group) Targets() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.fleet
	if g.role() == Follower && len(g.zone) > 0 {
		list = g.zone
	}
	return slices.DeleteFunc(slices.Clone(list), func(peer netip.AddrPort) bool { return peer == g.self })
}

// Self returns the address of this process.
func (g *Group) Self() netip.AddrPort { return g.self }

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
