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
	// scheduler joins the queue's decisions to the goroutines that wait for
	// them.
	scheduler struct {
		queue *beechqueue.Queue
		clock clockwork.Clock
		load  func() beechqueue.Load
		kick  chan struct{}

		mu      sync.Mutex
		waiting map[uint64]chan verdict
	}

	// verdict is what a waiting request is told: nil refuse lets it start.
	verdict struct {
		refuse *beechqueue.Refuse
	}
)

// idleTick bounds how late waiting work is looked at when the queue gives no
// time of its own.
const idleTick = 250 * time.Millisecond

func newScheduler(s beechqueue.Settings, clock clockwork.Clock, load func() beechqueue.Load) *scheduler {
	return &scheduler{
		queue:   beechqueue.New(s, clock),
		clock:   clock,
		load:    load,
		kick:    make(chan struct{}, 1),
		waiting: map[uint64]chan verdict{},
	}
}

// acquire waits until the work may run. It returns a refusal, or ctx's error
// once the work is out of the queue; with neither it runs and must be
// finished.
func (s *scheduler) acquire(ctx context.Context, work beechqueue.Request) (*beechqueue.Refuse, error) {
	told := make(chan verdict, 1)
	s.mu.Lock()
	s.waiting[work.ID] = told
	s.mu.Unlock()
	defer s.forget(work.ID)

	switch decision := s.queue.Offer(work, s.load()).(type) {
	case beechqueue.Run:
		return nil, nil
	case beechqueue.Refuse:
		return &decision, nil
	}
	s.wake() // its deadline may be before the time that serve sleeps to
	select {
	case v := <-told:
		return v.refuse, nil
	case <-ctx.Done():
		return s.withdraw(ctx, work.ID, told)
	}
}

// withdraw takes waiting work back. Where it was let run at the same moment,
// its place is given back unused.
func (s *scheduler) withdraw(ctx context.Context, id uint64, told chan verdict) (*beechqueue.Refuse, error) {
	if s.queue.Cancel(id) {
		s.wake()
		return nil, ctx.Err()
	}
	v := <-told
	if v.refuse == nil {
		s.finish(id, beechqueue.Usage{Known: true})
	}
	return v.refuse, ctx.Err()
}

func (s *scheduler) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

func (s *scheduler) prefilled(id uint64) {
	s.queue.FinishPrefill(id)
	s.wake()
}

func (s *scheduler) finish(id uint64, usage beechqueue.Usage) {
	s.queue.Finish(id, usage)
	s.wake()
}

func (s *scheduler) wake() {
	beechtask.Notify(s.kick)
}

// serve gives out work until ctx ends.
func (s *scheduler) serve(ctx context.Context) error {
	for {
		s.dispatch()
		timer := s.clock.NewTimer(s.pause())
		select {
		case <-s.kick:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

func (s *scheduler) pause() time.Duration {
	at, known := s.queue.NextCheck()
	if !known {
		return idleTick
	}
	return max(time.Millisecond, min(idleTick, at.Sub(s.clock.Now())))
}

func (s *scheduler) dispatch() {
	for _, refused := range s.queue.RemoveOverdue() {
		s.tell(refused.ID, verdict{refuse: &refused.Refuse})
	}
	for _, work := range s.queue.Dispatch(s.load()) {
		s.tell(work.ID, verdict{})
	}
}

func (s *scheduler) tell(id uint64, v verdict) {
	s.mu.Lock()
	told := s.waiting[id]
	s.mu.Unlock()
	if told != nil {
		told <- v
	}
}
