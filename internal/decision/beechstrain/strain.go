// Package beechstrain has what gates learn of an engine beyond its load: how slow work is on its
// host at this moment, and for which urgencies it works.
//
// # Usage
//
//	placer.UpdateStrain(beechstrain.Strain{Host: host, Number: 7, Slowness: 250})
package beechstrain

import "net/netip"

type (
	// RankLoad is what an engine runs of one urgency.
	RankLoad struct {
		Urgency   int // 0 is the most urgent
		Running   int
		CacheUsed int // tokens in its memory
	}

	// Strain is the state of an engine's host and of what it runs. Number increases with each
	// message of its keeper.
	Strain struct {
		Host     netip.Addr
		Number   uint32
		Slowness int        // how long work takes at this moment, in percent of the usual; 0: not known
		Ranks    []RankLoad // urgencies of which it runs requests
	}
)
