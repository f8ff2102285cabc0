package beechentry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechroute"
)

type (
	// startup lets requests wait while an entry that has just started learns its
	// configuration and its servers. Once the entry is older than startupWait, or
	// drains, nothing waits any more.
	startup struct {
		clock clockwork.Clock

		mu      sync.Mutex
		ends    time.Time // zero: not started, or ended early
		changed chan struct{}
	}
)

// rejoinPoll is the time after which a request looks again whether a server whose link was lost may
// still come back.
const rejoinPoll = 100 * time.Millisecond

// startupWait is counted from the start of the entry and not from the request, so
// that an entry that cannot read its configuration soon refuses at once.
const startupWait = 250 * time.Millisecond

func newStartup(clock clockwork.Clock) *startup {
	return &startup{clock: clock, changed: make(chan struct{})}
}

func (s *startup) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = s.clock.Now().Add(startupWait)
}

// end lets all waiting requests go on.
func (s *startup) end() {
	s.mu.Lock()
	s.ends = time.Time{}
	s.mu.Unlock()
	s.notify()
}

// notify makes the waiting requests look again at what they wait for.
func (s *startup) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *startup) state() (changed <-chan struct{}, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, s.ends.Sub(s.clock.Now())
}

// wait returns when known returns true, the startup has ended, limit has passed (0:
// no limit) or ctx has ended. It returns how long it waited.
func (s *startup) wait(ctx context.Context, limit time.Duration, known func() bool) time.Duration {
	began := s.clock.Now()
	for {
		changed, left := s.state()
		waited := s.clock.Since(began)
		if limit > 0 {
			left = min(left, limit-waited)
		}
		if left <= 0 || known() {
			return waited
		}
		timer := s.clock.NewTimer(left)
		select {
		case <-changed:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return s.clock.Since(began)
		}
		timer.Stop()
	}
}

// waitForChange returns when known returns true, something has changed that waiting requests look at,
// limit has passed or ctx has ended.
func (s *startup) waitForChange(ctx context.Context, limit time.Duration, known func() bool) {
	changed, _ := s.state()
	if known() {
		return
	}
	timer := s.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// awaitConfiguration waits, while the entry starts, for a configuration with its
// limits, but not beyond the caller's deadline. It returns how long it waited.
func (e *Entry) awaitConfiguration(r *http.Request) time.Duration {
	if e.configured.Load() {
		return 0
	}
	limit, f := callerDeadline(r)
	if f != nil {
		return 0 // refused once its sender is known
	}
	return e.startup.wait(r.Context(), limit, e.configured.Load)
}

// awaitCandidate waits for a server for the job while the entry starts, and while the link to one that
// was lost a moment ago may be made again.
//
//go:noinline
func (e *Entry) awaitCandidate(ctx context.Context, j *job) *beechroute.Candidate {
	candidate := e.choose(j)
	if candidate != nil {
		return candidate
	}
	choose := func() bool {
		candidate = e.choose(j)
		return candidate != nil
	}
	e.startup.wait(ctx, 0, choose)
	for candidate == nil && ctx.Err() == nil {
		left := e.fleet.rejoinTimeLeft(j.target())
		if left <= 0 {
			break
		}
		e.startup.waitForChange(ctx, min(left, rejoinPoll), choose)
	}
	return candidate
}

// shortenTimeout takes the time that the request has waited from the time that
// its caller allows.
func (j *job) shortenTimeout(waited time.Duration) {
	if j.timeout > 0 {
		j.timeout = max(time.Millisecond, j.timeout-waited)
	}
}
