package beechqueue

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
)

type (
	// Queue decides which requests run on one backend server. It is safe for
	// concurrent use.
	Queue struct {
		mu                 sync.Mutex
		settings           Settings
		clock              clockwork.Clock
		now                time.Time // never moves backwards
		load               Load      // as last reported
		classes            [classCount]class
		items              map[uint64]*item // waiting and running, by request ID
		running            []*item
		waiting            int
		longPrefills       int // in progress
		shortPrefillTokens int // uncached tokens of the short prefills in progress
		runningSuspects    int
		prefixes           map[Key]*prefix
		pendingTokens      int64         // uncached tokens not prefilled yet, each prefix once
		retryBacklog       time.Duration // server time that refused requests need if retried
		workspaceStats     *lru.Cache[string, *stats]
		meanRunTime        time.Duration // moving average over finished requests
		slowdown           slowdown
	}

	// item is a waiting or running request.
	item struct {
		Request
		flow          *flow
		cost          int64
		arrivedAt     time.Time
		predictedWait time.Duration // until the start, predicted on arrival
		heldSince     time.Time     // when it first waited for a shared prefix; zero if never
		startedAt     time.Time     // zero while waiting
		longPrefill   bool          // counted in Queue.longPrefills
		charged       bool          // its cost was deducted from its flow's deficit
		prefilled     bool
	}
)

// New returns an empty queue.
func New(s Settings, c clockwork.Clock) *Queue {
	workspaceStats, _ := lru.New[string, *stats](maxWorkspaces) // fails only for a size below 1
	q := &Queue{
		settings:       s,
		clock:          c,
		now:            c.Now(),
		items:          make(map[uint64]*item),
		prefixes:       make(map[Key]*prefix),
		workspaceStats: workspaceStats,
	}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

// Configure replaces the settings. Requests that already wait keep their places,
// even if there are now more of them than MaxWaiting.
func (q *Queue) Configure(s Settings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settings = s
	for i := range q.classes {
		for name, f := range q.classes[i].flows {
			f.weight = q.weight(name)
		}
	}
}

// Offer decides whether a request runs now, waits or is refused. After Run it
// counts as running until Finish. After Wait, Dispatch returns it later.
func (q *Queue) Offer(r Request, l Load) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(l)
	if _, known := q.items[r.ID]; known {
		return Refuse{Reason: ReasonInvalid}
	}
	it := &item{Request: sanitize(r), arrivedAt: q.now}
	it.cost = q.cost(it)
	if l.Slots <= 0 {
		return q.refuse(it, ReasonBusy, 0)
	}
	first := q.predictFirstToken(it)
	conservative := q.withMargin(it, first)
	if lateness := q.lateness(it, conservative); lateness > 0 {
		return q.refuse(it, ReasonDeadline, lateness)
	}
	if q.mayStart(it) && !q.anyMayStart() {
		q.items[it.ID] = it
		q.addPending(it)
		q.start(it)
		return Run{}
	}
	if !q.hasRoom(it) {
		return q.refuse(it, ReasonBusy, q.slotWait(q.waiting/2))
	}
	if excess := conservative - q.settings.MaxWait; q.settings.MaxWait > 0 && it.Deadline.IsZero() && excess > 0 {
		return q.refuse(it, ReasonBusy, excess)
	}
	q.enqueue(it)
	return Wait{Position: q.waiting, FirstToken: first}
}

// Dispatch starts the waiting requests that may run now and returns them in order;
// they count as running until Finish. Call it after Offer returned Wait, after
// FinishPrefill, Finish, Cancel and RemoveOverdue, and at the time from NextCheck.
func (q *Queue) Dispatch(l Load) []Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(l)
	var out []Request
	for len(q.running) < l.Slots {
		it := q.startNext()
		if it == nil {
			break
		}
		out = append(out, it.Request)
	}
	return out
}

// FinishPrefill records that a running request produced its first token. Its prefix
// is now cached, so requests that share it may start.
func (q *Queue) FinishPrefill(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	it := q.items[id]
	if it == nil || it.startedAt.IsZero() || it.prefilled {
		return
	}
	q.observe(q.load)
	q.slowdown.recordPrefill(q.now.Sub(it.startedAt), q.prefillTime(it.uncached()))
	q.endPrefill(it)
	q.markCached(it.Levels)
}

// Finish records the end of a running request and its usage. Calls for a request
// that is not running are ignored, so a second Finish is harmless.
func (q *Queue) Finish(id uint64, u Usage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	it := q.items[id]
	if it == nil || it.startedAt.IsZero() {
		return
	}
	q.observe(q.load)
	if it.prefilled {
		q.slowdown.recordRun(q.now.Sub(it.startedAt), q.serviceTimeOfUsage(it, u))
	}
	q.endPrefill(it)
	q.stop(it)
	q.reconcile(it, u)
	q.dropIdleFlows()
}

// CacheLost records that the engine restarted with an empty cache: no prompt tokens
// of waiting requests count as cached any more. Running requests still end by
// Finish.
func (q *Queue) CacheLost() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range q.waitingItems() {
		q.setCached(it, 0)
	}
}

// Cancel removes a waiting request. It returns true if the request never ran and
// never will, and false for a running request, which ends by Finish.
func (q *Queue) Cancel(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	it := q.items[id]
	if it == nil || !it.startedAt.IsZero() {
		return false
	}
	q.remove(it)
	return true
}

// RemoveOverdue removes the waiting requests that can no longer meet their
// deadline, and those without a deadline that have waited for MaxWait. They never
// ran, and their callers should be answered immediately.
func (q *Queue) RemoveOverdue() []Refused {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(q.load)
	var out []Refused
	for _, it := range q.waitingItems() {
		at, bounded := q.latestStart(it)
		if !bounded || !q.now.After(at) {
			continue
		}
		q.remove(it)
		reason := ReasonDeadline
		if it.Deadline.IsZero() {
			reason = ReasonBusy
		}
		out = append(out, Refused{ID: it.ID, Refuse: q.refuse(it, reason, q.slotWait(q.waiting))})
	}
	return out
}

// NextCheck returns when Dispatch and RemoveOverdue must be called even if no
// request is offered, prefilled or finished before. It returns false if there is no
// such time.
func (q *Queue) NextCheck() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(q.load)
	var next time.Time
	for _, it := range q.waitingItems() {
		if at, bounded := q.latestStart(it); bounded {
			next = earlier(next, at.Add(time.Nanosecond))
		}
		released := it.heldSince.Add(q.settings.MaxPrefixWait)
		if !it.heldSince.IsZero() && released.After(q.now) {
			next = earlier(next, released)
		}
	}
	if q.waiting > 0 && q.settings.PrefillAhead > 0 {
		next = q.nextStall(next)
	}
	return next, !next.IsZero()
}

// State returns a snapshot of the queue.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Running: len(q.running), Waiting: q.waiting, WaitingTokens: q.pendingTokens}
}

// observe takes over the reported load and the current time. If the clock steps
// back, the queue's time stands still until the clock catches up; otherwise
// requests would seem to arrive in the future and have negative waits.
func (q *Queue) observe(l Load) {
	q.load = sanitizeLoad(l)
	now := q.clock.Now()
	if !now.After(q.now) {
		return
	}
	q.retryBacklog = max(0, q.retryBacklog-now.Sub(q.now))
	q.now = now
	q.countShortPrefills()
}

func (q *Queue) start(it *item) {
	it.startedAt = q.now
	it.longPrefill = q.isLong(it)
	if it.longPrefill {
		q.longPrefills++
	}
	if it.Suspect {
		q.runningSuspects++
	}
	q.running = append(q.running, it)
	q.beginPrefill(it)
	q.countShortPrefills()
}

// stop removes a running item and updates the mean run time.
func (q *Queue) stop(it *item) {
	for i, r := range q.running {
		if r == it {
			last := len(q.running) - 1
			q.running[i] = q.running[last]
			q.running[last] = nil
			q.running = q.running[:last]
			break
		}
	}
	if it.Suspect {
		q.runningSuspects--
	}
	delete(q.items, it.ID)
	took := q.now.Sub(it.startedAt)
	if q.meanRunTime == 0 {
		q.meanRunTime = took
	}
	q.meanRunTime += (took - q.meanRunTime) / runTimeSamples
}

// mayStart reports whether the item may start once its turn comes. Two suspects
// never run together, because it would be unknown which of them crashed the server.
func (q *Queue) mayStart(it *item) bool {
	if len(q.running) >= q.load.Slots {
		return false
	}
	if it.Suspect && q.runningSuspects > 0 {
		return false
	}
	if q.heldForPrefix(it) {
		return false
	}
	if q.isLong(it) && q.longPrefills >= max(1, q.settings.MaxLongPrefills) {
		return false
	}
	return !q.prefillSaturated()
}

// prefillSaturated reports whether the prefills in progress reach PrefillAhead.
// Starting more would not produce any first token sooner, and as fairness and
// priorities no longer apply to started requests, a later request would have to
// wait for all of them. Long prefills are held back as well; otherwise each short
// prefill that ends would let a long one overtake every waiting request.
func (q *Queue) prefillSaturated() bool {
	ahead := q.prefillAhead()
	return ahead > 0 && q.load.PrefillRate > 0 && q.prefillTime(q.shortPrefillTokens) >= ahead
}

// countShortPrefills recounts the uncached tokens of short prefills in progress. A
// prefill that takes more than twice its predicted time counts as stalled and is
// left out, so that it cannot block other requests.
func (q *Queue) countShortPrefills() {
	q.shortPrefillTokens = 0
	for _, it := range q.running {
		if !it.prefilled && !it.longPrefill && q.now.Before(q.stalledAt(it)) {
			q.shortPrefillTokens += it.uncached()
		}
	}
}

// stalledAt returns the time from which the item's prefill counts as stalled.
func (q *Queue) stalledAt(it *item) time.Time {
	return it.startedAt.Add(2*q.prefillDuration(it) + stallSlack)
}

// nextStall returns the time at which the next prefill counts as stalled, or next
// if that is earlier.
func (q *Queue) nextStall(next time.Time) time.Time {
	for _, it := range q.running {
		at := q.stalledAt(it)
		if !it.prefilled && !it.longPrefill && at.After(q.now) {
			next = earlier(next, at)
		}
	}
	return next
}

// isLong reports whether the item's prefill is long enough to delay the first
// tokens of short requests considerably.
func (q *Queue) isLong(it *item) bool {
	long := q.settings.LongPrefill
	if long <= 0 {
		long = q.load.PrefillRate
	}
	return long > 0 && it.uncached() >= long
}

// latestStart returns the latest time at which starting a waiting item is still
// useful; bounded is false if there is none.
func (q *Queue) latestStart(it *item) (at time.Time, bounded bool) {
	if !it.Deadline.IsZero() {
		return it.Deadline.Add(-q.prefillTime(it.uncached())), true
	}
	if q.settings.MaxWait > 0 {
		return it.arrivedAt.Add(q.settings.MaxWait), true
	}
	return time.Time{}, false
}

// earlier returns the earlier time; a zero a counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
