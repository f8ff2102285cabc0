package beechstore

import (
	"fmt"
	"time"
)

type (
	// Refused means that the call certainly had no effect: the service could
	// not be reached, is down, is over its rate limit, or does not accept the
	// value. After is the time to wait before trying again, or 0 if trying
	// again does not help.
	Refused struct {
		Step  string // the operation and its key
		Peer  string // address of the service
		After time.Duration
		Err   error
	}

	// Conflict means that the write had no effect because the key is at a
	// different version. Current is that version, 0 if the key does not exist.
	Conflict struct {
		Step    string
		Peer    string
		Current uint64
	}

	// UnknownOutcome means that a write may have taken effect, or may still do
	// so: its reply was lost, late or invalid. The caller can only find out by
	// reading the value back.
	UnknownOutcome struct {
		Step string
		Peer string
		Err  error
	}

	// OverBudget means that this process has used up its call budget for now
	// and nothing was sent. After is the time until the budget allows the
	// call.
	OverBudget struct {
		Step  string
		After time.Duration
	}
)

// Error implements error.
func (e Refused) Error() string { return fmt.Sprintf("%s at %s: refused: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the underlying error.
func (e Refused) Unwrap() error { return e.Err }

// Error implements error.
func (e Conflict) Error() string {
	return fmt.Sprintf("%s at %s: conflict: the key is at version %d", e.Step, e.Peer, e.Current)
}

// Error implements error.
func (e UnknownOutcome) Error() string {
	return fmt.Sprintf("%s at %s: outcome unknown: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the underlying error.
func (e UnknownOutcome) Unwrap() error { return e.Err }

// Error implements error.
func (e OverBudget) Error() string {
	return fmt.Sprintf("%s: over this process's budget of calls, try again in %s", e.Step, e.After)
}
