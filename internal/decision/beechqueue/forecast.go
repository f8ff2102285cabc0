package beechqueue

import (
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound when a refused caller is asked to
	// retry. Below 50 ms the extra calls cost more than they gain; callers told to
	// wait more than a minute use another server anyway.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute

	// maxRetryBacklog bounds the period over which retries are spread. Not all
	// refused callers retry, so their work must not accumulate without limit.
	maxRetryBacklog = 10 * time.Second

	// overrunTokens is the output still expected from a request that has run longer
	// than predicted.
	overrunTokens = 16
)

// predictFirstToken predicts the time until the item's first token if it is queued
// now.
func (q *Queue) predictFirstToken(it *item) time.Duration {
	it.predictedWait = q.predictStartWait(it)
	wait := scale(it.predictedWait, q.slowdown.waitRatio())
	if wait > 0 {
		wait = max(wait, q.backlogWait(it))
	}
	return wait + q.prefillUnderWay() + q.prefillDuration(it)
}

// predictStartWait predicts the time until the item starts: until a slot is free
// and the prefills ahead of it are done, except for those that may still be in
// progress.
func (q *Queue) predictStartWait(it *item) time.Duration {
	requests, tokens := q.waitingAhead(it)
	tokens = min(tokens, q.pendingTokens)
	prefill := q.prefillTime(int(tokens + q.prefillingTokens()))
	return max(q.slotWait(requests), prefill-q.prefillAhead(), 0)
}

func (q *Queue) prefillAhead() time.Duration { return max(0, q.settings.PrefillAhead) }

// prefillUnderWay predicts the prefill time of other requests that is still in
// progress when the item starts.
func (q *Queue) prefillUnderWay() time.Duration {
	return min(q.prefillTime(int(q.prefillingTokens())), q.prefillAhead())
}

// lateness returns by how much the item would miss its deadline; 0 or less means
// that it meets it.
func (q *Queue) lateness(it *item, first time.Duration) time.Duration {
	if it.Deadline.IsZero() {
		return 0
	}
	return first - it.Deadline.Sub(q.now)
}

// waitingAhead estimates the waiting requests, and their uncached tokens, that
// start before the item: all of higher classes, all of its own workspace, and the
// fraction of the other workspaces in its class that the round robin serves meanwhile.
func (q *Queue) waitingAhead(it *item) (requests int, tokens int64) {
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
		fraction := min(1, max(0, share)/float64(max(f.cost, 1)))
		requests += int(fraction*float64(len(f.items)) + 0.5)
		tokens += int64(fraction * float64(f.tokens))
	}
	return requests, tokens
}

// slotWait predicts the time until a slot is free for a request behind the given
// number of waiting ones.
func (q *Queue) slotWait(requests int) time.Duration {
	free := q.load.Slots - len(q.running)
	if requests < free || len(q.running) == 0 {
		return 0
	}
	ends := make([]time.Duration, max(free, 0), max(q.load.Slots, len(q.running)))
	var total time.Duration
	for _, it := range q.running {
		ends = append(ends, q.remaining(it))
		total += q.serviceTime(it)
	}
	slices.Sort(ends)
	n := len(ends)
	behind := requests + max(-free, 0) // the slots may have become fewer than the running requests
	return ends[behind%n] + time.Duration(behind/n)*(total/time.Duration(len(q.running)))
}

// serviceTime predicts how long an item occupies a slot. A backend that is not a
// language model has no token rates; its calls are expected to take the mean run
// time.
func (q *Queue) serviceTime(it *item) time.Duration {
	if q.load.PrefillRate <= 0 && q.load.TokenTime <= 0 {
		return q.meanRunTime
	}
	return scale(q.nominalServiceTime(it.uncached(), q.expectedOutput(it)), q.slowdown.runRatio)
}

// serviceTimeOfUsage returns the service time at the reported rates for the actual
// output.
func (q *Queue) serviceTimeOfUsage(it *item, u Usage) time.Duration {
	output := q.expectedOutput(it)
	if u.Known {
		output = float64(clampTokens(u.Output))
	}
	return q.nominalServiceTime(it.uncached(), output)
}

// nominalServiceTime returns the service time at the reported rates.
func (q *Queue) nominalServiceTime(uncached int, output float64) time.Duration {
	return q.prefillTime(uncached) + time.Duration(output*float64(q.load.TokenTime))
}

// prefillDuration predicts the time from the item's start to its first token.
func (q *Queue) prefillDuration(it *item) time.Duration {
	return scale(q.prefillTime(it.uncached()), q.slowdown.prefillRatio)
}

// remaining predicts how much longer a running item occupies its slot.
func (q *Queue) remaining(it *item) time.Duration {
	left := q.serviceTime(it) - q.now.Sub(it.startedAt)
	return max(left, overrunTokens*q.load.TokenTime)
}

// prefillingTokens returns the uncached prompt tokens of running items without a
// first token.
func (q *Queue) prefillingTokens() int64 {
	var n int64
	for _, it := range q.running {
		if !it.prefilled {
			n += int64(it.uncached())
		}
	}
	return n
}

// prefillTime returns the time to prefill tokens at the reported rate. It is 0 if
// the rate is unknown; only the limits on the number of requests protect the server
// then.
func (q *Queue) prefillTime(tokens int) time.Duration {
	if q.load.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(q.load.PrefillRate) * float64(time.Second))
}

// refuse returns a refusal that asks the caller to retry after the expected wait
// plus the work of requests that were refused before. With the same time for all,
// they would retry together and be refused together.
func (q *Queue) refuse(it *item, r Reason, wait time.Duration) Refuse {
	after := wait + q.retryBacklog
	q.retryBacklog = min(q.retryBacklog+q.serverTime(it), maxRetryBacklog)
	return Refuse{Reason: r, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)}
}

// serverTime returns how long the item keeps the whole server busy.
func (q *Queue) serverTime(it *item) time.Duration {
	if q.load.PrefillRate > 0 {
		return q.prefillTime(int(it.cost))
	}
	return q.serviceTime(it) / time.Duration(max(q.load.Slots, 1))
}
