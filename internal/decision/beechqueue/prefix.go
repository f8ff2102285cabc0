package beechqueue

// minShared is the number of shared prompt tokens below which no request waits for
// another: computing them twice costs less than waiting for a turn.
const minShared = 256

// prefix is a level of waiting or prefilling items that the engine has not cached.
type prefix struct {
	needed          int // items that have it in their prompt
	tokens          int // of this level only, without the levels before it
	prefilling      int // running items that are computing it
	smallestPrefill int // fewest uncached tokens among these items
}

// addPending adds the item's uncached prompt to pendingTokens, each shared level
// once. If a hot prefix were counted for each request that waits for it, this
// server would look much busier than it is, and the router would send the requests
// to servers that have to compute the prefix again.
func (q *Queue) addPending(it *item) {
	end := it.CachedTokens
	for _, l := range it.Levels {
		if l.Tokens <= it.CachedTokens {
			continue
		}
		p := q.prefixes[l.Key]
		if p == nil {
			p = &prefix{tokens: l.Tokens - end}
			q.prefixes[l.Key] = p
			q.pendingTokens += int64(p.tokens)
		}
		p.needed++
		end = l.Tokens
	}
	q.pendingTokens += int64(it.PromptTokens - end)
}

// removePending reverses addPending.
func (q *Queue) removePending(it *item) {
	end := it.CachedTokens
	for _, l := range it.Levels {
		if l.Tokens <= it.CachedTokens {
			continue
		}
		end = l.Tokens
		p := q.prefixes[l.Key]
		p.needed--
		if p.needed == 0 {
			q.pendingTokens -= int64(p.tokens)
			delete(q.prefixes, l.Key)
		}
	}
	q.pendingTokens -= int64(it.PromptTokens - end)
}

// beginPrefill marks the item's uncached levels as being computed.
func (q *Queue) beginPrefill(it *item) {
	for _, l := range it.Levels {
		if l.Tokens <= it.CachedTokens {
			continue
		}
		p := q.prefixes[l.Key]
		if p.prefilling == 0 || it.uncached() < p.smallestPrefill {
			p.smallestPrefill = it.uncached()
		}
		p.prefilling++
	}
}

// endPrefill removes the item's prompt from the prefills in progress and from
// pendingTokens.
func (q *Queue) endPrefill(it *item) {
	if it.prefilled {
		return
	}
	it.prefilled = true
	if it.longPrefill {
		q.longPrefills--
	}
	for _, l := range it.Levels {
		if l.Tokens > it.CachedTokens {
			q.prefixes[l.Key].prefilling--
		}
	}
	q.removePending(it)
	q.countShortPrefills()
}

// heldForPrefix reports whether the item should wait for a running item that
// computes the same prefix. If both ran, the engine would compute the prefix twice
// and both first tokens would be late. Waiting does not pay off if the running item
// has to compute more than twice the shared part. The wait is bounded by
// MaxPrefixWait, because the running item may stall or its cache blocks may be
// evicted immediately.
func (q *Queue) heldForPrefix(it *item) bool {
	if q.settings.MaxPrefixWait <= 0 {
		return false
	}
	if !it.heldSince.IsZero() && q.now.Sub(it.heldSince) >= q.settings.MaxPrefixWait {
		return false
	}
	for i := len(it.Levels) - 1; i >= 0; i-- {
		shared := it.Levels[i].Tokens - it.CachedTokens
		if shared < minShared {
			return false
		}
		p := q.prefixes[it.Levels[i].Key]
		if p == nil || p.prefilling == 0 || 2*shared < p.smallestPrefill {
			continue
		}
		if it.heldSince.IsZero() {
			it.heldSince = q.now
		}
		return true
	}
	return false
}

// markCached updates the waiting items after these levels were cached.
func (q *Queue) markCached(levels []Level) {
	if len(levels) == 0 || q.waiting == 0 {
		return
	}
	cached := make(map[Key]struct{}, len(levels))
	for _, l := range levels {
		cached[l.Key] = struct{}{}
	}
	for _, it := range q.waitingItems() {
		q.raiseCached(it, cached)
	}
}

// raiseCached raises the item's cached tokens to the longest prefix in cached.
func (q *Queue) raiseCached(it *item, cached map[Key]struct{}) {
	tokens := it.CachedTokens
	for _, l := range it.Levels {
		if _, ok := cached[l.Key]; !ok {
			break
		}
		tokens = max(tokens, l.Tokens)
	}
	q.setCached(it, tokens)
}

// setCached sets the cached tokens of a waiting item and updates all sums that
// depend on them.
func (q *Queue) setCached(it *item, tokens int) {
	if tokens == it.CachedTokens {
		return
	}
	q.removePending(it)
	it.flow.cost -= it.cost
	it.flow.tokens -= int64(it.uncached())
	it.CachedTokens = tokens
	it.cost = q.cost(it)
	it.flow.cost += it.cost
	it.flow.tokens += int64(it.uncached())
	q.addPending(it)
}
