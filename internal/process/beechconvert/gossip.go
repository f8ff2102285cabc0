package beechconvert

import (
	"net/netip"
	"slices"

	"github.com/beechring/beechring/internal/decision/beechgossip"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// Acts of a wire Gossip.
const (
	actPing = iota + 1
	actAck
	actProbeRequest
	actChanges
	actList
)

// WireGossip converts a membership message to its wire form.
func WireGossip(m beechgossip.Message) *beechwire.Gossip {
	g := &beechwire.Gossip{}
	var members []beechgossip.Member
	switch v := m.(type) {
	case beechgossip.Ping:
		g.Act, g.Sequence, g.Digest, members = actPing, v.Sequence, v.Digest, v.Members
	case beechgossip.Ack:
		g.Act, g.Sequence, g.Digest, members = actAck, v.Sequence, v.Digest, v.Members
	case beechgossip.ProbeRequest:
		g.Act, g.Sequence, g.Target, members = actProbeRequest, v.Sequence, wireAddress(v.Target), v.Members
	case beechgossip.Changes:
		g.Act, members = actChanges, v.Members
	case beechgossip.List:
		g.Act, g.Reply, members = actList, v.Reply, v.Members
	}
	for _, member := range members {
		zone := slices.Index(g.Zones, member.Zone)
		if zone < 0 {
			zone = len(g.Zones)
			g.Zones = append(g.Zones, member.Zone)
		}
		g.Members = append(g.Members, beechwire.Node{
			Address: wireAddress(member.Address), Zone: zone, Capacity: member.Capacity, Incarnation: member.Incarnation, Status: int(member.Status),
		})
	}
	return g
}

// Gossip converts a membership message from its wire form. Members with an invalid address
// stay in the list without one, so that they are counted as invalid. Ok is false if the kind
// of message is unknown.
func Gossip(g *beechwire.Gossip) (m beechgossip.Message, ok bool) {
	members := make([]beechgossip.Member, 0, len(g.Members))
	for _, node := range g.Members {
		member := beechgossip.Member{Address: address(node.Address), Capacity: node.Capacity, Incarnation: node.Incarnation, Status: beechgossip.Status(node.Status)}
		if node.Zone >= 0 && node.Zone < len(g.Zones) {
			member.Zone = g.Zones[node.Zone]
		}
		members = append(members, member)
	}
	switch g.Act {
	case actPing:
		return beechgossip.Ping{Sequence: g.Sequence, Digest: g.Digest, Members: members}, true
	case actAck:
		return beechgossip.Ack{Sequence: g.Sequence, Digest: g.Digest, Members: members}, true
	case actProbeRequest:
		return beechgossip.ProbeRequest{Sequence: g.Sequence, Target: address(g.Target), Members: members}, true
	case actChanges:
		return beechgossip.Changes{Members: members}, true
	case actList:
		return beechgossip.List{Members: members, Reply: g.Reply}, true
	}
	return nil, false
}

// WireAddresses converts addresses to their wire form.
func WireAddresses(list []netip.AddrPort) []string {
	converted := make([]string, 0, len(list))
	for _, a := range list {
		converted = append(converted, wireAddress(a))
	}
	return converted
}

// Addresses converts addresses from their wire form and leaves out invalid ones.
func Addresses(list []string) []netip.AddrPort {
	var converted []netip.AddrPort
	for _, text := range list {
		if a := address(text); a.IsValid() {
			converted = append(converted, a)
		}
	}
	return converted
}

func wireAddress(a netip.AddrPort) string {
	data, _ := a.MarshalBinary() // never fails
	return string(data)
}

// address returns the zero value for invalid data.
func address(data string) netip.AddrPort {
	var a netip.AddrPort
	if err := a.UnmarshalBinary([]byte(data)); err != nil {
		return netip.AddrPort{}
	}
	return a
}
