package beechgate

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechkeepalive"
)

// idleTimeouts closes callers' connections that stay idle for longer than operators allow. It
// replaces http.Server.IdleTimeout, which is fixed at the start: after the allowed time has
// been raised, it would close connections on which callers may still send, and their requests
// would be lost. It is safe for concurrent use.
type idleTimeouts struct {
	clock   clockwork.Clock
	timeout func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]clockwork.Timer
}

var pastDeadline = time.Unix(1, 0)

func newIdleTimeouts(clock clockwork.Clock, timeout func() time.Duration) *idleTimeouts {
	return &idleTimeouts{clock: clock, timeout: timeout, timers: make(map[net.Conn]clockwork.Timer)}
}

// trackState follows a connection's state and is used as http.Server.ConnState.
func (d *idleTimeouts) trackState(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if timer, ok := d.timers[c]; ok {
		timer.Stop()
		delete(d.timers, c)
	}
	if state == http.StateIdle {
		d.timers[c] = d.clock.AfterFunc(d.timeout(), func() { d.expire(c) })
	}
}

// expire ends the pending read of an idle connection, so that the server closes it. Closing
// the connection here could abort a request that was just read and is being handled.
func (d *idleTimeouts) expire(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, idle := d.timers[c]; idle {
		delete(d.timers, c)
		_ = c.SetReadDeadline(pastDeadline) // fails only if the connection is already closed
	}
}

// logUnreadClosing records a connection that is closed although its caller is there and has sent
// bytes that were not read.
func (g *Gate) logUnreadClosing(c beechkeepalive.Closing) {
	g.metrics.unreadAge.Record(max(c.Heard, 0))
	g.limitLog.Warn("connection closed with bytes unread", zap.String("cause", string(c.Cause)), zap.Int("unread", c.Unread), zap.Duration("idle", c.Idle), zap.Duration("heard", c.Heard))
}

// idleTimeout returns the operators' timeout, or defaultIdleTimeout if they set none.
func (g *Gate) idleTimeout() time.Duration {
	if c := g.configuration.Load(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
