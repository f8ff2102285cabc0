package beechgossip

import "net/netip"

type (
	// Message is a Ping, an Ack, a ProbeRequest, a Changes or a List.
	Message interface{ message() }

	// Ping asks for an Ack with the same sequence number.
	Ping struct {
		Sequence uint64
		Digest   uint64 // of the sender's members
		Members  []Member
	}

	// Ack answers a Ping.
	Ack struct {
		Sequence uint64
		Digest   uint64
		Members  []Member
	}

	// ProbeRequest asks a member to probe the target, and to pass its Ack on.
	ProbeRequest struct {
		Sequence uint64
		Target   netip.AddrPort
		Members  []Member
	}

	// Changes spreads changes.
	Changes struct{ Members []Member }

	// List has all members that the sender knows, or a part of them. Reply asks for the
	// receiver's list. A member with incarnation 0 is only an address at which a member
	// may be found.
	List struct {
		Members []Member
		Reply   bool
	}

	// Send is a message to be sent.
	Send struct {
		To      netip.AddrPort
		Message Message
	}
)

func (Ping) message()         {}
func (Ack) message()          {}
func (ProbeRequest) message() {}
func (Changes) message()      {}
func (List) message()         {}

// members returns the members that a message carries.
func members(m Message) []Member {
	switch v := m.(type) {
	case Ping:
		return v.Members
	case Ack:
		return v.Members
	case ProbeRequest:
		return v.Members
	case Changes:
		return v.Members
	case List:
		return v.Members
	}
	return nil
}
