package beechqueue

import (
	"slices"
	"time"
)

const (
	// classCount is the number of priority classes; higher priority numbers count
	// as the last one. A manifest defines only a few priorities.
	classCount = 8

	// quantum is the token cost that a workspace of weight 1 may start per round.
	// It is about the cost of one short request. With a much larger quantum a
	// workspace sends several requests in a row while others wait. A smaller one
	// changes nothing, since rounds in which no workspace has enough credit are
	// skipped at once.
	quantum = 512

	// maxPassed is how many requests of higher classes may start before one of a
	// waiting lower class does. Without it, steady load in a higher class would
	// starve lower ones. One start in 16 costs the higher class about 6% in the
	// worst case.
	maxPassed = 15

	// An item is urgent when the time left until its latest start is below
	// urgentGaps mean intervals between free slots, and below 1/urgentFraction of
	// the wait that it was allowed. With fewer intervals a slot may not become free
	// in time: under saturation, over 30 seeds, 3 and 4 left two refusals of
	// waiting requests, 6 left none. Without the fraction, requests with short
	// deadlines would always go first, and small workspaces were refused more
	// often.
	urgentGaps     = 6
	urgentFraction = 3

	// maxDebt bounds a workspace's debt, in quanta. Without it, a server that once
	// reports an excessive usage would lock the workspace out.
	maxDebt = 1 << 10
)

type (
	// class is one priority class, with deficit round robin among its workspaces.
	class struct {
		flows  map[string]*flow
		active []*flow // with waiting items, in round-robin order
		cursor int     // index in active at which the round continues
		round  int64
		passed int // starts of higher classes while this one had waiting items
	}

	// flow holds a workspace's waiting items in one class. Its deficit is the token
	// cost that it may start now; a negative deficit is a debt.
	flow struct {
		workspace string
		weight    int64
		deficit   int64
		idleSince int64 // round in which its last waiting item left
		items     []*item
		cost      int64 // total of items
		tokens    int64 // uncached, total of items
		charged   int   // running items whose cost was deducted
	}

	// selection is the item that a class would start next, and the rounds that must
	// pass before its flow has enough credit.
	selection struct {
		flow   *flow
		item   *item
		rounds int64
	}
)

// weight returns a workspace's share. Zero counts as 1, like a missing weight,
// because a workspace with weight zero would never be served.
func (q *Queue) weight(workspace string) int64 {
	return int64(min(max(q.settings.Weights[workspace], 1), maxWeight))
}

// hasRoom reports whether the item's workspace may queue one more request. With a
// single limit, one workspace could fill the queue and the others would be refused
// on arrival, however fair the order within it. Instead, a workspace may queue its
// weight times the number of free places: a single workspace gets half of the
// queue, two get a third each, and there is always room for another one.
func (q *Queue) hasRoom(it *item) bool {
	waiting := 0
	if f := q.classes[it.Priority].flows[it.Workspace]; f != nil {
		waiting = len(f.items)
	}
	free := q.settings.MaxWaiting - q.waiting
	return free > 0 && int64(waiting) < q.weight(it.Workspace)*int64(free)
}

func (q *Queue) enqueue(it *item) {
	c := &q.classes[it.Priority]
	f := c.flows[it.Workspace]
	if f == nil {
		f = &flow{workspace: it.Workspace, weight: q.weight(it.Workspace)}
		c.flows[it.Workspace] = f
	}
	if len(f.items) == 0 {
		f.reduceDebt(c.round)
		c.active = append(c.active, f)
	}
	it.flow = f
	f.items = append(f.items, it)
	f.cost += it.cost
	f.tokens += int64(it.uncached())
	q.items[it.ID] = it
	q.waiting++
	q.addPending(it)
}

// dequeue removes an item from its flow.
func (q *Queue) dequeue(it *item) {
	f := it.flow
	f.items = slices.DeleteFunc(f.items, func(o *item) bool { return o == it })
	f.cost -= it.cost
	f.tokens -= int64(it.uncached())
	q.waiting--
	if len(f.items) == 0 {
		q.classes[it.Priority].deactivate(f)
	}
}

// remove removes a waiting item that will never run.
func (q *Queue) remove(it *item) {
	q.dequeue(it)
	q.removePending(it)
	delete(q.items, it.ID)
	q.dropIdleFlows()
}

// startNext starts the next item and returns it, or nil if none may start. Urgent
// items come first, then classes that were passed too often, then classes by
// priority.
func (q *Queue) startNext() *item {
	if it := q.mostUrgent(); it != nil {
		return q.startSelected(it.Priority, selection{flow: it.flow, item: it})
	}
	for i := range q.classes {
		c := &q.classes[i]
		if c.passed < maxPassed {
			continue
		}
		if t, ok := c.next(q); ok {
			return q.startSelected(i, t)
		}
	}
	for i := range q.classes {
		if t, ok := q.classes[i].next(q); ok {
			return q.startSelected(i, t)
		}
	}
	return nil
}

// mostUrgent returns the urgent item with the earliest latest start, or nil. It was
// accepted, but later requests have overtaken it since; without this rule it would
// be refused long after its arrival. Its workspace is charged as usual, so its next
// requests wait longer or are refused on arrival.
func (q *Queue) mostUrgent() *item {
	var urgent *item
	var earliest time.Time
	slotInterval := q.meanRunTime / time.Duration(max(q.load.Slots, 1))
	for _, it := range q.waitingItems() {
		at, bounded := q.latestStart(it)
		if !bounded || (urgent != nil && !at.Before(earliest)) {
			continue
		}
		left := at.Sub(q.now) - q.prefillDuration(it)
		if left < min(urgentGaps*slotInterval, at.Sub(it.arrivedAt)/urgentFraction) && q.mayStart(it) {
			urgent, earliest = it, at
		}
	}
	return urgent
}

// anyMayStart reports whether any waiting item could start now.
func (q *Queue) anyMayStart() bool {
	if q.waiting == 0 {
		return false
	}
	for i := range q.classes {
		for _, f := range q.classes[i].active {
			if f.firstStartable(q) != nil {
				return true
			}
		}
	}
	return false
}

// startSelected starts a selected item and charges its flow.
func (q *Queue) startSelected(priority int, s selection) *item {
	c := &q.classes[priority]
	c.addRounds(s.rounds)
	c.cursor = slices.Index(c.active, s.flow)
	s.flow.deficit -= s.item.cost
	q.recordStart(s.item)
	q.slowdown.recordWait(q.now.Sub(s.item.arrivedAt), s.item.predictedWait)
	s.flow.charged++
	s.item.charged = true
	c.passed = 0
	for i := priority + 1; i < classCount; i++ {
		if len(q.classes[i].active) > 0 {
			q.classes[i].passed++
		}
	}
	q.dequeue(s.item)
	q.start(s.item)
	return s.item
}

// reconcile replaces the estimated cost charged to the flow by the cost of the
// reported usage. If the usage is unknown, the estimate is kept.
func (q *Queue) reconcile(it *item, u Usage) {
	q.recordOutput(it, u)
	if !it.charged {
		return
	}
	f := it.flow
	f.charged--
	if u.Known {
		f.deficit = max(f.deficit+q.cost(it)-q.usageCost(u), -maxDebt*quantum*f.weight)
	}
	if len(f.items) > 0 {
		return
	}
	f.deficit = min(f.deficit, 0)
	if f.deficit == 0 && f.charged == 0 {
		delete(q.classes[it.Priority].flows, f.workspace)
	}
}

// dropIdleFlows resets all flows once nothing waits, and deletes those without
// running items. Without contention no workspace takes capacity from another, so
// debts are cancelled as well.
func (q *Queue) dropIdleFlows() {
	if q.waiting > 0 {
		return
	}
	for i := range q.classes {
		c := &q.classes[i]
		c.passed = 0
		for name, f := range c.flows {
			f.deficit = 0
			if f.charged == 0 {
				delete(c.flows, name)
			}
		}
	}
}

// next returns the flow whose first startable item needs the fewest rounds of
// credit, beginning at the cursor.
func (c *class) next(q *Queue) (best selection, ok bool) {
	for i := range c.active {
		f := c.active[(c.cursor+i)%len(c.active)]
		it := f.firstStartable(q)
		if it == nil {
			continue
		}
		rounds := f.roundsFor(it.cost)
		if !ok || rounds < best.rounds {
			best, ok = selection{flow: f, item: it, rounds: rounds}, true
		}
		if rounds == 0 {
			break
		}
	}
	return best, ok
}

// addRounds credits every active flow with some rounds. A flow accumulates at most
// one quantum beyond the cost of its first item; otherwise one that was held back
// would send a burst later.
func (c *class) addRounds(rounds int64) {
	if rounds == 0 {
		return
	}
	c.round += rounds
	for _, f := range c.active {
		limit := quantum*f.weight + f.items[0].cost
		f.deficit = max(f.deficit, min(f.deficit+rounds*quantum*f.weight, limit))
	}
}

// deactivate removes a flow without waiting items from the round robin. Its credit
// is lost, a debt remains.
func (c *class) deactivate(f *flow) {
	i := slices.Index(c.active, f)
	c.active = slices.Delete(c.active, i, i+1)
	if i < c.cursor {
		c.cursor--
	}
	if c.cursor >= len(c.active) {
		c.cursor = 0
	}
	f.idleSince = c.round
	f.deficit = min(f.deficit, 0)
}

// reduceDebt reduces a debt by the credit of the rounds that passed while the flow
// was inactive.
func (f *flow) reduceDebt(round int64) {
	f.deficit = min(0, f.deficit+(round-f.idleSince)*quantum*f.weight)
}

// firstStartable returns the flow's first item that may start, or nil.
func (f *flow) firstStartable(q *Queue) *item {
	for _, it := range f.items {
		if q.mayStart(it) {
			return it
		}
	}
	return nil
}

// roundsFor returns the number of rounds until the flow can pay a cost.
func (f *flow) roundsFor(cost int64) int64 {
	missing := cost - f.deficit
	if missing <= 0 {
		return 0
	}
	credit := quantum * f.weight
	return (missing + credit - 1) / credit
}

// waitingItems returns all waiting items, ordered by class and workspace.
func (q *Queue) waitingItems() []*item {
	out := make([]*item, 0, q.waiting)
	for i := range q.classes {
		for _, f := range q.classes[i].active {
			out = append(out, f.items...)
		}
	}
	return out
}
