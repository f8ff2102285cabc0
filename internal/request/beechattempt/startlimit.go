package beechattempt

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// startLimit cancels an attempt that still waits at an engine whose weights will expire before the request
// can start. A nil one never does.
type startLimit struct {
	cancel context.CancelCauseFunc
	timer  clockwork.Timer

	mu      sync.Mutex
	expired bool // the attempt was cancelled
	started bool // data has come, or the attempt has ended
}

// newStartLimit returns nil if there is no limit.
func newStartLimit(clock clockwork.Clock, limit time.Duration, cancel context.CancelCauseFunc) *startLimit {
	if limit <= 0 {
		return nil
	}
	s := &startLimit{cancel: cancel}
	s.timer = clock.AfterFunc(limit, s.onExpiry)
	return s
}

func (s *startLimit) onExpiry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started {
		return
	}
	s.expired = true
	s.cancel(errWeightsExpire)
}

// stop records that data has come, or that the attempt has ended.
func (s *startLimit) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	s.timer.Stop()
}

// missed reports whether the attempt was cancelled.
func (s *startLimit) missed() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expired
}
