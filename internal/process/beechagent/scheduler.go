package beechagent

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechqueue"
	"github.com/beechring/beechring/internal/process/beechtask"
)

type (
	// scheduler delivers the decisions of the queue to the goroutines that wait for
	// them.
	scheduler struct {
		queue  *beechqueue.Queue
		clock  clockwork.Clock
		load   func() beechqueue.Load
		wakeup chan struct{}

		mu      sync.Mutex
		waiters map[uint64]chan queueResult
	}

	// queueResult is the decision on a waiting request. If refuse is nil, the request
	// may start.
	queueResult struct {
		refuse *beechqueue.Refuse
	}
)

// maxDispatchInterval is the longest time between two calls of dispatch. It applies
// if the queue gives no time for the next check or a later one.
const maxDispatchInterval = 250 * time.Millisecond

func newScheduler(s beechqueue.Settings, clock clockwork.Clock, load func() beechqueue.Load) *scheduler {
	return &scheduler{
		queue:   beechqueue.New(s, clock),
		clock:   clock,
		load:    load,
		wakeup:  make(chan struct{}, 1),
		waiters: map[uint64]chan queueResult{},
	}
}

// acquire waits until the request may run. It returns a refusal, or the error of
// ctx after removing the request from the queue. If it returns neither, the request
// counts as running, and the caller must call finish when it ends.
func (s *scheduler) acquire(ctx context.Context, request beechqueue.Request) (*beechqueue.Refuse, error) {
	result := make(chan queueResult, 1)
	s.mu.Lock()
	s.waiters[request.ID] = result
	s.mu.Unlock()
	defer s.removeWaiter(request.ID)

	switch decision := s.queue.Offer(request, s.load()).(type) {
	case beechqueue.Run:
		return nil, nil
	case beechqueue.Refuse:
		return &decision, nil
	}
	s.wake() // the request's deadline may be before the time that serve waits for
	select {
	case r := <-result:
		return r.refuse, nil
	case <-ctx.Done():
		return s.cancel(ctx, request.ID, result)
	}
}

// cancel removes a waiting request from the queue. If the queue has let it run in the
// meantime, its slot is returned unused.
func (s *scheduler) cancel(ctx context.Context, id uint64, result chan queueResult) (*beechqueue.Refuse, error) {
	if s.queue.Cancel(id) {
		s.wake()
		return nil, ctx.Err()
	}
	r := <-result
	if r.refuse == nil {
		s.finish(id, beechqueue.Usage{Known: true})
	}
	return r.refuse, ctx.Err()
}

func (s *scheduler) removeWaiter(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

func (s *scheduler) finishPrefill(id uint64) {
	s.queue.FinishPrefill(id)
	s.wake()
}

func (s *scheduler) finish(id uint64, usage beechqueue.Usage) {
	s.queue.Finish(id, usage)
	s.wake()
}

func (s *scheduler) wake() {
	beechtask.Notify(s.wakeup)
}

// serve dispatches requests until ctx ends.
func (s *scheduler) serve(ctx context.Context) error {
	for {
		s.dispatch()
		timer := s.clock.NewTimer(s.nextWait())
		select {
		case <-s.wakeup:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

func (s *scheduler) nextWait() time.Duration {
	at, known := s.queue.NextCheck()
	if !known {
		return maxDispatchInterval
	}
	return max(time.Millisecond, min(maxDispatchInterval, at.Sub(s.clock.Now())))
}

func (s *scheduler) dispatch() {
	for _, refused := range s.queue.RemoveOverdue() {
		s.deliver(refused.ID, queueResult{refuse: &refused.Refuse})
	}
	for _, request := range s.queue.Dispatch(s.load()) {
		s.deliver(request.ID, queueResult{})
	}
}

func (s *scheduler) deliver(id uint64, r queueResult) {
	s.mu.Lock()
	result := s.waiters[id]
	s.mu.Unlock()
	if result != nil {
		result <- r
	}
}
