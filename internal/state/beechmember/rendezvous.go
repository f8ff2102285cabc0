package beechmember

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

type scored struct {
	address netip.AddrPort
	score   uint64
}

// Rank returns the n members with the highest rendezvous score for key, the
// highest first, or all if there are fewer. Processes with the same members
// get the same result. When a member is added or removed, only the keys that
// it gains or had move.
func Rank(key string, members []netip.AddrPort, n int) []netip.AddrPort {
	seed := xxh3.HashString(key)
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{address: m, score: score(seed, m)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.address.Compare(b.address))
	})
	top := make([]netip.AddrPort, 0, min(n, len(all)))
	for _, s := range all[:min(n, len(all))] {
		top = append(top, s.address)
	}
	return top
}

// Highest returns the member with the highest score, or the zero address if
// there are no members. It does not allocate.
func Highest(key string, members []netip.AddrPort) netip.AddrPort {
	seed := xxh3.HashString(key)
	var best scored
	for _, m := range members {
		s := scored{address: m, score: score(seed, m)}
		if !best.address.IsValid() || s.score > best.score || (s.score == best.score && m.Compare(best.address) < 0) {
			best = s
		}
	}
	return best.address
}

func score(seed uint64, m netip.AddrPort) uint64 {
	b := m.Addr().As16()
	port := m.Port()
	text := [18]byte{16: byte(port >> 8), 17: byte(port)}
	copy(text[:], b[:])
	return xxh3.HashSeed(text[:], seed)
}
