package beechlink

import (
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/jonboulle/clockwork"
)

type (
	// heartbeatScheduler checks all connections of a Dialer or Server from one
	// goroutine. A timer for each of hundreds of idle links would cost an idle
	// entry more than its share of a core.
	heartbeatScheduler struct {
		clock    clockwork.Clock
		settings Settings
		source   HeartbeatSource
		stop     chan struct{}
		trigger  chan struct{} // buffered; requests a round now

		mu          sync.Mutex
		connections map[*connection]struct{}
		latest      beechwire.Heartbeat
		polled      bool
	}

	// tick is passed to each connection in one round of the scheduler.
	tick struct {
		now          time.Time
		heartbeat    beechwire.Heartbeat
		idleInterval time.Duration // between beats of a connection without work
		delayed      bool          // this process was paused since the last round
	}
)

func newHeartbeatScheduler(s Settings, source HeartbeatSource, clock clockwork.Clock) *heartbeatScheduler {
	scheduler := &heartbeatScheduler{
		clock:       clock,
		settings:    s,
		source:      source,
		stop:        make(chan struct{}),
		trigger:     make(chan struct{}, 1),
		connections: map[*connection]struct{}{},
	}
	period := s.Heartbeat / 2
	ticker := clock.NewTicker(period)
	go func() {
		defer ticker.Stop()
		last := clock.Now()
		for {
			select {
			case <-scheduler.stop:
				return
			case <-scheduler.trigger:
				now := clock.Now()
				scheduler.runTick(now, now.Sub(last) > 2*period)
				continue
			case <-ticker.Chan():
			}
			now := clock.Now()
			scheduler.runTick(now, now.Sub(last) > 2*period)
			last = now
		}
	}()
	return scheduler
}

func (s *heartbeatScheduler) close() { close(s.stop) }

// runNow starts a round now, so that urgent changes are sent without waiting
// for the next one.
func (s *heartbeatScheduler) runNow() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

func (s *heartbeatScheduler) runTick(now time.Time, delayed bool) {
	h := s.source.CurrentHeartbeat()
	s.mu.Lock()
	s.latest = h
	s.polled = true
	t := tick{now: now, heartbeat: h, idleInterval: s.idleIntervalLocked(), delayed: delayed}
	all := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.check(t)
	}
}

// idleIntervalLocked returns an interval that grows with the number of
// connections, so that the total rate of idle beats stays the same.
func (s *heartbeatScheduler) idleIntervalLocked() time.Duration {
	return max(s.settings.Heartbeat, time.Duration(len(s.connections))*s.settings.IdleIntervalPerConnection)
}

func (s *heartbeatScheduler) add(c *connection) {
	s.mu.Lock()
	s.connections[c] = struct{}{}
	s.mu.Unlock()
	c.check(s.currentTick())
}

func (s *heartbeatScheduler) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// currentTick has the heartbeat of the last round, or a new one before the
// first round.
func (s *heartbeatScheduler) currentTick() tick {
	s.mu.Lock()
	polled := s.polled
	s.mu.Unlock()
	if !polled {
		h := s.source.CurrentHeartbeat()
		s.mu.Lock()
		s.latest = h
		s.polled = true
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return tick{now: s.clock.Now(), heartbeat: s.latest, idleInterval: s.idleIntervalLocked()}
}
