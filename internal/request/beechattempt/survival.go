package beechattempt

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
	// survivalChecker finds out whether a server has outlived an answer that ended with its
	// connection. The kernel ends the connections of a process that exits in the same way, and such an
	// answer is not whole. A server that exits refuses connections; one that lives accepts them,
	// or resets them at once if it has too many. It is safe for concurrent use.
	//
	// A look at a server tells nothing of answers that ended after it began, so each answer waits
	// for looks that begin later. All that wait share them.
	survivalChecker struct {
		prober Prober
		clock  clockwork.Clock
		counts *expvar.Map // answers by what became of their servers, and looks

		mu      sync.Mutex
		waiting map[netip.AddrPort][]*survivalCheck // by server; a key has a goroutine that looks
	}

	// survivalCheck is an answer that waits.
	survivalCheck struct {
		began  time.Time
		looks  int           // that have found a listener
		done   chan struct{} // closed when it is decided
		result survival      // set before done is closed
	}

	// survival is what is known of a server after an answer has ended.
	survival int
)

const (
	survived survival = iota
	exited            // it refuses connections
	unknown           // it has answered no look in time
)

const (
	// requiredLooks is how many looks must find a listener. Sockets of a process that exits are closed one by
	// one, the listener among the last.
	requiredLooks = 2
	// lookInterval is the time between looks.
	lookInterval = 25 * time.Millisecond
	// survivalPatience is how long a sound server may answer no look.
	survivalPatience = 2500 * time.Millisecond
)

// String returns the name in metrics.
func (s survival) String() string {
	switch s {
	case survived:
		return "survived"
	case exited:
		return "exited"
	}
	return "unknown"
}

func newSurvivalChecker(prober Prober, clock clockwork.Clock) *survivalChecker {
	return &survivalChecker{prober: prober, clock: clock, counts: new(expvar.Map), waiting: make(map[netip.AddrPort][]*survivalCheck)}
}

// check waits until it is known whether a server has survived until now, or until the deadline.
func (s *survivalChecker) check(server netip.AddrPort, deadline time.Time) survival {
	c := &survivalCheck{began: s.clock.Now(), done: make(chan struct{})}
	s.mu.Lock()
	_, looking := s.waiting[server]
	s.waiting[server] = append(s.waiting[server], c)
	s.mu.Unlock()
	if !looking {
		go s.watch(server)
	}
	result := unknown
	select {
	case <-c.done:
		result = c.result
	case <-s.clock.After(deadline.Sub(c.began)):
	}
	s.counts.Add(result.String(), 1)
	return result
}

// watch looks at a server for as long as answers wait.
func (s *survivalChecker) watch(server netip.AddrPort) {
	for {
		s.mu.Lock()
		ended := s.waiting[server] // before the look begins
		if len(ended) == 0 {
			delete(s.waiting, server)
			s.mu.Unlock()
			return
		}
		s.waiting[server] = nil
		s.mu.Unlock()
		left := s.decide(ended, s.look(server))
		s.mu.Lock()
		s.waiting[server] = append(left, s.waiting[server]...)
		idle := len(s.waiting[server]) == 0
		s.mu.Unlock()
		if !idle {
			<-s.clock.After(lookInterval)
		}
	}
}

// look opens a connection to a server.
func (s *survivalChecker) look(server netip.AddrPort) survival {
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.clock, probeTimeout)
	defer cancel()
	err := s.prober.Probe(ctx, server)
	s.counts.Add("looks", 1)
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET):
		return survived
	case errors.Is(err, syscall.ECONNREFUSED):
		return exited
	}
	return unknown
}

// decide applies a look to the answers that ended before it, and returns those that wait for
// another one.
func (s *survivalChecker) decide(checks []*survivalCheck, seen survival) (left []*survivalCheck) {
	for _, c := range checks {
		if seen == survived {
			c.looks++
		}
		switch {
		case seen == exited:
			c.result = exited
		case c.looks >= requiredLooks:
			c.result = survived
		case s.clock.Since(c.began) >= survivalPatience:
			c.result = unknown
		default:
			left = append(left, c)
			continue
		}
		close(c.done)
	}
	return left
}
