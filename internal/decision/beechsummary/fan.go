package beechsummary

import (
	"math"
	"net/netip"
)

// Branch is a receiver of a summary and those that it forwards the summary to.
type Branch struct {
	To      netip.AddrPort
	Forward []netip.AddrPort
}

// maxDirect is the number of receivers up to which a collector sends to each of them.
const maxDirect = 8

// Fan spreads the sending of a summary to many receivers over them: a collector sends to about
// as many as each of these forwards it to. Otherwise what a collector sends would grow with the
// gates of its zone times all engines. The receivers that forward change with the round, so
// that one that is dead costs the others a round.
func Fan(receivers []netip.AddrPort, round uint32) []Branch {
	n := len(receivers)
	if n == 0 {
		return nil
	}
	size := 1
	if n > maxDirect {
		size = int(math.Ceil(math.Sqrt(float64(n))))
	}
	start := int(round % uint32(n))
	var branches []Branch
	for i := 0; i < n; i += size {
		branch := Branch{To: receivers[(start+i)%n]}
		for j := i + 1; j < min(i+size, n); j++ {
			branch.Forward = append(branch.Forward, receivers[(start+j)%n])
		}
		branches = append(branches, branch)
	}
	return branches
}
