// Package beechdatagram exchanges UDP datagrams between gates and keepers. Senders
// repeat their state instead of sending changes once, so a lost datagram is replaced
// by the next one and no connections have to be kept, monitored and timed out.
//
// A datagram is one byte for the kind of message, followed by the message in msgpack
// as an array without field names. The fields of a kind never change: a message that
// gains a field becomes a new kind. Processes of different releases can therefore run
// side by side; each skips and counts the datagrams of kinds that it does not know,
// together with those that it cannot decode.
//
// # Usage
//
//	socket, err := beechdatagram.Open(address)
//	go socket.Receive(ctx, func(from netip.AddrPort, m beechdatagram.Message) { ... })
//	err = socket.Send(to, beechdatagram.Follow{Follow: &beechwire.Follow{...}})
package beechdatagram

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/tinylib/msgp/msgp"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// Message is a Follow, a Tell, an Announce, an Inquiry, a Proof, an
	// Entries, a Gossip, a Summary, a Recall, a Borrow, a Loan, a Spent, a Limits, a Full, an
	// Origins, a Query, a Found, a Prove, a Sole, a Quiet, an Outage, a Served, a Poison, a Pressure, a Health, a Returns, an Acquire or
	// a Fence.
	Message interface{ message() }

	// Follow is sent by a gate to a keeper: it asks for the engine's state, and names
	// the weights that the engine should have.
	Follow struct{ *beechwire.Follow }

	// Tell is sent by a keeper to a gate: the state of its engine.
	Tell struct{ *beechwire.Tell }

	// Announce is sent by a gate to a keeper: a long prompt is on its way to the engine.
	Announce struct{ *beechwire.Announce }

	// Spent is sent by a gate to the others: how much it has admitted by workspace.
	Spent struct{ *beechwire.Spent }

	// Limits is sent by a gate to the others: the rate limits of servers, and how much
	// it has sent to these servers.
	Limits struct{ *beechwire.Limits }

	// Full is sent by a gate to the others: the servers that reject requests.
	Full struct{ *beechwire.Full }

	// Inquiry is sent by a gate to another: it asks how old the other's copies of the
	// operators' document and of the list of servers are.
	Inquiry struct{ *beechwire.Inquiry }

	// Entries is sent by a gate to the others of its zone: changed entries of servers.
	Entries struct{ *beechwire.Entries }

	// Gossip is exchanged by gates to find and lose one another.
	Gossip struct{ *beechwire.Gossip }

	// Summary is sent by a collector to other gates: the state of many engines. A gate sends its own measurements to a collector in the same form.
	Summary struct{ *beechwire.Summary }

	// Recall is sent by a gate to a collector: it asks for the state of engines.
	Recall struct{ *beechwire.Recall }

	// Proof is the answer to an Inquiry, and tells that a copy has changed.
	Proof struct{ *beechwire.Proof }

	// Borrow is sent by a gate to the one that lends the retries of its zone.
	Borrow struct{ *beechwire.Borrow }

	// Loan answers a Borrow.
	Loan struct{ *beechwire.Loan }

	// Origins is sent by a gate to others: the software by which streams were begun.
	Origins struct{ *beechwire.Origins }

	// Query is sent by a gate to another: it asks for the origin of a stream.
	Query struct{ *beechwire.Query }

	// Found answers a Query.
	Found struct{ *beechwire.Found }

	// Prove is sent by a gate to another: it asks whether a service has had one version only.
	Prove struct{ *beechwire.Prove }

	// Sole answers a Prove.
	Sole struct{ *beechwire.Sole }

	// Quiet is sent by a gate to another after some Proofs: between which revisions no server changed.
	Quiet struct{ *beechwire.Quiet }

	// Outage is sent by a gate that had lost the store to another: it asks whether the store has answered that one.
	Outage struct{ *beechwire.Outage }

	// Served answers an Outage.
	Served struct{ *beechwire.Served }

	// Poison is exchanged by gates, and by gates and keepers: what servers crashed on.
	Poison struct{ *beechwire.Poison }

	// Pressure is sent by a keeper or a gate to a collector, and by a collector to gates: how the
	// hosts of engines do at this moment, and what services are asked for.
	Pressure struct{ *beechwire.Pressure }

	// Health is sent by a gate to a keeper: where its engine says how slow its host is.
	Health struct{ *beechwire.Health }

	// Acquire is sent by a keeper to a gate: it asks for a fencing number.
	Acquire struct{ *beechwire.Acquire }

	// Fence answers an Acquire.
	Fence struct{ *beechwire.Fence }

	// Returns is sent by a gate to the others: when callers that it has refused come back.
	Returns struct{ *beechwire.Returns }

	// Scope tells whether a datagram leaves its availability zone. Traffic between
	// zones is billed by the byte.
	Scope bool

	// Socket sends and receives messages. It is safe for concurrent use.
	Socket struct {
		conn      *net.UDPConn
		malformed atomic.Int64
		sent      *expvar.Map // bytes by kind and scope
	}
)

// The scopes of datagrams.
const (
	SameZone  Scope = false
	CrossZone Scope = true
)

const (
	kindFollow       = 'F'
	kindTell         = 'T'
	kindAnnounce     = 'A'
	kindInquiry      = 'I'
	kindEntries      = 'E'
	kindSpent        = 'S'
	kindLimits       = 'L'
	kindFull         = 'B'
	kindGossip       = 'G'
	kindSummary      = 'C'
	kindRecall       = 'W'
	kindProof        = 'H'
	kindBorrow       = 'K'
	kindLoan         = 'N'
	kindOrigins      = 'O'
	kindQuery        = 'Q'
	kindFound        = 'D'
	kindProve        = 'V'
	kindSole         = 'Z'
	kindQuiet        = 'Y'
	kindOutage       = 'o'
	kindServed       = 's'
	kindPoison       = 'P'
	kindPressure     = 'R'
	kindHealth       = 'J'
	kindReturns      = 'U'
	kindAcquire      = 'M'
	kindFence        = 'X'
	maxDatagramBytes = 16 << 10
)

var errUnknownKind = errors.New("unknown kind of datagram")

func (Follow) message()   {}
func (Tell) message()     {}
func (Announce) message() {}
func (Inquiry) message()  {}
func (Entries) message()  {}
func (Spent) message()    {}
func (Limits) message()   {}
func (Full) message()     {}
func (Gossip) message()   {}
func (Summary) message()  {}
func (Recall) message()   {}
func (Borrow) message()   {}
func (Loan) message()     {}
func (Proof) message()    {}
func (Origins) message()  {}
func (Query) message()    {}
func (Found) message()    {}
func (Prove) message()    {}
func (Sole) message()     {}
func (Quiet) message()    {}
func (Outage) message()   {}
func (Served) message()   {}
func (Poison) message()   {}
func (Pressure) message() {}
func (Health) message()   {}
func (Returns) message()  {}
func (Acquire) message()  {}
func (Fence) message()    {}

// Open binds a UDP socket to an address.
func Open(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind UDP socket to %s: %w", address, err)
	}
	return &Socket{conn: conn, sent: new(expvar.Map)}, nil
}

// Encode returns the datagram of a message.
func Encode(m Message) ([]byte, error) {
	switch v := m.(type) {
	case Follow:
		return v.MarshalMsg([]byte{kindFollow})
	case Tell:
		return v.MarshalMsg([]byte{kindTell})
	case Announce:
		return v.MarshalMsg([]byte{kindAnnounce})
	case Inquiry:
		return v.MarshalMsg([]byte{kindInquiry})
	case Entries:
		return v.MarshalMsg([]byte{kindEntries})
	case Spent:
		return v.MarshalMsg([]byte{kindSpent})
	case Limits:
		return v.MarshalMsg([]byte{kindLimits})
	case Full:
		return v.MarshalMsg([]byte{kindFull})
	case Gossip:
		return v.MarshalMsg([]byte{kindGossip})
	case Summary:
		return v.MarshalMsg([]byte{kindSummary})
	case Recall:
		return v.MarshalMsg([]byte{kindRecall})
	case Borrow:
		return v.MarshalMsg([]byte{kindBorrow})
	case Loan:
		return v.MarshalMsg([]byte{kindLoan})
	case Proof:
		return v.MarshalMsg([]byte{kindProof})
	case Origins:
		return v.MarshalMsg([]byte{kindOrigins})
	case Query:
		return v.MarshalMsg([]byte{kindQuery})
	case Found:
		return v.MarshalMsg([]byte{kindFound})
	case Prove:
		return v.MarshalMsg([]byte{kindProve})
	case Sole:
		return v.MarshalMsg([]byte{kindSole})
	case Quiet:
		return v.MarshalMsg([]byte{kindQuiet})
	case Outage:
		return v.MarshalMsg([]byte{kindOutage})
	case Served:
		return v.MarshalMsg([]byte{kindServed})
	case Poison:
		return v.MarshalMsg([]byte{kindPoison})
	case Pressure:
		return v.MarshalMsg([]byte{kindPressure})
	case Health:
		return v.MarshalMsg([]byte{kindHealth})
	case Returns:
		return v.MarshalMsg([]byte{kindReturns})
	case Acquire:
		return v.MarshalMsg([]byte{kindAcquire})
	case Fence:
		return v.MarshalMsg([]byte{kindFence})
	}
	return nil, errUnknownKind
}

// Decode returns the message of a datagram.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("decode a datagram: %w", errUnknownKind)
	}
	m, body := newMessage(data[0])
	if m == nil {
		return nil, fmt.Errorf("decode a datagram: %w", errUnknownKind)
	}
	if _, err := body.UnmarshalMsg(data[1:]); err != nil {
		return nil, fmt.Errorf("decode a datagram: %w", err)
	}
	return m, nil
}

// newMessage returns an empty message of the given kind, and the value inside it to decode
// into. Both are nil if the kind is unknown.
func newMessage(kind byte) (Message, msgp.Unmarshaler) {
	switch kind {
	case kindFollow:
		m := &beechwire.Follow{}
		return Follow{m}, m
	case kindTell:
		m := &beechwire.Tell{}
		return Tell{m}, m
	case kindAnnounce:
		m := &beechwire.Announce{}
		return Announce{m}, m
	case kindInquiry:
		m := &beechwire.Inquiry{}
		return Inquiry{m}, m
	case kindEntries:
		m := &beechwire.Entries{}
		return Entries{m}, m
	case kindSpent:
		m := &beechwire.Spent{}
		return Spent{m}, m
	case kindLimits:
		m := &beechwire.Limits{}
		return Limits{m}, m
	case kindFull:
		m := &beechwire.Full{}
		return Full{m}, m
	case kindGossip:
		m := &beechwire.Gossip{}
		return Gossip{m}, m
	case kindSummary:
		m := &beechwire.Summary{}
		return Summary{m}, m
	case kindRecall:
		m := &beechwire.Recall{}
		return Recall{m}, m
	case kindBorrow:
		m := &beechwire.Borrow{}
		return Borrow{m}, m
	case kindLoan:
		m := &beechwire.Loan{}
		return Loan{m}, m
	case kindProof:
		m := &beechwire.Proof{}
		return Proof{m}, m
	case kindOrigins:
		m := &beechwire.Origins{}
		return Origins{m}, m
	case kindQuery:
		m := &beechwire.Query{}
		return Query{m}, m
	case kindFound:
		m := &beechwire.Found{}
		return Found{m}, m
	case kindProve:
		m := &beechwire.Prove{}
		return Prove{m}, m
	case kindSole:
		m := &beechwire.Sole{}
		return Sole{m}, m
	case kindQuiet:
		m := &beechwire.Quiet{}
		return Quiet{m}, m
	case kindOutage:
		m := &beechwire.Outage{}
		return Outage{m}, m
	case kindServed:
		m := &beechwire.Served{}
		return Served{m}, m
	case kindPoison:
		m := &beechwire.Poison{}
		return Poison{m}, m
	case kindPressure:
		m := &beechwire.Pressure{}
		return Pressure{m}, m
	case kindHealth:
		m := &beechwire.Health{}
		return Health{m}, m
	case kindReturns:
		m := &beechwire.Returns{}
		return Returns{m}, m
	case kindAcquire:
		m := &beechwire.Acquire{}
		return Acquire{m}, m
	case kindFence:
		m := &beechwire.Fence{}
		return Fence{m}, m
	}
	return nil, nil
}

// Send sends a message to one process. A nil error does not mean that it arrives.
func (s *Socket) Send(to netip.AddrPort, scope Scope, m Message) error {
	return s.SendAll([]netip.AddrPort{to}, scope, m)
}

// SendAll encodes a message once and sends it to several processes. It continues after
// a failure and returns the first error.
func (s *Socket) SendAll(all []netip.AddrPort, scope Scope, m Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	s.sent.Add(kindName(data[0])+" "+scope.String(), int64(len(data)*len(all)))
	var failed error
	for _, to := range all {
		if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil && failed == nil {
			failed = fmt.Errorf("send a datagram to %s: %w", to, err)
		}
	}
	return failed
}

// SentBytes counts the bytes of sent datagrams, without IP and UDP headers, by kind of
// message and scope.
func (s *Socket) SentBytes() *expvar.Map { return s.sent }

func kindName(kind byte) string {
	switch kind {
	case kindFollow:
		return "follow"
	case kindTell:
		return "tell"
	case kindAnnounce:
		return "announce"
	case kindInquiry:
		return "inquiry"
	case kindEntries:
		return "entries"
	case kindSpent:
		return "spent"
	case kindLimits:
		return "limits"
	case kindFull:
		return "full"
	case kindGossip:
		return "gossip"
	case kindSummary:
		return "summary"
	case kindRecall:
		return "recall"
	case kindBorrow:
		return "borrow"
	case kindLoan:
		return "loan"
	case kindProof:
		return "proof"
	case kindOrigins:
		return "origins"
	case kindQuery:
		return "query"
	case kindFound:
		return "found"
	case kindProve:
		return "prove"
	case kindSole:
		return "sole"
	case kindQuiet:
		return "quiet"
	case kindOutage:
		return "outage"
	case kindServed:
		return "served"
	case kindPoison:
		return "poison"
	case kindPressure:
		return "pressure"
	case kindHealth:
		return "health"
	case kindReturns:
		return "returns"
	case kindAcquire:
		return "acquire"
	case kindFence:
		return "fence"
	}
	return "unknown"
}

// String returns the label of a scope in the metrics.
func (s Scope) String() string {
	if s == CrossZone {
		return "far"
	}
	return "near"
}

// Receive calls take for each message that arrives, until the context ends.
func (s *Socket) Receive(ctx context.Context, take func(from netip.AddrPort, m Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive datagrams: %w", err)
		}
		if err != nil {
			continue // an ICMP error: an earlier datagram went to a port that no process listens on
		}
		m, err := Decode(buffer[:n])
		if err != nil {
			s.malformed.Add(1)
			continue
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

// MalformedCount returns how many datagrams could not be decoded.
func (s *Socket) MalformedCount() int64 { return s.malformed.Load() }

// Address returns the address that the socket is bound to.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket, which ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }
