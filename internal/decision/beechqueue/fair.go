package beechqueue

import (
	"slices"
	"time"
)

const (
	// classCount bounds the priority classes; a higher number counts as the
	// last. A manifest names a handful.
	classCount = 8

	// quantum is the token cost a workspace of weight 1 may start a round. It
	// is about the cost of one short request: with much more, a workspace
	// sends several in a row while others wait; with less, nothing changes,
	// since rounds in which nobody can pay are skipped at once.
	quantum = 512

	// starveAfter is how many starts of higher classes may pass a class that
	// waits before one of it goes. Without it a steady higher class would
	// keep lower work waiting without an end; one start in 16 costs the
	// higher class about 6% in the worst case.
	starveAfter = 15

	// Work is urgent when its last chance to start is closer than urgentGaps
	// of the times in which the server has a slot free, and in the last third
	// of the time it may wait. With fewer gaps there may be no slot in time: in
	// saturation, 30 seeds, 3 and 4 left two refusals told late, 6 none. Without the
	// part, work with a short deadline would always go first, and small
	// workspaces were refused more often.
	urgentGaps = 6
	urgentPart = 3

	// maxDebt is how far, in quanta, a workspace may owe. Without a bound a
	// server that reports absurd usage once would shut a workspace out.
	maxDebt = 1 << 10
)

type (
	// class is one priority with deficit round robin among its workspaces.
	class struct {
		flows  map[string]*flow
		active []*flow // with waiting work, in ring order
		cursor int     // index in active where the round goes on
		round  int64
		passed int // starts of higher classes while this one waited
	}

	// flow is a workspace's waiting work in one class. Its deficit is the
	// token cost it may start now; below 0 it is a debt.
	flow struct {
		workspace string
		weight    int64
		deficit   int64
		left      int64 // round in which it had no more waiting work
		items     []*item
		cost      int64 // of all items
		tokens    int64 // uncached, of all items
		charged   int   // running items that it paid for
	}

	// turn is the work that a class would start, and the rounds that must
	// pass before its workspace can pay.
	turn struct {
		flow   *flow
		item   *item
		rounds int64
	}
)

// weight gives a workspace's share. A weight of zero would never be served; it
// counts as 1, like a missing one.
func (q *Queue) weight(workspace string) int64 {
	return int64(min(max(q.settings.Weights[workspace], 1), maxWeight))
}

// hasRoom tells whether the item's workspace may have one more waiting. A
// plain bound would let one workspace fill the queue, and the others would be
// turned away at the door however fair the order within is. So each may fill
// as much as is still free, times its weight: one alone gets half of the
// queue, two get a third each, and there is always room for one more.
func (q *Queue) hasRoom(it *item) bool {
	waiting := 0
	if f := q.classes[it.Priority].flows[it.Workspace]; f != nil {
		waiting = len(f.items)
	}
	free := q.settings.MaxWaiting - q.waiting
	return free > 0 && int64(waiting) < q.weight(it.Workspace)*int64(free)
}

// enqueue lets an item wait.
func (q *Queue) enqueue(it *item) {
	c := &q.classes[it.Priority]
	f := c.flows[it.Workspace]
	if f == nil {
		f = &flow{workspace: it.Workspace, weight: q.weight(it.Workspace)}
		c.flows[it.Workspace] = f
	}
	if len(f.items) == 0 {
		f.payDebt(c.round)
		c.active = append(c.active, f)
	}
	it.flow = f
	f.items = append(f.items, it)
	f.cost += it.cost
	f.tokens += int64(it.uncached())
	q.items[it.ID] = it
	q.waiting++
	q.want(it)
}

// dequeue takes an item out of its flow.
func (q *Queue) dequeue(it *item) {
	f := it.flow
	f.items = slices.DeleteFunc(f.items, func(o *item) bool { return o == it })
	f.cost -= it.cost
	f.tokens -= int64(it.uncached())
	q.waiting--
	if len(f.items) == 0 {
		q.classes[it.Priority].leave(f)
	}
}

// drop takes waiting work out that will never run.
func (q *Queue) drop(it *item) {
	q.dequeue(it)
	q.unwant(it)
	delete(q.items, it.ID)
	q.forgetIdle()
}

// pick starts the work whose turn it is; nil if none may start.
func (q *Queue) pick() *item {
	if it := q.urgent(); it != nil {
		return q.take(it.Priority, turn{flow: it.flow, item: it})
	}
	for i := range q.classes {
		c := &q.classes[i]
		if c.passed < starveAfter {
			continue
		}
		if t, ok := c.turn(q); ok {
			return q.take(i, t)
		}
	}
	for i := range q.classes {
		if t, ok := q.classes[i].turn(q); ok {
			return q.take(i, t)
		}
	}
	return nil
}

// urgent gives the waiting work whose last chance to start is nearest, once
// that is near. It was told that it would be
// served, and work that came later has passed it since; without this it would
// be refused long after it asked. Its workspace pays for it as for any other,
// so that its next work waits longer or is refused when it asks.
func (q *Queue) urgent() *item {
	var first *item
	var firstAt time.Time
	gap := q.meanRun / time.Duration(max(q.load.Slots, 1))
	for _, it := range q.waitingItems() {
		at, bounded := q.overdueAt(it)
		if !bounded || (first != nil && !at.Before(firstAt)) {
			continue
		}
		left := at.Sub(q.now) - q.ownPrefill(it)
		if left < min(urgentGaps*gap, at.Sub(it.arrived)/urgentPart) && q.mayStart(it) {
			first, firstAt = it, at
		}
	}
	return first
}

// anyMayStart tells whether waiting work could start now.
func (q *Queue) anyMayStart() bool {
	if q.waiting == 0 {
		return false
	}
	for i := range q.classes {
		for _, f := range q.classes[i].active {
			if f.first(q) != nil {
				return true
			}
		}
	}
	return false
}

func (q *Queue) take(priority int, t turn) *item {
	c := &q.classes[priority]
	c.advance(t.rounds)
	c.cursor = slices.Index(c.active, t.flow)
	t.flow.deficit -= t.item.cost
	q.learnTurn(t.item)
	q.slow.learnWait(q.now.Sub(t.item.arrived), t.item.predicted)
	t.flow.charged++
	t.item.charged = true
	c.passed = 0
	for i := priority + 1; i < classCount; i++ {
		if len(q.classes[i].active) > 0 {
			q.classes[i].passed++
		}
	}
	q.dequeue(t.item)
	q.start(t.item)
	return t.item
}

// reconcile corrects what the flow paid by estimate to what the work took.
// Usage that is not known leaves the estimate.
func (q *Queue) reconcile(it *item, u Usage) {
	q.learnOutput(it, u)
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

// forgetIdle drops flows that nothing depends on. With nothing waiting there
// is no contention: what one workspace took then was taken from nobody, so
// debts end too.
func (q *Queue) forgetIdle() {
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

// turn finds the flow that can pay for its first startable item in the fewest
// rounds, from the cursor on.
func (c *class) turn(q *Queue) (t turn, ok bool) {
	for i := range c.active {
		f := c.active[(c.cursor+i)%len(c.active)]
		it := f.first(q)
		if it == nil {
			continue
		}
		rounds := f.roundsFor(it.cost)
		if !ok || rounds < t.rounds {
			t, ok = turn{flow: f, item: it, rounds: rounds}, true
		}
		if rounds == 0 {
			break
		}
	}
	return t, ok
}

// advance gives every active flow the credit of some rounds. A flow that is
// held back saves no more than its next item costs, or it would send a burst
// later.
func (c *class) advance(rounds int64) {
	if rounds == 0 {
		return
	}
	c.round += rounds
	for _, f := range c.active {
		limit := quantum*f.weight + f.items[0].cost
		f.deficit = max(f.deficit, min(f.deficit+rounds*quantum*f.weight, limit))
	}
}

// leave takes a flow without waiting work out of the ring. Credit is not
// saved up, a debt stays.
func (c *class) leave(f *flow) {
	i := slices.Index(c.active, f)
	c.active = slices.Delete(c.active, i, i+1)
	if i < c.cursor {
		c.cursor--
	}
	if c.cursor >= len(c.active) {
		c.cursor = 0
	}
	f.left = c.round
	f.deficit = min(f.deficit, 0)
}

// payDebt lowers a debt by the rounds that passed without the flow.
func (f *flow) payDebt(round int64) {
	f.deficit = min(0, f.deficit+(round-f.left)*quantum*f.weight)
}

// first gives the flow's first item that may start.
func (f *flow) first(q *Queue) *item {
	for _, it := range f.items {
		if q.mayStart(it) {
			return it
		}
	}
	return nil
}

func (f *flow) roundsFor(cost int64) int64 {
	missing := cost - f.deficit
	if missing <= 0 {
		return 0
	}
	credit := quantum * f.weight
	return (missing + credit - 1) / credit
}

// waitingItems gives all waiting items, by class and workspace.
func (q *Queue) waitingItems() []*item {
	out := make([]*item, 0, q.waiting)
	for i := range q.classes {
		for _, f := range q.classes[i].active {
			out = append(out, f.items...)
		}
	}
	return out
}
