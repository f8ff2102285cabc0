package beechroute

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
)

// pointsPerServer is the number of points that each server has on the ring. With
// 16, the shares of keys differ by about a quarter between servers, which the cost
// compensates.
const pointsPerServer = 16

type (
	point struct {
		hash   uint64
		server *server
	}

	// ring is a consistent hash ring of the servers of one model. Entry hosts that
	// know the same servers find the same homes for a key without communication. A
	// server that joins or leaves moves only its own share of keys.
	ring struct {
		servers []*server
		points  []point
		starts  []int32 // by the first bits of a hash: index of the first point with these bits or more
		shift   int
	}
)

func newRing(servers []*server) *ring {
	g := &ring{servers: servers, points: make([]point, 0, len(servers)*pointsPerServer)}
	for _, s := range servers {
		hash := addressHash(s.Address)
		for range pointsPerServer {
			hash = mix(hash)
			g.points = append(g.points, point{hash: hash, server: s})
		}
	}
	slices.SortFunc(g.points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	g.buildIndex()
	return g
}

// buildIndex makes a lookup take one or two steps whatever the number of points:
// hashes are uniformly distributed, so with about as many starts as points, each
// start is next to the point that is looked for.
func (g *ring) buildIndex() {
	bits := bits.Len(uint(len(g.points)))
	g.shift = 64 - bits
	g.starts = make([]int32, 1<<bits)
	at := 0
	for i := range g.starts {
		for at < len(g.points) && g.points[at].hash>>g.shift < uint64(i) {
			at++
		}
		g.starts[i] = int32(at)
	}
}

// home returns the key's home of a rank, 0 being the first. The ranks are looked up
// independently, so that the loss of one home does not move the others.
func (g *ring) home(key Key, rank int) *server {
	hash := mix(binary.LittleEndian.Uint64(key[:]) + uint64(rank)*0x9e3779b97f4a7c15)
	i := int(g.starts[hash>>g.shift])
	for i < len(g.points) && g.points[i].hash < hash {
		i++
	}
	return g.points[i%len(g.points)].server
}

func addressHash(a netip.AddrPort) uint64 {
	bytes := a.Addr().As16()
	hash := mix(binary.LittleEndian.Uint64(bytes[:8]))
	hash = mix(hash ^ binary.LittleEndian.Uint64(bytes[8:]))
	return mix(hash ^ uint64(a.Port()))
}

// mix is the finalizer of splitmix64: each bit of the result depends on all bits of
// x.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
