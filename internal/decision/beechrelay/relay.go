// Package beechrelay selects the processes of an availability zone that relay
// messages from other zones to the rest of their zone.
//
// # Why
//
// A gate tells all others several times a second what it has admitted of quotas and
// servers' limits, so the number of messages grows with the square of the gates. Traffic
// between zones is billed, traffic inside a zone is free. Each message is therefore sent to
// one gate of another zone, which relays it to the others there.
//
// # Algorithm
//
// A sender alternates between two relays per zone, which are chosen by rendezvous
// hashing of the sender and each process of the zone. This spreads a zone's relaying
// over all of its processes, and few senders change relays when a process joins or
// leaves. A relay that has died or stalls loses only every second message, until it
// is removed from the zone's list. Messages that must not be lost go through both
// relays. Small zones are sent to directly, since relaying would save nothing.
//
// # Usage
//
//	relays := beechrelay.Select(self, zone)       // nil: send to each process directly
//	to := beechrelay.Recipients(relays, n, false) // for the n-th message
package beechrelay

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// relaysPerZone is the number of relays that a sender alternates between.
	relaysPerZone = 2
	// maxDirect is the largest number of processes in a zone that are sent to
	// directly.
	maxDirect = 3
)

// Select returns a sender's relays in a zone, given the zone's processes, or nil
// if the zone is small enough to be sent to directly.
func Select(sender netip.AddrPort, zone []netip.AddrPort) []netip.AddrPort {
	if len(zone) <= maxDirect {
		return nil
	}
	type candidate struct {
		process netip.AddrPort
		score   uint64
	}
	candidates := make([]candidate, 0, len(zone))
	for _, process := range zone {
		candidates = append(candidates, candidate{process, score(sender, process)})
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.score, y.score), x.process.Compare(y.process))
	})
	chosen := make([]netip.AddrPort, 0, relaysPerZone)
	for _, c := range candidates[:relaysPerZone] {
		chosen = append(chosen, c.process)
	}
	return chosen
}

// Recipients returns the relays that the n-th message is sent to: one of them in
// turn, or all of them for a message that must not be lost.
func Recipients(relays []netip.AddrPort, n uint32, all bool) []netip.AddrPort {
	if all || len(relays) == 0 {
		return relays
	}
	i := int(n % uint32(len(relays)))
	return relays[i : i+1]
}

func score(sender, process netip.AddrPort) uint64 {
	var buf [36]byte
	from, to := sender.Addr().As16(), process.Addr().As16()
	copy(buf[:16], from[:])
	copy(buf[16:32], to[:])
	binary.BigEndian.PutUint16(buf[32:34], sender.Port())
	binary.BigEndian.PutUint16(buf[34:], process.Port())
	return xxhash.Sum64(buf[:])
}
