package beechfence

import (
	"fmt"
	"net/netip"
	"time"
)

type (
	// LeaseHeld says that another agent holds the server's lease. Nothing was
	// ordered.
	LeaseHeld struct {
		Server netip.AddrPort
		After  time.Duration // the longest that a dead holder's lease lasts
	}

	// LeaseExpired says that the lease ended, or came too near its end, before the
	// order was sent. Nothing was ordered.
	LeaseExpired struct {
		Server netip.AddrPort
		Number uint64
	}

	// Superseded says that the order was sent, and that by the time it was
	// done the lease had ended, a newer number was taken, or neither could be
	// checked. What the server holds has to be compared with what it should.
	// Err is the order's own error, if any.
	Superseded struct {
		Server netip.AddrPort
		Number uint64
		Err    error
	}

	// Busy says that all load slots that were tried are taken.
	Busy struct {
		Slots int
		After time.Duration
	}
)

// Error gives the server and the wait.
func (e LeaseHeld) Error() string {
	return fmt.Sprintf("order to %s: another agent holds its lease, for at most %s", e.Server, e.After)
}

// Error gives the server and the number.
func (e LeaseExpired) Error() string {
	return fmt.Sprintf("order to %s: the lease with fencing number %d has lapsed, nothing was sent", e.Server, e.Number)
}

// Error gives the server, the number and the order's own error.
func (e Superseded) Error() string {
	text := fmt.Sprintf("order to %s: fencing number %d was superseded while the order was under way", e.Server, e.Number)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap gives the order's own error.
func (e Superseded) Unwrap() error { return e.Err }

// Error gives the number of slots and the wait.
func (e Busy) Error() string {
	return fmt.Sprintf("take one of %d load slots: none is free, try again in %s", e.Slots, e.After)
}
