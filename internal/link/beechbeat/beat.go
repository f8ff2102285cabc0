// Package beechbeat carries the datagrams between gates and keepers. Each tells
// a whole state and is repeated, so that one that is lost is made good by the
// next, and no connection is kept, watched and timed out for it.
//
// A datagram is one byte for the kind and the message in msgpack. What cannot
// be decoded is passed over and counted.
//
// # Usage
//
//	socket, err := beechbeat.Open(address)
//	go socket.Receive(ctx, func(from netip.AddrPort, m beechbeat.Message) { ... })
//	err = socket.Send(to, beechbeat.Follow{Follow: &beechwire.Follow{...}})
package beechbeat

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// Message is a Follow, a Tell or an Announce.
	Message interface{ message() }

	// Follow is a gate's word to a keeper.
	Follow struct{ *beechwire.Follow }

	// Tell is a keeper's word to a gate.
	Tell struct{ *beechwire.Tell }

	// Announce is a gate's word to a keeper of a long prompt on its way.
	Announce struct{ *beechwire.Announce }

	// Socket sends and receives. It is safe for concurrent use.
	Socket struct {
		conn      *net.UDPConn
		malformed atomic.Int64
	}
)

const (
	kindFollow   = 'f'
	kindTell     = 't'
	kindAnnounce = 'a'
	datagramMost = 16 << 10
)

var errKind = errors.New("no kind of datagram")

func (Follow) message() {}
func (Tell) message()   {}

func (Announce) message() {}

// Open binds an address.
func Open(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind %s for beats: %w", address, err)
	}
	return &Socket{conn: conn}, nil
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
	}
	return nil, errKind
}

// Decode reads a datagram.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, errKind
	}
	var err error
	switch data[0] {
	case kindFollow:
		m := &beechwire.Follow{}
		if _, err = m.UnmarshalMsg(data[1:]); err == nil {
			return Follow{m}, nil
		}
	case kindTell:
		m := &beechwire.Tell{}
		if _, err = m.UnmarshalMsg(data[1:]); err == nil {
			return Tell{m}, nil
		}
	case kindAnnounce:
		m := &beechwire.Announce{}
		if _, err = m.UnmarshalMsg(data[1:]); err == nil {
			return Announce{m}, nil
		}
	default:
		err = errKind
	}
	return nil, fmt.Errorf("decode a datagram: %w", err)
}

// Send sends a message. That it went out does not mean that it arrives.
func (s *Socket) Send(to netip.AddrPort, m Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return fmt.Errorf("send a datagram to %s: %w", to, err)
	}
	return nil
}

// Receive calls take for each message until the context ends.
func (s *Socket) Receive(ctx context.Context, take func(from netip.AddrPort, m Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, datagramMost)
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

// Malformed counts datagrams that could not be decoded.
func (s *Socket) Malformed() int64 { return s.malformed.Load() }

// Address is the address that the socket is bound to.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }
