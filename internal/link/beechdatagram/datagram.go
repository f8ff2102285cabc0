// Package beechdatagram carries the datagrams between gates and keepers. Each tells
// a whole state and is repeated, so that one that is lost is made good by the
// next, and no connection is kept, watched and timed out for it.
//
// A datagram is one byte for the kind and the message in msgpack, as an array
// without field names. A kind never changes its fields: a message that gains one
// becomes another kind, so that releases side by side pass over what they do not
// know, and count it. What cannot be decoded is counted too.
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
	// Message is a Follow, a Tell, an Announce, a Pass, a Passed, a Peers, a
	// Roster, an Inquiry, a Vouch, an Entries, a Spent, a Paces, a Limits
	// or a Full.
	Message interface{ message() }

	// Follow is a gate's word to a keeper.
	Follow struct{ *beechwire.Follow }

	// Tell is a keeper's word to a gate.
	Tell struct{ *beechwire.Tell }

	// Announce is a gate's word to a keeper of a long prompt on its way.
	Announce struct{ *beechwire.Announce }

	// Pass is a keeper's word to a gate that passes it on to its zone.
	Pass struct{ *beechwire.Pass }

	// Passed is a word that was passed on.
	Passed struct{ *beechwire.Passed }

	// Peers is a keeper's word to gates of its zone, of one another.
	Peers struct{ *beechwire.Peers }

	// Roster is a keeper's word to gates of its zone, of those of other zones.
	Roster struct{ *beechwire.Roster }

	// Spent is a gate's word to the others on what it has admitted.
	Spent struct{ *beechwire.Spent }

	// Paces is a gate's word to the others on how fast engines are.
	Paces struct{ *beechwire.Paces }

	// Limits is a gate's word to the others on what servers take, and what it has sent
	// them.
	Limits struct{ *beechwire.Limits }

	// Full is a gate's word to the others on which servers turn work away.
	Full struct{ *beechwire.Full }

	// Inquiry is a gate's question to another.
	Inquiry struct{ *beechwire.Inquiry }

	// Vouch is the answer to an Inquiry.
	Vouch struct{ *beechwire.Vouch }

	// Entries is a gate's word to the others of its zone on servers' entries.
	Entries struct{ *beechwire.Entries }

	// Scope is whether a datagram crosses the border of an availability zone, where
	// bytes are paid for.
	Scope bool

	// Socket sends and receives. It is safe for concurrent use.
	Socket struct {
		conn      *net.UDPConn
		malformed atomic.Int64
		sent      *expvar.Map // bytes by kind and way
	}
)

// Ways of a datagram.
const (
	SameZone  Scope = false
	CrossZone Scope = true
)

const (
	kindFollow       = 'F'
	kindTell         = 'T'
	kindAnnounce     = 'A'
	kindPass         = 'R'
	kindPassed       = 'r'
	kindPeers        = 'P'
	kindInquiry      = 'I'
	kindVouch        = 'V'
	kindEntries      = 'E'
	kindRoster       = 'Z'
	kindSpent        = 'S'
	kindPaces        = 'Q'
	kindLimits       = 'L'
	kindFull         = 'B'
	maxDatagramBytes = 16 << 10
)

var errUnknownKind = errors.New("no kind of datagram")

func (Follow) message()   {}
func (Tell) message()     {}
func (Announce) message() {}
func (Pass) message()     {}
func (Passed) message()   {}
func (Peers) message()    {}
func (Inquiry) message()  {}
func (Vouch) message()    {}
func (Entries) message()  {}
func (Roster) message()   {}
func (Spent) message()    {}
func (Paces) message()    {}
func (Limits) message()   {}
func (Full) message()     {}

// Open binds an address.
func Open(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind %s for beats: %w", address, err)
	}
	return &Socket{conn: conn, sent: new(expvar.Map)}, nil
}

// Encode gives a message as a datagram.
func Encode(m Message) ([]byte, error) {
	switch v := m.(type) {
	case Follow:
		return v.MarshalMsg([]byte{kindFollow})
	case Tell:
		return v.MarshalMsg([]byte{kindTell})
	case Announce:
		return v.MarshalMsg([]byte{kindAnnounce})
	case Pass:
		return v.MarshalMsg([]byte{kindPass})
	case Passed:
		return v.MarshalMsg([]byte{kindPassed})
	case Peers:
		return v.MarshalMsg([]byte{kindPeers})
	case Inquiry:
		return v.MarshalMsg([]byte{kindInquiry})
	case Vouch:
		return v.MarshalMsg([]byte{kindVouch})
	case Entries:
		return v.MarshalMsg([]byte{kindEntries})
	case Roster:
		return v.MarshalMsg([]byte{kindRoster})
	case Spent:
		return v.MarshalMsg([]byte{kindSpent})
	case Paces:
		return v.MarshalMsg([]byte{kindPaces})
	case Limits:
		return v.MarshalMsg([]byte{kindLimits})
	case Full:
		return v.MarshalMsg([]byte{kindFull})
	}
	return nil, errUnknownKind
}

// Decode reads a datagram.
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

// newMessage gives a message of a kind, and what it is decoded into; nil is no kind.
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
	case kindPass:
		m := &beechwire.Pass{}
		return Pass{m}, m
	case kindPassed:
		m := &beechwire.Passed{}
		return Passed{m}, m
	case kindPeers:
		m := &beechwire.Peers{}
		return Peers{m}, m
	case kindInquiry:
		m := &beechwire.Inquiry{}
		return Inquiry{m}, m
	case kindVouch:
		m := &beechwire.Vouch{}
		return Vouch{m}, m
	case kindEntries:
		m := &beechwire.Entries{}
		return Entries{m}, m
	case kindRoster:
		m := &beechwire.Roster{}
		return Roster{m}, m
	case kindSpent:
		m := &beechwire.Spent{}
		return Spent{m}, m
	case kindPaces:
		m := &beechwire.Paces{}
		return Paces{m}, m
	case kindLimits:
		m := &beechwire.Limits{}
		return Limits{m}, m
	case kindFull:
		m := &beechwire.Full{}
		return Full{m}, m
	}
	return nil, nil
}

// Send sends a message. That it went out does not mean that it arrives.
func (s *Socket) Send(to netip.AddrPort, way Scope, m Message) error {
	return s.SendAll([]netip.AddrPort{to}, way, m)
}

// SendAll sends a message to several processes, encoded once. The error is the
// first of those that could not be sent to.
func (s *Socket) SendAll(all []netip.AddrPort, way Scope, m Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	s.sent.Add(kindName(data[0])+" "+way.String(), int64(len(data)*len(all)))
	var failed error
	for _, to := range all {
		if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil && failed == nil {
			failed = fmt.Errorf("send a datagram to %s: %w", to, err)
		}
	}
	return failed
}

// SentBytes is the bytes sent, without headers, by kind of message and way.
func (s *Socket) SentBytes() *expvar.Map { return s.sent }

func kindName(kind byte) string {
	switch kind {
	case kindFollow:
		return "follow"
	case kindTell:
		return "tell"
	case kindAnnounce:
		return "announce"
	case kindPass:
		return "pass"
	case kindPassed:
		return "passed"
	case kindPeers:
		return "peers"
	case kindInquiry:
		return "inquiry"
	case kindEntries:
		return "entries"
	case kindRoster:
		return "roster"
	case kindSpent:
		return "spent"
	case kindPaces:
		return "paces"
	case kindLimits:
		return "limits"
	case kindFull:
		return "full"
	}
	return "vouch"
}

// String names a way, as metrics do.
func (w Scope) String() string {
	if w == CrossZone {
		return "far"
	}
	return "near"
}

// Receive calls take for each message until the context ends.
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
			return fmt.Errorf("receive beats: %w", err)
		}
		if err != nil {
			continue // a host's word that nobody listens there, for an earlier datagram
		}
		m, err := Decode(buffer[:n])
		if err != nil {
			s.malformed.Add(1)
			continue
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

// MalformedCount counts datagrams that could not be decoded.
func (s *Socket) MalformedCount() int64 { return s.malformed.Load() }

// Address is the address that the socket is bound to.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }
