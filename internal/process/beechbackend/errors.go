package beechbackend

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

var (
	// ErrWrongRequest is an answer that names another request than the one it came
	// for.
	ErrWrongRequest = errors.New("the answer names another request")
	// ErrTruncated is a stream that ended without its last event.
	ErrTruncated = errors.New("the stream ended before its last event")
	// ErrEventTooLong is a server-sent event beyond the reader's limit.
	ErrEventTooLong = errors.New("an event is longer than the limit")
	// ErrInvalidJSON is a request body that is no JSON object.
	ErrInvalidJSON = errors.New("the body is not a JSON object")
)

type (
	// NotSent proves that the request did not run: no connection was there to
	// write it to.
	NotSent struct {
		Step string
		Peer netip.AddrPort
		Err  error
	}

	// Refused proves that the request did not run, by the server's own word.
	// After is when to come back, 0 where the server does not say.
	Refused struct {
		Step    string
		Peer    netip.AddrPort
		Status  int
		After   time.Duration
		Message string
	}

	// Broken is a request whose connection or answer broke. It may have run.
	Broken struct {
		Step string
		Peer netip.AddrPort
		Err  error
	}

	// Timeout is a request that was sent and whose deadline then passed. It may
	// have run.
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

// NotRun tells whether err proves that the request did not run.
func NotRun(err error) bool {
	var notSent *NotSent
	var refused *Refused
	return errors.As(err, &notSent) || errors.As(err, &refused)
}
