package beechattempt

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// pauses counts the pauses in streams that exceed the longest that their routes allow.
	pauses struct {
		clock   clockwork.Clock
		log     *zap.Logger
		counts  *expvar.Map // streams with such a pause, by route and cause of the first one
		dropped atomic.Int64
		lastLog atomic.Int64 // Unix milliseconds
	}

	// streamPace follows the events of one attempt.
	streamPace struct {
		pauses    *pauses
		call      *beechcall.Call
		placement *beechplace.Attempt
		last      time.Time // zero before the first event
		events    uint64    // of the server when last arrived
		counted   bool
	}
)

// pauseLogInterval bounds the log lines on pauses: one slow engine delays all its streams.
const pauseLogInterval = time.Second

func newPauses(clock clockwork.Clock, log *zap.Logger) *pauses {
	return &pauses{clock: clock, log: log, counts: new(expvar.Map)}
}

// received records that events have arrived.
func (s *streamPace) received() {
	now := s.pauses.clock.Now()
	previous, events := s.last, s.events
	gap := now.Sub(previous)
	if previous.IsZero() {
		gap = 0
	}
	longest := s.call.Route.MaxPause
	s.last, s.events = now, s.placement.ObserveEvents(gap)
	if previous.IsZero() || s.counted || longest <= 0 || gap <= longest {
		return
	}
	s.counted = true
	s.pauses.record(s.call, gap, s.placement.PauseSince(previous, events))
}

func (p *pauses) record(call *beechcall.Call, gap time.Duration, seen beechplace.Pause) {
	p.counts.Add(call.Route.Name+" "+string(seen.Cause), 1)
	now, last := p.clock.Now().UnixMilli(), p.lastLog.Load()
	if now-last < pauseLogInterval.Milliseconds() || !p.lastLog.CompareAndSwap(last, now) {
		p.dropped.Add(1)
		return
	}
	p.log.Info("stream paused too long", zap.String("request", call.ID), zap.String("route", call.Route.Name), zap.Duration("gap", gap),
		zap.Duration("longest", call.Route.MaxPause), zap.String("cause", string(seen.Cause)), zap.String("server", seen.Server),
		zap.Float64("slowness", seen.Slowness), zap.Duration("slownessAge", seen.SlownessAge), zap.Int("unread", seen.Unread), zap.Int("running", seen.Running),
		zap.Int64("notLogged", p.dropped.Swap(0)))
}
