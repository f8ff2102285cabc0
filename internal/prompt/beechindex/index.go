package beechindex

import (
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultBytes = 8 << 20
	entryBytes   = 320 // an entry with its key and list links
	blockBytes   = 240 // a block's tie with its key and list links

	maxEnded = 64 // incarnations remembered as ended
)

type (
	entryKey struct {
		salt string
		key  Key
	}

	// entry is one level. Epoch counts the gaps before it was last confirmed;
	// doubt the evictions of unknown blocks, which count against it while it is
	// tied to no block of its own.
	entry struct {
		tokens    int
		stored    bool
		gone      bool // was stored, then evicted
		tied      bool
		epoch     uint64
		doubt     uint64
		waiting   int // requests that wait and will bring it
		announced bool
	}

	// Index is the picture of one engine's prompt cache.
	Index struct {
		mutex       sync.Mutex
		incarnation uint64
		begun       bool
		ended       []uint64
		sequence    uint64
		whole       bool // every prompt since the incarnation began is still known
		epoch       uint64
		doubt       uint64
		entries     *simplelru.LRU[entryKey, *entry]
		ties        ties
		log         changeLog
		counts      Counts
	}
)

// New is an empty index. It takes nothing in before Begin.
func New(s Settings) *Index {
	if s.MaxBytes <= 0 {
		s.MaxBytes = defaultBytes
	}
	x := &Index{log: changeLog{version: 1}}
	x.entries, _ = simplelru.NewLRU(max(1, s.MaxBytes/2/entryBytes), x.dropped)
	x.ties = newTies(max(1, s.MaxBytes/2/blockBytes))
	return x
}

// StartIncarnation starts an incarnation of the engine and empties the index. An incarnation
// that has begun or ended before is passed over, so a late report of a dead engine
// cannot bring its entries back.
func (x *Index) StartIncarnation(incarnation uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.begun && incarnation == x.incarnation || slices.Contains(x.ended, incarnation) {
		return
	}
	if x.begun {
		x.ended = append(x.ended, x.incarnation)
		x.ended = x.ended[max(0, len(x.ended)-maxEnded):]
	}
	x.incarnation, x.begun = incarnation, true
	x.sequence, x.epoch, x.doubt, x.whole = 0, 0, 0, false
	x.clear()
}

// Apply takes in cache events of an incarnation, in the order they came. An event
// that came before is passed over.
func (x *Index) Apply(incarnation uint64, events []Event) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.current(incarnation) {
		return
	}
	for _, e := range events {
		if e.Sequence <= x.sequence {
			continue
		}
		switch {
		case e.Sequence != x.sequence+1:
			x.gap()
		case e.Sequence == 1:
			x.whole = true
		}
		x.sequence = e.Sequence
		x.apply(e)
	}
	x.tie()
}

func (x *Index) apply(e Event) {
	switch {
	case e.Cleared:
		x.clear()
	case e.Stored:
		x.ties.store(e)
		if key, ok := x.ties.level(e); ok {
			x.restore(key, e)
		}
	default:
		x.evict(e)
	}
}

// gap makes everything learned so far unknown. Runs of blocks that were being
// gathered may miss one and are given up.
func (x *Index) gap() {
	x.epoch++
	x.counts.Gaps++
	x.ties.forgetRuns()
}

func (x *Index) clear() {
	whole := x.whole
	x.entries.Purge()
	x.whole = whole
	x.ties.clear()
	x.log.forget()
}

// restore notes that a block of a level was stored again. The level is whole again
// only with its last block, which the engine stores last.
func (x *Index) restore(key entryKey, event Event) {
	e, ok := x.entries.Get(key)
	if !ok || !x.ties.isLast(event) {
		return
	}
	e.stored, e.gone, e.epoch = true, false, x.epoch
	x.announce(key, e, true)
}

func (x *Index) evict(event Event) {
	key, ok := x.ties.level(event)
	if !ok {
		x.counts.Unmatched++
		x.doubt++
		return
	}
	e, ok := x.entries.Peek(key)
	if !ok || !e.stored {
		return
	}
	e.stored, e.gone = false, true
	x.counts.Evictions++
	if e.waiting == 0 {
		x.announce(key, e, false)
	}
}

// AddWaiting notes that a request waits which will bring its levels into the cache.
// Each AddWaiting has one Left.
func (x *Index) AddWaiting(salt string, levels []Level) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, l := range slices.Backward(shared(levels)) {
		key := entryKey{salt: salt, key: l.Key}
		e := x.use(key, l)
		e.waiting++
		x.announce(key, e, true)
	}
}

// RemoveWaiting notes that a request counted by Queued has ended, whatever its outcome.
func (x *Index) RemoveWaiting(salt string, levels []Level) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, l := range shared(levels) {
		key := entryKey{salt: salt, key: l.Key}
		e, ok := x.entries.Peek(key)
		if !ok {
			continue
		}
		e.waiting = max(0, e.waiting-1)
		if e.waiting == 0 && !e.stored {
			x.announce(key, e, false)
		}
	}
}

// Learn takes in a reply's usage: the engine has prefilled the whole prompt, so its
// levels are cached now. Counts that make no sense are passed over.
func (x *Index) Learn(p Reply) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.current(p.Incarnation) || p.Prompt <= 0 || p.Cached < 0 || p.Cached > p.Prompt {
		return
	}
	for i, l := range slices.Backward(p.Levels) {
		key := entryKey{salt: p.Salt, key: l.Key}
		e := x.use(key, l)
		e.stored, e.gone, e.epoch, e.doubt = true, false, x.epoch, x.doubt
		if i < len(shared(p.Levels)) {
			x.announce(key, e, true)
		}
	}
	x.ties.learn(p)
	x.tie()
}

// tie ties levels to blocks where a run of stored blocks fits a reply.
func (x *Index) tie() {
	for _, key := range x.ties.match() {
		if e, ok := x.entries.Peek(key); ok {
			e.tied = true
		}
	}
}

// CachedTokens is how many tokens of the prompt, by the levels' own count, the engine has
// cached. Known is false where a lost event or an eviction that fits no level
// leaves more of it open; tokens is then what is still vouched for.
func (x *Index) CachedTokens(salt string, levels []Level) (tokens int, known bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.begun {
		return 0, false
	}
	for _, l := range levels {
		e, ok := x.entries.Peek(entryKey{salt: salt, key: l.Key})
		if !ok {
			return tokens, x.whole
		}
		if !e.stored {
			return tokens, e.gone || x.whole
		}
		if e.epoch != x.epoch || !e.tied && e.doubt != x.doubt {
			return tokens, false
		}
		tokens = l.Tokens
	}
	return tokens, true
}

// Changes is what has come and gone since a version that an earlier call gave, and
// the version to give next. From version 0, or one that is too old, it is
// everything held, the most recent if that is too much for one message; All then
// says to forget the rest.
func (x *Index) Changes(after uint64) (changes Changes, next uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if list, ok := x.log.since(after); ok {
		return Changes{List: list}, x.log.version
	}
	changes.Snapshot = true
	for _, key := range slices.Backward(x.entries.Keys()) {
		e, _ := x.entries.Peek(key)
		if e.announced && len(changes.List) < maxLog {
			changes.List = append(changes.List, Change{Key: key.key, Tokens: e.tokens, Held: true})
		}
	}
	return changes, x.log.version
}

// Version is the version that Changes would give next. A process that has it
// need not ask.
func (x *Index) Version() uint64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.log.version
}

// Counts is what the index has seen so far.
func (x *Index) Counts() Counts {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	counts := x.counts
	counts.Entries = x.entries.Len()
	return counts
}

func (x *Index) current(incarnation uint64) bool {
	if x.begun && incarnation == x.incarnation {
		return true
	}
	x.counts.Stale++
	return false
}

func (x *Index) use(key entryKey, l Level) *entry {
	e, ok := x.entries.Get(key)
	if !ok {
		e = &entry{}
		x.entries.Add(key, e)
	}
	e.tokens = l.Tokens
	return e
}

func (x *Index) announce(key entryKey, e *entry, held bool) {
	if e.announced == held {
		return
	}
	e.announced = held
	x.log.add(Change{Key: key.key, Tokens: e.tokens, Held: held})
}

// dropped is called for an entry that has to make room, or is cleared away. The
// engine may hold it still, so it is not called gone; its use to others ends with
// the first reply that says so.
func (x *Index) dropped(_ entryKey, e *entry) {
	x.whole = false
	e.announced = false
}

// shared is the levels that another prompt may have in common with this one.
func shared(levels []Level) []Level {
	if len(levels) < 2 {
		return levels
	}
	return levels[:len(levels)-1]
}
