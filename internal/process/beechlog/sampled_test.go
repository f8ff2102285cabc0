package beechlog

import (
	"expvar"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Lines of one message must neither flood the log nor be lost without a count, or hide other messages.
func TestSampledCountsWhatItDrops(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	dropped := new(expvar.Int)
	log := Sampled(zap.New(core), 3, dropped)
	for range 10 {
		log.Info("often")
	}
	log.Info("once")
	is.Equal(lines.Len(), 4)
	is.Equal(dropped.Value(), int64(7))
}
