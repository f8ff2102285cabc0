package beechgossip

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// capableShare is the share of the largest capacity from which on a member is given duties:
// hosts of one fleet may differ several times over, and a duty for all costs the same at each.
const capableShare = 0.5

// Choose returns the addresses of up to n members that do a duty, by rank.
func Choose(list []Member, duty string, n int) []netip.AddrPort {
	largest := 0
	for _, m := range list {
		largest = max(largest, m.Capacity)
	}
	type candidate struct {
		address netip.AddrPort
		score   uint64
	}
	candidates := make([]candidate, 0, len(list))
	for _, m := range list {
		if float64(m.Capacity) >= capableShare*float64(largest) {
			candidates = append(candidates, candidate{m.Address, xxhash.Sum64String(duty + " " + m.Address.String())})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.score, y.score), x.address.Compare(y.address))
	})
	chosen := make([]netip.AddrPort, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		chosen = append(chosen, c.address)
	}
	return chosen
}
