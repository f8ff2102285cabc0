package beechbackend

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

var (
	// ErrWrongRequest means that an answer carries the id of another request.
	ErrWrongRequest = errors.New("the answer names another request")
	// ErrTruncated means that a stream ended without its last event.
	ErrTruncated = errors.New("the stream ended before its last event")
	// ErrEventTooLong means that a line or the data of a server-sent event exceeds
	// the limit of the reader.
	ErrEventTooLong = errors.New("event exceeds the limit")
	// ErrInvalidJSON means that JSON is malformed or not of the expected type, as a
	// request body that is not an object.
	ErrInvalidJSON = errors.New("invalid JSON or unexpected JSON type")
)

type (
	// NotSent means that the request did not run, since there was no connection to
	// write it to.
	NotSent struct {
		Step string
		Peer netip.AddrPort
		Err  error
	}

	// Refused means that the request did not run, as stated by the server. After is
	// the delay before a retry, or 0 if the server does not give one.
	Refused struct {
		Step    string
		Peer    netip.AddrPort
		Status  int
		After   time.Duration
		Message string
	}

	// Broken means that the connection or the answer failed after the request was
	// sent. The request may have run.
	Broken struct {
		Step string
		Peer netip.AddrPort
		Err  error
	}

	// Timeout means that the deadline passed after the request was sent. The request
	// may have run.
	Timeout struct {
		Step string
		Peer netip.AddrPort
		Err  error
	}
)

func (e *NotSent) Error() string {
	return fmt.Sprintf("%s at %s: not sent: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *NotSent) Unwrap() error { return e.Err }

func (e *Refused) Error() string {
	return fmt.Sprintf("%s at %s: refused with status %d: %s", e.Step, e.Peer, e.Status, e.Message)
}

func (e *Broken) Error() string {
	return fmt.Sprintf("%s at %s: broken: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Broken) Unwrap() error { return e.Err }

func (e *Timeout) Error() string {
	return fmt.Sprintf("%s at %s: timed out: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Timeout) Unwrap() error { return e.Err }

// NotRun reports whether err proves that the request did not run.
func NotRun(err error) bool {
	var notSent *NotSent
	var refused *Refused
	return errors.As(err, &notSent) || errors.As(err, &refused)
}

// TimedOut reports whether err only says that the server did not answer in time, so that it may be
// about to.
func TimedOut(err error) bool {
	var timeout *Timeout
	var network net.Error
	return errors.As(err, &timeout) || errors.As(err, &network) && network.Timeout()
}
