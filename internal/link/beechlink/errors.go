package beechlink

import (
	"errors"
	"fmt"
	"net/netip"
)

type (
	// FrameError is returned for bytes that are no frame of this protocol.
	FrameError struct{ Problem string }

	// HandshakeError is returned for a peer that was reached but not accepted,
	// or that did not accept this side.
	HandshakeError struct {
		Peer netip.AddrPort
		Step string
		Err  error
	}

	// OpenError is returned for a request of which nothing was sent: it was
	// not run.
	OpenError struct {
		Peer netip.AddrPort
		Err  error
	}

	// LostError is returned for a stream or call whose connection was lost
	// before the last reply: whether the request ran is not known.
	LostError struct {
		Peer netip.AddrPort
		Err  error
	}

	// GapError is returned for a stream of which a reply is missing. The rest
	// of it is not delivered.
	GapError struct {
		Peer   netip.AddrPort
		Stream uint64
		Want   uint64
		Got    uint64
	}

	// CallError is the other side's error in answer to a call.
	CallError struct {
		Peer   netip.AddrPort
		Method string
		Reason string
	}
)

var (
	// ErrDown is the cause where no connection to the peer is up.
	ErrDown = errors.New("no connection is up")
	// ErrBusy is the cause where every connection carries as many streams as
	// Settings allow.
	ErrBusy = errors.New("every connection carries its most streams")
	// ErrClosed is the cause after Close or Drain.
	ErrClosed = errors.New("closed")
	// ErrStreamClosed is returned by Send after the last reply, or after the
	// entry cancelled the stream.
	ErrStreamClosed = errors.New("stream is over")
	// ErrCreditExceeded is the cause where the peer sent more than it had credit for.
	ErrCreditExceeded = errors.New("peer sent more than its credit")

	errPeerTimeout      = errors.New("peer was silent for longer than the deadline")
	errHandshakeTimeout = errors.New("peer did not finish the handshake in time")
	errKeyMismatch      = errors.New("link key differs")
)

func (e *FrameError) Error() string { return "malformed frame: " + e.Problem }

func (e *HandshakeError) Error() string {
	return fmt.Sprintf("%s with %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }

func (e *OpenError) Error() string {
	return fmt.Sprintf("open stream to %s: %v", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

func (e *LostError) Error() string {
	return fmt.Sprintf("link to %s lost: %v", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

func (e *GapError) Error() string {
	return fmt.Sprintf("stream %d from %s: want sequence %d, got %d", e.Stream, e.Peer, e.Want, e.Got)
}

func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %s", e.Method, e.Peer, e.Reason)
}
