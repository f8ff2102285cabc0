package beechlink

import (
	"errors"
	"fmt"
	"net/netip"
)

type (
	// FrameError reports bytes that are not a valid frame or message of the
	// protocol.
	FrameError struct{ Problem string }

	// HandshakeError reports a peer that was reached but was rejected, or that
	// rejected this side.
	HandshakeError struct {
		Peer netip.AddrPort
		Step string
		Err  error
	}

	// OpenError reports a request of which nothing was sent, so it was not run.
	OpenError struct {
		Peer netip.AddrPort
		Err  error
	}

	// LostError reports a stream or call whose connection was lost before the
	// final reply. Whether the request ran is not known.
	LostError struct {
		Peer netip.AddrPort
		Err  error
	}

	// GapError reports a stream with a missing reply. Replies after the gap are
	// not delivered.
	GapError struct {
		Peer   netip.AddrPort
		Stream uint64
		Want   uint64
		Got    uint64
	}

	// CallError is the error with which the peer answered a call.
	CallError struct {
		Peer   netip.AddrPort
		Method string
		Reason string
	}
)

var (
	// ErrDown is the cause when no connection to the peer is up.
	ErrDown = errors.New("no connection is up")
	// ErrBusy is the cause when every connection carries Settings.MaxStreams
	// streams, or when a Server has too many handshakes in progress.
	ErrBusy = errors.New("every connection has reached its stream limit")
	// ErrClosed is the cause after Close or Drain.
	ErrClosed = errors.New("closed")
	// ErrStreamClosed is returned by Send after the final reply, or after the
	// stream was cancelled or its connection lost.
	ErrStreamClosed = errors.New("stream is closed")
	// ErrCreditExceeded is the cause when the peer sent more data than it had
	// credit for.
	ErrCreditExceeded = errors.New("peer exceeded its stream credit")

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
