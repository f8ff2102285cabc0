// Package beechstrain has what gates learn of an engine beyond its load: how slow work is on its
// host at this moment, and for which urgencies it works. A Board decides when and to whom a
// gate passes it on; it sends nothing itself.
//
// # Usage
//
// A keeper reports a strain to the gates that collect its zone. Both of them record it, and one
// passes it on; the other does so if the first is not heard in time:
//
//	board := beechstrain.New(beechstrain.DefaultSettings, clock)
//	if board.Report(strain, beechstrain.RoleOf(host, slot, alone)) {
//		placer.UpdateStrain(strain)
//	}
//	for board.Due(beechstrain.Near) == 0 {
//		send(board.Next(beechstrain.Near)) // to the gates of this zone
//	}
//
// A gate that is sent strains records those that are newer than what it knows:
//
//	for _, s := range board.Apply(strains, handOn) {
//		placer.UpdateStrain(s)
//	}
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

const (
	usualSlowness = 100
	// A change of the slowness by less than a quarter moves an estimate less than the
	// estimate is wrong by.
	notableSlowness = 4
	// A sixteenth of the memory is about the smallest room that decides where a long prompt goes.
	notableMemory  = 16
	notableRunning = 8 // runs of one urgency
)

// SlownessDiffers reports whether two strains differ in slowness so much that gates should be
// told at once.
func SlownessDiffers(x, y Strain) bool {
	return notableSlowness*abs(x.Slowness-y.Slowness) >= max(min(x.Slowness, y.Slowness), usualSlowness)
}

// RanksDiffer reports whether two strains of an engine with the given memory differ notably in
// what the engine runs.
func RanksDiffer(x, y Strain, cacheTotal int) bool {
	for urgency := range rankCount(x, y) {
		a, b := x.rank(urgency), y.rank(urgency)
		if abs(a.Running-b.Running) >= notableRunning || notableMemory*abs(a.CacheUsed-b.CacheUsed) >= max(cacheTotal, 1) {
			return true
		}
	}
	return false
}

func rankCount(strains ...Strain) int {
	count := 0
	for _, s := range strains {
		for _, r := range s.Ranks {
			count = max(count, r.Urgency+1)
		}
	}
	return count
}

func (s Strain) rank(urgency int) RankLoad {
	for _, r := range s.Ranks {
		if r.Urgency == urgency {
			return r
		}
	}
	return RankLoad{}
}

func abs(n int) int { return max(n, -n) }
