package beechgate

import (
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechkeepalive"
)

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
