package beechorigin

import (
	"cmp"
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
)

// Keepers returns the gates that keep the origin of the stream that began with a request. At least
// one is in another zone than the first, if there are several zones.
func Keepers(id string, gates []Gate) []Gate {
	ranked := rank(id, gates)
	if len(ranked) <= copies {
		return ranked
	}
	kept := ranked[:copies]
	sameZone := func(g Gate) bool { return g.Zone == kept[0].Zone }
	if !slices.ContainsFunc(kept, func(g Gate) bool { return !sameZone(g) }) {
		if other := slices.IndexFunc(ranked, func(g Gate) bool { return !sameZone(g) }); other >= 0 {
			kept[copies-1] = ranked[other]
		}
	}
	return kept
}

// Asked returns the gates to ask for the origin of a stream: those that keep it, and others of the
// given zone.
func Asked(id, zone string, gates []Gate) []Gate {
	asked := slices.Clone(Keepers(id, gates))
	for _, g := range rank(id, gates) {
		if len(asked) >= maxAsked {
			break
		}
		if g.Zone == zone && !slices.Contains(asked, g) {
			asked = append(asked, g)
		}
	}
	return asked
}

// rank orders gates by rendezvous hashing.
func rank(id string, gates []Gate) []Gate {
	type scored struct {
		gate  Gate
		score uint64
	}
	list := make([]scored, 0, len(gates))
	for _, g := range gates {
		list = append(list, scored{g, xxhash.Sum64String(id + g.Address.String())})
	}
	slices.SortFunc(list, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	ranked := make([]Gate, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.gate)
	}
	return ranked
}
