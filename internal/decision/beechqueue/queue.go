package beechqueue

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
)

type (
	// Queue decides what runs on one backend server. It is safe for
	// concurrent use.
	Queue struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		now      time.Time // never steps back
		load     Load      // the last that was told
		classes  [classCount]class
		items    map[uint64]*item // waiting and running
		running  []*item
		waiting  int
		longs    int // running long prefills
		shorts   int // uncached tokens of the other prefills under way
		alone    int // running suspects
		prefixes map[Key]*prefix
		pending  int64         // uncached tokens waited for, each prefix once
		spread   time.Duration // work of refused callers that may come back
		habits   *lru.Cache[string, *habit]
		meanRun  time.Duration // of lately finished work
		slow     slowness
	}

	// item is work that waits or runs.
	item struct {
		Request
		flow      *flow
		cost      int64
		arrived   time.Time
		predicted time.Duration // wait, at arrival
		heldSince time.Time     // zero until it is first held back for a prefix
		started   time.Time     // zero while it waits
		long      bool          // counted in longs
		charged   bool          // paid for by its flow
		prefilled bool
	}
)

// New returns an empty queue.
func New(s Settings, c clockwork.Clock) *Queue {
	habits, _ := lru.New[string, *habit](maxHabits) // fails for a size below 1 only
	q := &Queue{
		settings: s,
		clock:    c,
		now:      c.Now(),
		items:    make(map[uint64]*item),
		prefixes: make(map[Key]*prefix),
		habits:   habits,
	}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

// Configure puts other settings in force for what is offered from here on.
// Work that waits keeps its place, also beyond a smaller bound.
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

// Offer asks whether work may run now, must wait or is refused. Run counts as
// running until Finish. After Wait, the caller uses Dispatch.
func (q *Queue) Offer(w Request, l Load) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tick(l)
	if _, known := q.items[w.ID]; known {
		return Refuse{Reason: ReasonInvalid}
	}
	it := &item{Request: clean(w), arrived: q.now}
	it.cost = q.cost(it)
	if l.Slots <= 0 {
		return q.refuse(it, ReasonBusy, 0)
	}
	first := q.firstToken(it)
	sure := q.sure(it, first)
	if late := q.late(it, sure); late > 0 {
		return q.refuse(it, ReasonDeadline, late)
	}
	if q.mayStart(it) && !q.anyMayStart() {
		q.items[it.ID] = it
		q.want(it)
		q.start(it)
		return Run{}
	}
	if !q.hasRoom(it) {
		return q.refuse(it, ReasonBusy, q.slotWait(q.waiting/2))
	}
	if long := sure - q.settings.MaxWait; q.settings.MaxWait > 0 && it.Deadline.IsZero() && long > 0 {
		return q.refuse(it, ReasonBusy, long)
	}
	q.enqueue(it)
	return Wait{Position: q.waiting, FirstToken: first}
}

// Dispatch gives the work that may start now, in order; it counts as running from
// here on. Call it after Offer said Wait, after FinishPrefill, Finish, Cancel and
// RemoveOverdue, and at NextCheck.
func (q *Queue) Dispatch(l Load) []Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tick(l)
	var out []Request
	for len(q.running) < l.Slots {
		it := q.pick()
		if it == nil {
			break
		}
		out = append(out, it.Request)
	}
	return out
}

// FinishPrefill tells that the first token of running work came: its prefix is
// cached now and work that shares it may start.
func (q *Queue) FinishPrefill(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	it := q.items[id]
	if it == nil || it.started.IsZero() || it.prefilled {
		return
	}
	q.tick(q.load)
	q.slow.learnPrefill(q.now.Sub(it.started), q.prefillTime(it.uncached()))
	q.endPrefill(it)
	q.shareWithWaiting(it.Levels)
}

// Finish tells that running work has ended and what it took. Work that is not
// running is passed over, so that a second Finish does no harm.
func (q *Queue) Finish(id uint64, u Usage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	it := q.items[id]
	if it == nil || it.started.IsZero() {
		return
	}
	q.tick(q.load)
	if it.prefilled {
		q.slow.learnRun(q.now.Sub(it.started), q.serviceOf(it, u))
	}
	q.endPrefill(it)
	q.stop(it)
	q.reconcile(it, u)
	q.forgetIdle()
}

// CacheLost tells that the engine came back empty: waiting work is reckoned as
// not cached from here on. What ran ends by Finish as always.
func (q *Queue) CacheLost() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range q.waitingItems() {
		q.setCached(it, 0)
	}
}

// Cancel takes back waiting work; true says that it never ran and never will.
// It is false for running work, which ends by Finish.
func (q *Queue) Cancel(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	it := q.items[id]
	if it == nil || !it.started.IsZero() {
		return false
	}
	q.drop(it)
	return true
}

// RemoveOverdue takes out the waiting work that cannot meet its deadline any more,
// or has no deadline and has waited for MaxWait. It never ran and is to be
// answered at once.
func (q *Queue) RemoveOverdue() []Refused {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tick(q.load)
	var out []Refused
	for _, it := range q.waitingItems() {
		at, bounded := q.overdueAt(it)
		if !bounded || !q.now.After(at) {
			continue
		}
		q.drop(it)
		reason := ReasonDeadline
		if it.Deadline.IsZero() {
			reason = ReasonBusy
		}
		out = append(out, Refused{ID: it.ID, Refuse: q.refuse(it, reason, q.slotWait(q.waiting))})
	}
	return out
}

// NextCheck says when Dispatch and RemoveOverdue should be called again even if nothing is
// offered, prefilled or finished before; false if there is no such time.
func (q *Queue) NextCheck() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tick(q.load)
	var wake time.Time
	for _, it := range q.waitingItems() {
		if at, bounded := q.overdueAt(it); bounded {
			wake = earlier(wake, at.Add(time.Nanosecond))
		}
		released := it.heldSince.Add(q.settings.MaxPrefixWait)
		if !it.heldSince.IsZero() && released.After(q.now) {
			wake = earlier(wake, released)
		}
	}
	if q.waiting > 0 && q.settings.PrefillAhead > 0 {
		wake = q.nextHang(wake)
	}
	return wake, !wake.IsZero()
}

// State tells what the queue holds now.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Running: len(q.running), Waiting: q.waiting, WaitingTokens: q.pending}
}

// tick takes over the load and the time. A clock that steps back would make
// waiting work look as if it had not arrived yet, and its wait negative; time
// stands still instead until the clock has caught up.
func (q *Queue) tick(l Load) {
	q.load = cleanLoad(l)
	now := q.clock.Now()
	if !now.After(q.now) {
		return
	}
	q.spread = max(0, q.spread-now.Sub(q.now))
	q.now = now
	q.countShorts()
}

// start makes an item run.
func (q *Queue) start(it *item) {
	it.started = q.now
	it.long = q.isLong(it)
	if it.long {
		q.longs++
	}
	if it.Suspect {
		q.alone++
	}
	q.running = append(q.running, it)
	q.beginPrefill(it)
	q.countShorts()
}

// stop takes an item out of the running ones.
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
		q.alone--
	}
	delete(q.items, it.ID)
	took := q.now.Sub(it.started)
	if q.meanRun == 0 {
		q.meanRun = took
	}
	q.meanRun += (took - q.meanRun) / runMemory
}

// mayStart tells whether nothing holds the item back but its turn. Two
// suspects at once would leave it open which of them crashed the server.
func (q *Queue) mayStart(it *item) bool {
	if len(q.running) >= q.load.Slots {
		return false
	}
	if it.Suspect && q.alone > 0 {
		return false
	}
	if q.held(it) {
		return false
	}
	if q.isLong(it) && q.longs >= max(1, q.settings.MaxLongPrefills) {
		return false
	}
	return !q.prefillIsFull()
}

// prefillIsFull tells whether the server has enough to prefill. What it has
// beyond that makes no answer sooner, and among what has been started there
// are no turns any more: whoever comes next waits for all of it. Long prefills
// are held back too then, or each short one that ends would let a long one pass
// all that wait.
func (q *Queue) prefillIsFull() bool {
	ahead := q.prefillAhead()
	return ahead > 0 && q.load.PrefillRate > 0 && q.prefillTime(q.shorts) >= ahead
}

// countShorts counts the uncached tokens of running short prefills. One that
// takes twice as long as predicted hangs, and must not stop the others.
func (q *Queue) countShorts() {
	q.shorts = 0
	for _, it := range q.running {
		if !it.prefilled && !it.long && q.now.Before(q.hangsAt(it)) {
			q.shorts += it.uncached()
		}
	}
}

func (q *Queue) hangsAt(it *item) time.Time {
	return it.started.Add(2*q.ownPrefill(it) + hangSlack)
}

// nextHang gives the time at which the next running prefill counts as hanging,
// if that is before another one.
func (q *Queue) nextHang(wake time.Time) time.Time {
	for _, it := range q.running {
		at := q.hangsAt(it)
		if !it.prefilled && !it.long && at.After(q.now) {
			wake = earlier(wake, at)
		}
	}
	return wake
}

// isLong tells whether the item's prefill would keep short work from its first
// token for long.
func (q *Queue) isLong(it *item) bool {
	long := q.settings.LongPrefill
	if long <= 0 {
		long = q.load.PrefillRate
	}
	return long > 0 && it.uncached() >= long
}

// overdueAt gives the last time at which waiting work is worth a start.
func (q *Queue) overdueAt(it *item) (at time.Time, bounded bool) {
	if !it.Deadline.IsZero() {
		return it.Deadline.Add(-q.prefillTime(it.uncached())), true
	}
	if q.settings.MaxWait > 0 {
		return it.arrived.Add(q.settings.MaxWait), true
	}
	return time.Time{}, false
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
