package beechsurvival

import (
	"context"
	"errors"
	"expvar"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Lifetime is a process of a server. A zero field is not known.
	Lifetime struct {
		ID   string
		Born uint64 // start in Unix milliseconds
	}

	// Prober looks who listens at a server's address. The lifetime is zero if that is not known.
	Prober interface {
		Look(ctx context.Context, peer netip.AddrPort) (Lifetime, error)
	}

	// Checker looks at servers for answers that wait. It is safe for concurrent use.
	Checker struct {
		prober Prober
		clock  clockwork.Clock
		counts *expvar.Map // answers by result, and looks

		mu      sync.Mutex
		waiting map[netip.AddrPort][]*waiter // by server; a key has a goroutine that looks
	}

	// waiter is an answer that waits.
	waiter struct {
		began  time.Time
		server Lifetime   // that gave the answer
		looks  int        // that have found a listener
		done   chan error // gets the result
	}
)

const (
	// requiredLooks is how many looks must find a listener if it does not say when it started.
	requiredLooks = 2
	lookInterval  = 25 * time.Millisecond
	// lookTimeout is several round trips to the farthest availability zone, and below the
	// time in which a crashed server restarts.
	lookTimeout = 400 * time.Millisecond
	// patience is how long a sound server may answer no look.
	patience = 2500 * time.Millisecond
)

// Results of a check other than that the server has survived.
var (
	ErrExited  = errors.New("the server exited as its answer, which ends with the connection, ended")
	ErrUnknown = errors.New("the server has not shown that it survived the end of its answer, which ends with the connection")
)

// New returns a checker that looks at servers with the prober.
func New(prober Prober, clock clockwork.Clock) *Checker {
	return &Checker{prober: prober, clock: clock, counts: new(expvar.Map), waiting: make(map[netip.AddrPort][]*waiter)}
}

// Counts counts answers by what became of their servers (survived, exited, unknown), and looks.
func (c *Checker) Counts() *expvar.Map { return c.counts }

// Check waits until it is known whether the process that gave an answer has survived until now, or until the deadline.
// It returns ErrExited if it has not, and ErrUnknown if that cannot be found out.
func (c *Checker) Check(server netip.AddrPort, answered Lifetime, deadline time.Time) error {
	w := &waiter{began: c.clock.Now(), server: answered, done: make(chan error, 1)}
	c.mu.Lock()
	_, looking := c.waiting[server]
	c.waiting[server] = append(c.waiting[server], w)
	c.mu.Unlock()
	if !looking {
		go c.watch(server)
	}
	err := ErrUnknown
	select {
	case err = <-w.done:
	case <-c.clock.After(deadline.Sub(w.began)):
	}
	c.counts.Add(resultName(err), 1)
	return err
}

func resultName(err error) string {
	switch {
	case err == nil:
		return "survived"
	case errors.Is(err, ErrExited):
		return "exited"
	}
	return "unknown"
}

// watch looks at a server for as long as answers wait.
func (c *Checker) watch(server netip.AddrPort) {
	for {
		ended := c.takeWaiting(server)
		if len(ended) == 0 {
			return
		}
		found, err := c.look(server)
		if c.putBack(server, c.decide(ended, found, err)) {
			<-c.clock.After(lookInterval)
		}
	}
}

// takeWaiting returns the answers that have ended before the next look. If there are none, the
// server is not watched any more.
func (c *Checker) takeWaiting(server netip.AddrPort) []*waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.waiting[server]
	if len(ended) == 0 {
		delete(c.waiting, server)
		return nil
	}
	c.waiting[server] = nil
	return ended
}

// putBack has answers wait for another look, and reports whether any wait.
func (c *Checker) putBack(server netip.AddrPort, undecided []*waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[server] = append(undecided, c.waiting[server]...)
	return len(c.waiting[server]) > 0
}

// look returns who listens at a server's address, or an error if nobody is known to.
func (c *Checker) look(server netip.AddrPort) (Lifetime, error) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), c.clock, lookTimeout)
	defer cancel()
	found, err := c.prober.Look(ctx, server)
	c.counts.Add("looks", 1)
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET):
		return found, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return Lifetime{}, ErrExited
	}
	return Lifetime{}, ErrUnknown
}

// decide applies a look to the answers that ended before it, and returns those that wait for
// another one.
func (c *Checker) decide(ended []*waiter, found Lifetime, err error) (undecided []*waiter) {
	for _, w := range ended {
		if err == nil {
			w.looks++
		}
		switch {
		case errors.Is(err, ErrExited), err == nil && found.follows(w.server):
			w.done <- ErrExited
		case err == nil && found.is(w.server), w.looks >= requiredLooks:
			w.done <- nil
		case c.clock.Since(w.began) >= patience:
			w.done <- ErrUnknown
		default:
			undecided = append(undecided, w)
		}
	}
	return undecided
}

// follows reports whether a process has taken the place of another one.
func (l Lifetime) follows(former Lifetime) bool {
	return l.ID != "" && former.ID != "" && l.ID != former.ID || former.Born != 0 && l.Born > former.Born
}

// is reports whether a process is known to be another one, by its start: one ID may have several processes. What lists it may
// have written the start down later.
func (l Lifetime) is(other Lifetime) bool {
	return l.Born != 0 && l.Born <= other.Born
}
