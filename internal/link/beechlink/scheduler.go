package beechlink

import (
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/jonboulle/clockwork"
)

type (
	// pacer watches all connections of a Dialer or Server from one goroutine:
	// a timer for each of hundreds of idle links would cost an idle entry
	// more than its share of a core.
	heartbeatScheduler struct {
		clock    clockwork.Clock
		settings Settings
		source   HeartbeatSource
		stop     chan struct{}
		trigger  chan struct{} // room for one; asks for a round now

		mu          sync.Mutex
		connections map[*connection]struct{}
		latest      beechwire.Heartbeat
		polled      bool
	}

	// moment is what one round of the pacer tells each connection.
	tick struct {
		now          time.Time
		heartbeat    beechwire.Heartbeat
		idleInterval time.Duration // between beats of a connection with no work
		delayed      bool          // this process was held up since the last round
	}
)

func newHeartbeatScheduler(s Settings, source HeartbeatSource, clock clockwork.Clock) *heartbeatScheduler {
	p := &heartbeatScheduler{
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
			case <-p.stop:
				return
			case <-p.trigger:
				p.runTick(clock.Now(), false)
				continue
			case <-ticker.Chan():
			}
			now := clock.Now()
			p.runTick(now, now.Sub(last) > 2*period)
			last = now
		}
	}()
	return p
}

func (p *heartbeatScheduler) close() { close(p.stop) }

// push sends what is urgent and has changed now instead of at the next round.
func (p *heartbeatScheduler) runNow() {
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

func (p *heartbeatScheduler) runTick(now time.Time, late bool) {
	h := p.source.CurrentHeartbeat()
	p.mu.Lock()
	p.latest = h
	p.polled = true
	m := tick{now: now, heartbeat: h, idleInterval: p.idleIntervalLocked(), delayed: late}
	all := make([]*connection, 0, len(p.connections))
	for c := range p.connections {
		all = append(all, c)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.check(m)
	}
}

// idleLocked stretches the period with the number of connections, so that
// the sum over all of them stays the same.
func (p *heartbeatScheduler) idleIntervalLocked() time.Duration {
	return max(p.settings.Heartbeat, time.Duration(len(p.connections))*p.settings.IdleIntervalPerConnection)
}

func (p *heartbeatScheduler) add(c *connection) {
	p.mu.Lock()
	p.connections[c] = struct{}{}
	p.mu.Unlock()
	c.check(p.currentTick())
}

func (p *heartbeatScheduler) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// moment is that of the last round, or a new one before the first.
func (p *heartbeatScheduler) currentTick() tick {
	p.mu.Lock()
	polled := p.polled
	p.mu.Unlock()
	if !polled {
		h := p.source.CurrentHeartbeat()
		p.mu.Lock()
		p.latest = h
		p.polled = true
		p.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return tick{now: p.clock.Now(), heartbeat: p.latest, idleInterval: p.idleIntervalLocked()}
}
