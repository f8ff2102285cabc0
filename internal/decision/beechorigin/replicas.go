package beechorigin

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Gate is a gate that may keep the origins of other gates' streams.
type Gate struct {
	Address netip.AddrPort
	Zone    string
}

const (
	// copies is how many other gates keep an origin. With three, a stream can be continued with
	// probability 5/6 though more than half of all gates are lost at once, and its own among them.
	copies = 3
	// maxAsked bounds the gates that are asked for an origin: the copies, and gates of the zone in
	// which the caller is, which has probably served the beginning.
	maxAsked = 12
	// keyBytes is the size of what is hashed: a hash of the ID, an address and a port.
	keyBytes = 8 + 16 + 2
)

// Replicas returns the gates that keep the origin of the stream that began with a request. At least
// one is in another zone than the first, if there are several zones.
func Replicas(id string, gates []Gate) []Gate {
	kept := best(id, gates, copies, func(Gate) bool { return true })
	if len(kept) < copies {
		return kept
	}
	otherZone := func(g Gate) bool { return g.Zone != kept[0].Zone }
	if !slices.ContainsFunc(kept, otherZone) {
		if other := best(id, gates, 1, otherZone); len(other) > 0 {
			kept[copies-1] = other[0]
		}
	}
	return kept
}

// Survivor returns the one of the gates that keep an origin that is told of a beginning while a service has one version only.
// It is in another zone than the gate that tells, if one of the first two is: those are asked whatever gate asks.
func Survivor(id, zone string, gates []Gate) []Gate {
	first := Replicas(id, gates)
	first = first[:min(len(first), 2)]
	if i := slices.IndexFunc(first, func(g Gate) bool { return g.Zone != zone }); i > 0 {
		return first[i : i+1]
	}
	return first[:min(len(first), 1)]
}

// Asked returns the gates to ask for the origin of a stream: those that keep it, and others of the
// given zone.
func Asked(id, zone string, gates []Gate) []Gate {
	asked := Replicas(id, gates)
	return append(asked, best(id, gates, maxAsked-len(asked), func(g Gate) bool {
		return g.Zone == zone && !slices.Contains(asked, g)
	})...)
}

// best returns the first count accepted gates by rendezvous hashing.
func best(id string, gates []Gate, count int, accept func(Gate) bool) []Gate {
	type scored struct {
		score uint64
		index int
	}
	key := binary.LittleEndian.AppendUint64(make([]byte, 0, keyBytes), xxhash.Sum64String(id))
	first := make([]scored, 0, count+1) // by descending score
	for i, g := range gates {
		address := g.Address.Addr().As16()
		s := scored{xxhash.Sum64(binary.LittleEndian.AppendUint16(append(key, address[:]...), g.Address.Port())), i}
		if (len(first) == count && s.score <= first[count-1].score) || !accept(g) {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, s, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
		first = slices.Insert(first, at, s)
		first = first[:min(len(first), count)]
	}
	chosen := make([]Gate, 0, len(first))
	for _, s := range first {
		chosen = append(chosen, gates[s.index])
	}
	return chosen
}
