package beechqueue

// minShared is the shared prompt, in tokens, below which nothing is held back:
// to prefill it twice costs less than a turn of the queue.
const minShared = 256

// prefix is a level that some work, waiting or in prefill, needs and the
// engine does not hold.
type prefix struct {
	wanted     int // items that need it
	tokens     int // of this level alone
	prefilling int // running items that bring it into the cache
	leader     int // uncached tokens of the smallest of those
}

// want counts the item's uncached prompt, each shared level once. Counting a
// hot prefix for each of its waiting requests would make this server look far
// busier than it is, and the router would send them where the prefix must be
// computed again.
func (q *Queue) want(it *item) {
	end := it.CachedTokens
	for _, l := range it.Levels {
		if l.Tokens <= it.CachedTokens {
			continue
		}
		p := q.prefixes[l.Key]
		if p == nil {
			p = &prefix{tokens: l.Tokens - end}
			q.prefixes[l.Key] = p
			q.pending += int64(p.tokens)
		}
		p.wanted++
		end = l.Tokens
	}
	q.pending += int64(it.PromptTokens - end)
}

// unwant takes back what want counted.
func (q *Queue) unwant(it *item) {
	end := it.CachedTokens
	for _, l := range it.Levels {
		if l.Tokens <= it.CachedTokens {
			continue
		}
		end = l.Tokens
		p := q.prefixes[l.Key]
		p.wanted--
		if p.wanted == 0 {
			q.pending -= int64(p.tokens)
			delete(q.prefixes, l.Key)
		}
	}
	q.pending -= int64(it.PromptTokens - end)
}

// beginPrefill marks the item's uncached levels as on their way.
func (q *Queue) beginPrefill(it *item) {
	for _, l := range it.Levels {
		if l.Tokens <= it.CachedTokens {
			continue
		}
		p := q.prefixes[l.Key]
		if p.prefilling == 0 || it.uncached() < p.leader {
			p.leader = it.uncached()
		}
		p.prefilling++
	}
}

// endPrefill takes the item's prompt out of what is still to be computed.
func (q *Queue) endPrefill(it *item) {
	if it.prefilled {
		return
	}
	it.prefilled = true
	if it.long {
		q.longs--
	}
	for _, l := range it.Levels {
		if l.Tokens > it.CachedTokens {
			q.prefixes[l.Key].prefilling--
		}
	}
	q.unwant(it)
	q.countShorts()
}

// held tells whether the item should wait for a running one that computes the
// same prefix. If both ran, the engine would compute it twice and both first
// tokens would be late. It is not worth it where the running one has more than
// twice the shared part to compute. The wait is bounded: a leader may hang, or
// its blocks may be evicted at once.
func (q *Queue) held(it *item) bool {
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
		if p == nil || p.prefilling == 0 || 2*shared < p.leader {
			continue
		}
		if it.heldSince.IsZero() {
			it.heldSince = q.now
		}
		return true
	}
	return false
}

// shareWithWaiting tells waiting work that levels are cached now.
func (q *Queue) shareWithWaiting(levels []Level) {
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

// raiseCached lowers the item's cost by what another's prefill brought in.
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

// setCached corrects what waiting work is reckoned to find in the cache.
func (q *Queue) setCached(it *item, tokens int) {
	if tokens == it.CachedTokens {
		return
	}
	q.unwant(it)
	it.flow.cost -= it.cost
	it.flow.tokens -= int64(it.uncached())
	it.CachedTokens = tokens
	it.cost = q.cost(it)
	it.flow.cost += it.cost
	it.flow.tokens += int64(it.uncached())
	q.want(it)
}
