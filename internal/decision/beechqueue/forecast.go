package beechqueue

import (
	"slices"
	"time"
)

const (
	// minAfter and maxAfter bound when a refused caller is asked back. Less
	// than a twentieth of a second costs more calls than it serves; who is
	// told more than a minute goes elsewhere anyway.
	minAfter = 50 * time.Millisecond
	maxAfter = time.Minute

	// maxSpread bounds how far refused callers are spread out in time. Not all
	// come back, so their work must not add up without end.
	maxSpread = 10 * time.Second

	// overrunTokens is what work that has outlived its estimate is reckoned to
	// give still.
	overrunTokens = 16
)

// firstToken predicts the time to the item's first token if it waits now.
func (q *Queue) firstToken(it *item) time.Duration {
	it.predicted = q.startWait(it)
	wait := stretch(it.predicted, q.slow.wait())
	if wait > 0 {
		wait = max(wait, q.turnWait(it))
	}
	return wait + q.inPrefill() + q.ownPrefill(it)
}

// startWait predicts when the item starts: when a slot is free and the prefill
// of those before it is done but for what may be under way.
func (q *Queue) startWait(it *item) time.Duration {
	requests, tokens := q.ahead(it)
	tokens = min(tokens, q.pending)
	prefill := q.prefillTime(int(tokens + q.runningTokens()))
	return max(q.slotWait(requests), prefill-q.prefillAhead(), 0)
}

func (q *Queue) prefillAhead() time.Duration { return max(0, q.settings.PrefillAhead) }

// inPrefill is the prefill that the item finds under way when it starts.
func (q *Queue) inPrefill() time.Duration {
	return min(q.prefillTime(int(q.runningTokens())), q.prefillAhead())
}

// late tells by how much the item would miss its deadline; 0 or less is in
// time.
func (q *Queue) late(it *item, first time.Duration) time.Duration {
	if it.Deadline.IsZero() {
		return 0
	}
	return first - it.Deadline.Sub(q.now)
}

// ahead counts the waiting requests, and their uncached tokens, that start
// before the item: all of higher classes, its own workspace's, and of the
// other workspaces of its class as much as the round robin serves beside
// those.
func (q *Queue) ahead(it *item) (requests int, tokens int64) {
	if q.waiting == 0 {
		return 0, 0
	}
	for i := range it.Priority {
		for _, f := range q.classes[i].active {
			requests += len(f.items)
			tokens += f.tokens
		}
	}
	own := it.cost
	if f := q.classes[it.Priority].flows[it.Workspace]; f != nil {
		own += f.cost - f.deficit
		requests += len(f.items)
		tokens += f.tokens
	}
	for _, f := range q.classes[it.Priority].active {
		if f.workspace == it.Workspace {
			continue
		}
		share := float64(own)*float64(f.weight)/float64(q.weight(it.Workspace)) + float64(f.deficit)
		part := min(1, max(0, share)/float64(max(f.cost, 1)))
		requests += int(part*float64(len(f.items)) + 0.5)
		tokens += int64(part * float64(f.tokens))
	}
	return requests, tokens
}

// slotWait predicts when a slot is free for the one behind some waiting
// requests.
func (q *Queue) slotWait(requests int) time.Duration {
	free := q.load.Slots - len(q.running)
	if requests < free || len(q.running) == 0 {
		return 0
	}
	ends := make([]time.Duration, max(free, 0), max(q.load.Slots, len(q.running)))
	var total time.Duration
	for _, it := range q.running {
		ends = append(ends, q.remaining(it))
		total += q.service(it)
	}
	slices.Sort(ends)
	n := len(ends)
	behind := requests + max(-free, 0) // more run than there are slots now
	return ends[behind%n] + time.Duration(behind/n)*(total/time.Duration(len(q.running)))
}

// service predicts how long an item holds a slot. Of a plain service no rates
// are known; its calls are reckoned to take as long as the last ones.
func (q *Queue) service(it *item) time.Duration {
	if q.load.PrefillRate <= 0 && q.load.TokenTime <= 0 {
		return q.meanRun
	}
	return stretch(q.plainService(it.uncached(), q.output(it)), q.slow.run)
}

// serviceOf is the service by the told rates, of the output that was seen.
func (q *Queue) serviceOf(it *item, u Usage) time.Duration {
	output := q.output(it)
	if u.Known {
		output = float64(cleanTokens(u.Output))
	}
	return q.plainService(it.uncached(), output)
}

func (q *Queue) plainService(uncached int, output float64) time.Duration {
	return q.prefillTime(uncached) + time.Duration(output*float64(q.load.TokenTime))
}

// ownPrefill predicts the time from an item's start to its first token.
func (q *Queue) ownPrefill(it *item) time.Duration {
	return stretch(q.prefillTime(it.uncached()), q.slow.prefill)
}

// remaining predicts how long a running item still holds its slot.
func (q *Queue) remaining(it *item) time.Duration {
	left := q.service(it) - q.now.Sub(it.started)
	return max(left, overrunTokens*q.load.TokenTime)
}

// runningTokens counts the prompt that running work has not prefilled yet.
func (q *Queue) runningTokens() int64 {
	var n int64
	for _, it := range q.running {
		if !it.prefilled {
			n += int64(it.uncached())
		}
	}
	return n
}

// prefillTime is 0 where the rate is not known: then only the bounds in number
// protect the server.
func (q *Queue) prefillTime(tokens int) time.Duration {
	if q.load.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(q.load.PrefillRate) * float64(time.Second))
}

// refuse says when to come back: after what is missing now, and after the work
// of those who were refused before. With the same time for all, they would
// come back together and be refused together.
func (q *Queue) refuse(it *item, r Reason, missing time.Duration) Refuse {
	after := missing + q.spread
	q.spread = min(q.spread+q.share(it), maxSpread)
	return Refuse{Reason: r, RetryAfter: min(max(after, minAfter), maxAfter)}
}

// share is how long the whole server is busy with an item.
func (q *Queue) share(it *item) time.Duration {
	if q.load.PrefillRate > 0 {
		return q.prefillTime(int(it.cost))
	}
	return q.service(it) / time.Duration(max(q.load.Slots, 1))
}
