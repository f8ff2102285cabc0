package beechsummary

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// A zone has hundreds of gates. Each must get every summary once, and over the rounds all of them
// forward about as often as others, as most of them are weak hosts.
func TestFanReachesAllAndSpreadsTheWork(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, 8, 9, 59, 118, 400} {
		var receivers []netip.AddrPort
		for i := range n {
			receivers = append(receivers, netip.AddrPortFrom(host(i), 7340))
		}
		forwards := map[netip.AddrPort]int{}
		const rounds = 400
		for round := range uint32(rounds) {
			reached := map[netip.AddrPort]int{}
			branches := Fan(receivers, round)
			for _, b := range branches {
				reached[b.To]++
				forwards[b.To] += len(b.Forward)
				for _, to := range b.Forward {
					reached[to]++
				}
			}
			is.Equal(len(reached), n)
			for _, times := range reached {
				is.Equal(times, 1)
			}
			is.True(n <= maxDirect || len(branches) <= n/3) // what a collector sends
		}
		for _, count := range forwards {
			is.True(count <= 4*rounds) // four a round at most, on the average of all rounds
		}
	}
}
