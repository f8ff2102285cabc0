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

// The relays must not depend on the order of the zone's list: a keeper's messages
// would otherwise take changing paths and overtake each other.
func TestSelectIgnoresOrder(t *testing.T) {
	is := is.New(t)
	zone := hosts(1, 11)
	relays := Select(host(2, 1), zone)
	slices.Reverse(zone)
	is.Equal(Select(host(2, 1), zone), relays)
	is.Equal(len(relays), 2)
	is.True(relays[0] != relays[1])
}

// Entry hosts are small machines, so no one of them may relay a whole fleet's
// messages for its zone.
func TestLoadIsSpread(t *testing.T) {
	is := is.New(t)
	zone := hosts(1, 11)
	messages := map[netip.AddrPort]int{}
	for i := range 100 {
		relays := Select(host(2, i), zone)
		for n := range uint32(10) {
			for _, relay := range Recipients(relays, n, false) {
				messages[relay]++
			}
		}
	}
	for _, process := range zone {
		is.True(messages[process] < 3*1000/11)
		is.True(messages[process] > 1000/11/3)
	}
}

// A gate dies. Keepers that use it as a relay lose every second message until
// they are told, and only those keepers change relays.
func TestFailedRelayLosesHalfOfTheMessages(t *testing.T) {
	is := is.New(t)
	zone := hosts(1, 11)
	for i := range 100 {
		before := Select(host(2, i), zone)
		received := 0
		for n := range uint32(10) {
			if Recipients(before, n, false)[0] != zone[4] {
				received++
			}
		}
		is.True(received >= 5)
		is.True(slices.ContainsFunc(Recipients(before, 3, true), func(p netip.AddrPort) bool { return p != zone[4] }))
		after := Select(host(2, i), slices.Delete(slices.Clone(zone), 4, 5))
		if !slices.Contains(before, zone[4]) {
			is.Equal(after, before)
		}
	}
}

func TestSmallZonesNeedNoRelays(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Select(host(2, 1), hosts(1, 3))), 0)
	is.Equal(len(Select(host(2, 1), nil)), 0)
	is.Equal(len(Recipients(nil, 1, true)), 0)
	is.Equal(len(Recipients(nil, 1, false)), 0)
}
