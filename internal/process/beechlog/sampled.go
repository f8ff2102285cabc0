package beechlog

import (
	"expvar"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampled returns a logger that writes at most perSecond lines of each message in a second and counts
// the others.
func Sampled(log *zap.Logger, perSecond int, dropped *expvar.Int) *zap.Logger {
	count := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			dropped.Add(1)
		}
	})
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, perSecond, 0, count)
	}))
}
