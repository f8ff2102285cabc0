package beechrelay

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func host(net, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(net), byte(i >> 8), byte(i)}), 7340)
}

func hosts(net, n int) []netip.AddrPort {
	var list []netip.AddrPort
	for i := range n {
		list = append(list, host(net, i))
	}
	return list
}

// Whatever order the list comes in, the same relays stand in for a zone: a keeper's
// words would wander over the zone otherwise, and overtake one another.
func TestOrderOfTheListDoesNotMatter(t *testing.T) {
	is := is.New(t)
	zone := hosts(1, 11)
	relays := Select(host(2, 1), zone)
	slices.Reverse(zone)
	is.Equal(Select(host(2, 1), zone), relays)
	is.Equal(len(relays), 2)
	is.True(relays[0] != relays[1])
}

// Entry hosts are thin, so no one of them may carry the words of a whole fleet for
// its zone.
func TestRelayingIsSpread(t *testing.T) {
	is := is.New(t)
	zone := hosts(1, 11)
	words := map[netip.AddrPort]int{}
	for i := range 100 {
		relays := Select(host(2, i), zone)
		for n := range uint32(10) {
			for _, relay := range Recipients(relays, n, false) {
				words[relay]++
			}
		}
	}
	for _, process := range zone {
		is.True(words[process] < 3*1000/11)
		is.True(words[process] > 1000/11/3)
	}
}

// A gate dies. The keepers whose relay it was lose every second word until they hear
// so, and only those change a relay then.
func TestRelayThatDiesTakesHalfOfTheWords(t *testing.T) {
	is := is.New(t)
	zone := hosts(1, 11)
	for i := range 100 {
		before := Select(host(2, i), zone)
		heard := 0
		for n := range uint32(10) {
			if Recipients(before, n, false)[0] != zone[4] {
				heard++
			}
		}
		is.True(heard >= 5)
		is.True(slices.ContainsFunc(Recipients(before, 3, true), func(p netip.AddrPort) bool { return p != zone[4] }))
		after := Select(host(2, i), slices.Delete(slices.Clone(zone), 4, 5))
		if !slices.Contains(before, zone[4]) {
			is.Equal(after, before)
		}
	}
}

func TestFewAreToldDirectly(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Select(host(2, 1), hosts(1, 3))), 0)
	is.Equal(len(Select(host(2, 1), nil)), 0)
	is.Equal(len(Recipients(nil, 1, true)), 0)
	is.Equal(len(Recipients(nil, 1, false)), 0)
}
