package beechfence

import (
	"fmt"
	"net/netip"
	"time"
)

type (
	// LeaseHeld means that another agent holds the server's lease. Nothing was sent.
	LeaseHeld struct {
		Server netip.AddrPort
		After  time.Duration // the longest time until the lease of a dead holder ends
	}

	// LeaseExpired means that the lease had ended or was about to end, or that another agent
	// had taken a number, before the order was sent. Nothing was sent.
	LeaseExpired struct {
		Server netip.AddrPort
		Number uint64
	}

	// Superseded means that send was called, and that when it returned, the lease had
	// ended or was about to, a newer number existed, or the number could not be read. The
	// caller must compare the server's state with the wanted one. Err is the error of
	// send, if any, and tells whether the order left.
	Superseded struct {
		Server netip.AddrPort
		Number uint64
		Err    error
	}

	// Busy means that all load slots that were tried are taken.
	Busy struct {
		Slots int
		After time.Duration
	}
)

// Error names the server and the time to wait.
func (e LeaseHeld) Error() string {
	return fmt.Sprintf("order to %s: another agent holds the server's lease for at most %s", e.Server, e.After)
}

// Error names the server and the fencing number.
func (e LeaseExpired) Error() string {
	return fmt.Sprintf("order to %s: the lease with fencing number %d has ended; nothing was sent", e.Server, e.Number)
}

// Error names the server and the fencing number, and adds the error of the order.
func (e Superseded) Error() string {
	text := fmt.Sprintf("order to %s: fencing number %d may have been superseded before the order ended", e.Server, e.Number)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error of the order.
func (e Superseded) Unwrap() error { return e.Err }

// Error names the number of slots and the time to wait.
func (e Busy) Error() string {
	return fmt.Sprintf("acquire one of %d load slots: none is free, retry in %s", e.Slots, e.After)
}
