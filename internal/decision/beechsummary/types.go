package beechsummary

import (
	"net/netip"
	"slices"
	"time"
)

type (
	// Load is the part of an engine's state that changes with each request.
	Load struct {
		Running   int
		Waiting   int
		CacheUsed int // tokens
		Reading   int // announced prompt tokens that are not prefilled yet
	}

	// Weights is a version of a model.
	Weights struct {
		Model   string
		Version uint64
	}

	// Status is the part of an engine's state that changes seldom.
	Status struct {
		Port       uint16 // of the engine
		Phase      int
		Weights    []Weights
		CacheTotal int // tokens
		Unanswered int // consecutive orders that the engine has not answered
		LoadTime   time.Duration
		Born       uint64
	}

	// State is an engine's state. Number increases with each report of its keeper.
	State struct {
		Number uint32
		Load
		Status        Status
		OutdatedSince time.Time // since when its weights are outdated; zero if they are not
	}

	// Parts are keys of shared prompt parts that an engine's cache has gained or lost.
	Parts struct {
		Added   []uint64
		Evicted []uint64
		Stored  []uint64 // also in a KV cache store
	}

	// Change is what a summary says of one engine. Base is the low byte of the number at which
	// the status last changed.
	Change struct {
		Host        netip.Addr
		Number      uint32
		Base        uint8
		Load        Load
		Status      *Status       // nil: unchanged
		OutdatedFor time.Duration // with Status
		Parts       Parts
	}

	// Confirmation says that the engine's keeper is heard, and what was last sent of it.
	Confirmation struct {
		Host   netip.Addr
		Number uint8 // low byte
	}

	// Summary is sent to gates.
	Summary struct {
		Changes   []Change
		Confirmed []Confirmation
		Lost      []netip.Addr
	}

	// Update is what a gate learns of an engine: a Changed, a Confirmed or a Lost.
	Update interface{ update() }

	// Changed is a new state of an engine.
	Changed struct {
		Engine netip.AddrPort
		State  State
		Parts  Parts
	}

	// Confirmed means that the known state of an engine still holds.
	Confirmed struct{ Engine netip.AddrPort }

	// Lost means that nothing is heard of an engine any more.
	Lost struct{ Engine netip.AddrPort }

	// Origin tells who sent a summary.
	Origin int

	// Audience is a group of receivers.
	Audience int

	// Collecting tells whether a gate collects an engine, and its place among the collectors of the
	// engine's zone.
	Collecting struct {
		Collected bool
		Slot      int  // 0 or 1
		Alone     bool // there is no second collector
	}

	// Duty is what a gate does for the engines of its zone.
	Duty struct {
		Zones       string // names of the zones whose engines it collects; empty: none
		Gates       int    // receivers of near summaries
		ZoneEngines int    // with a keeper
	}
)

// Origins of summaries.
const (
	Peer  Origin = iota // a collector of this zone, for its gates
	Other               // a collector of another zone, to be handed on
)

// Audiences.
const (
	Near Audience = iota // the gates of this zone
	Far                  // the other zones
)

func (Changed) update()   {}
func (Confirmed) update() {}
func (Lost) update()      {}

func (s Status) equal(t Status) bool {
	return s.Port == t.Port && s.Phase == t.Phase && s.CacheTotal == t.CacheTotal && s.Unanswered == t.Unanswered &&
		s.LoadTime == t.LoadTime && s.Born == t.Born && slices.Equal(s.Weights, t.Weights)
}

func (p Parts) empty() bool { return len(p.Added)+len(p.Evicted)+len(p.Stored) == 0 }

// add appends the keys that are not there yet.
func (p *Parts) add(q Parts) {
	p.Added = union(p.Added, q.Added)
	p.Evicted = union(p.Evicted, q.Evicted)
	p.Stored = union(p.Stored, q.Stored)
}

func union(list, more []uint64) []uint64 {
	for _, key := range more {
		if !slices.Contains(list, key) {
			list = append(list, key)
		}
	}
	return list
}
