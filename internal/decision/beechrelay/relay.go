// Package beechrelay decides through which processes of an availability zone a
// word to all of them goes.
//
// # Load it answers
//
// A keeper tells every gate how its engine stands, several times a second, so that
// words grow with keepers times gates and become most of what crosses the borders
// of zones. Inside a zone bytes cost nothing. So a zone hears through one of its
// gates, which passes the word on.
//
// # How it decides
//
// Two relays of a zone take turns, by rendezvous hash of the sender and each of the
// zone's processes, so that a zone's work is spread over all of them, and few
// senders change theirs when one comes or goes. A relay that has died or stalls
// loses every second word until its zone's list drops it, no more. What must not
// be lost goes through both. A zone of a few is told directly: there is nothing to
// save.
//
// # Usage
//
//	relays := beechrelay.Of(self, zone)       // nil: tell each directly
//	to := beechrelay.Take(relays, n, certain) // for the n-th word
package beechrelay

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// relays of a zone share the words of a sender.
	relays = 2
	// few processes are told directly.
	few = 3
)

// Select gives the relays of a zone's processes for a sender; none where they are few.
func Select(sender netip.AddrPort, zone []netip.AddrPort) []netip.AddrPort {
	if len(zone) <= few {
		return nil
	}
	type scored struct {
		process netip.AddrPort
		score   uint64
	}
	list := make([]scored, 0, len(zone))
	for _, process := range zone {
		list = append(list, scored{process, score(sender, process)})
	}
	slices.SortFunc(list, func(x, y scored) int {
		return cmp.Or(cmp.Compare(x.score, y.score), x.process.Compare(y.process))
	})
	first := make([]netip.AddrPort, 0, relays)
	for _, s := range list[:relays] {
		first = append(first, s.process)
	}
	return first
}

// Recipients gives the relays for the n-th word: one of them by turns, or all where the
// word must not be lost.
func Recipients(relays []netip.AddrPort, n uint32, certain bool) []netip.AddrPort {
	if certain || len(relays) == 0 {
		return relays
	}
	i := int(n % uint32(len(relays)))
	return relays[i : i+1]
}

func score(sender, process netip.AddrPort) uint64 {
	var text [36]byte
	from, to := sender.Addr().As16(), process.Addr().As16()
	copy(text[:16], from[:])
	copy(text[16:32], to[:])
	binary.BigEndian.PutUint16(text[32:34], sender.Port())
	binary.BigEndian.PutUint16(text[34:], process.Port())
	return xxhash.Sum64(text[:])
}
