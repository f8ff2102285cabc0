package beechgate

import (
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechthrottle"
)

// limitLines of each message are written a second: limits may change with each answer.
const limitLines = 10

// noteLimit logs what has changed in a server's limit, or in what is known of it.
func (g *Gate) noteLimit(e beechthrottle.Event) {
	switch v := e.(type) {
	case beechthrottle.Began:
		g.logLimit("server's limit known", v.Standing, zap.Float64("rate", v.Rate))
	case beechthrottle.Changed:
		g.logLimit("server's limit changed", v.Standing, zap.Float64("rate", v.Rate), zap.Float64("was", v.Was))
	case beechthrottle.Ended:
		g.logLimit("server's limit ended", v.Standing, zap.Float64("was", v.Rate))
	case beechthrottle.PassedOver:
		g.limitLog.Warn("server's limit passed over", zap.String("server", v.Server), zap.String("text", v.Text))
	}
}

func (g *Gate) logLimit(what string, s beechthrottle.Standing, fields ...zap.Field) {
	g.limitLog.Info(what, append(fields, zap.String("server", s.Server), zap.Uint64("hash", s.Hash), zap.Bool("told", s.Told), zap.String("field", s.Field),
		zap.Duration("age", s.Age.Round(time.Millisecond)), zap.Int("given", s.Given))...)
}
