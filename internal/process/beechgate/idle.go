package beechgate

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// idlers closes callers' connections that stay idle for longer than operators
// allow. net/http's own bound is set once at the start and cannot follow a
// configuration: a bound that was shorter would close connections on which
// callers may still send, and their requests would be lost. It is safe for
// concurrent use.
type idlers struct {
	clock clockwork.Clock
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]clockwork.Timer
}

var longAgo = time.Unix(1, 0)

func newIdlers(clock clockwork.Clock, limit func() time.Duration) *idlers {
	return &idlers{clock: clock, limit: limit, timers: make(map[net.Conn]clockwork.Timer)}
}

// state follows a connection, as http.Server's ConnState does.
func (d *idlers) state(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if timer, ok := d.timers[c]; ok {
		timer.Stop()
		delete(d.timers, c)
	}
	if state == http.StateIdle {
		d.timers[c] = d.clock.AfterFunc(d.limit(), func() { d.expire(c) })
	}
}

// expire ends the wait of a connection that is still idle, upon which the server
// closes it. Closed from here, it could be closed under a request that has just
// been read and is passed on.
func (d *idlers) expire(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, idle := d.timers[c]; idle {
		delete(d.timers, c)
		_ = c.SetReadDeadline(longAgo) // fails only where the connection is closed already
	}
}

// idleLimit is the operators' bound, or one of our own where they name none.
func (g *Gate) idleLimit() time.Duration {
	if c := g.configuration.Load(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return idleTime
}
