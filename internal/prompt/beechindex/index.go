package beechindex

import (
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultMaxBytes = 8 << 20
	entryBytes      = 320 // an entry with its key and list links
	blockBytes      = 240 // a block's owner with its key and list links

	maxEndedIncarnations = 64 // ended incarnations that are remembered
)

type (
	entryKey struct {
		salt string
		key  Key
	}

	// entry is the state of one level. Epoch and unmatched are the index's values
	// when the level was last confirmed. While no blocks are assigned to the
	// level, any eviction of an unknown block since then may have been one of its
	// own.
	entry struct {
		tokens    int
		stored    bool // is in the engine's cache
		evicted   bool // was stored before
		hasBlocks bool // blocks are assigned to it
		epoch     uint64
		unmatched uint64
		waiting   int  // waiting requests that will store it
		announced bool // reported to entry hosts as held
	}

	// Index tracks the prompt cache of one engine.
	Index struct {
		mutex             sync.Mutex
		incarnation       uint64
		started           bool
		endedIncarnations []uint64
		sequence          uint64
		complete          bool // no level stored since the incarnation began has been forgotten
		epoch             uint64
		unmatched         uint64
		entries           *simplelru.LRU[entryKey, *entry]
		blocks            blockMap
		log               changeLog
		counts            Counts
	}
)

// New returns an empty index, which ignores everything until StartIncarnation is
// called.
func New(s Settings) *Index {
	if s.MaxBytes <= 0 {
		s.MaxBytes = defaultMaxBytes
	}
	x := &Index{log: changeLog{version: 1}}
	x.entries, _ = simplelru.NewLRU(max(1, s.MaxBytes/2/entryBytes), x.entryRemoved)
	x.blocks = newBlockMap(max(1, s.MaxBytes/2/blockBytes))
	return x
}

// StartIncarnation starts an incarnation of the engine and empties the index. The
// current incarnation and ended ones are ignored, so that a late report of a dead
// engine cannot bring its entries back.
func (x *Index) StartIncarnation(incarnation uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.started && incarnation == x.incarnation || slices.Contains(x.endedIncarnations, incarnation) {
		return
	}
	if x.started {
		x.endedIncarnations = append(x.endedIncarnations, x.incarnation)
		x.endedIncarnations = x.endedIncarnations[max(0, len(x.endedIncarnations)-maxEndedIncarnations):]
	}
	x.incarnation, x.started = incarnation, true
	x.sequence, x.epoch, x.unmatched, x.complete = 0, 0, 0, false
	x.clear()
}

// Apply processes cache events of an incarnation, in the order received. An event
// whose sequence number has passed is ignored.
func (x *Index) Apply(incarnation uint64, events []Event) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.isCurrent(incarnation) {
		return
	}
	for _, e := range events {
		if e.Sequence <= x.sequence {
			continue
		}
		switch {
		case e.Sequence != x.sequence+1:
			x.recordGap()
		case e.Sequence == 1:
			x.complete = true
		}
		x.sequence = e.Sequence
		x.apply(e)
	}
	x.assignBlocks()
}

func (x *Index) apply(e Event) {
	switch {
	case e.Cleared:
		x.clear()
	case e.Stored:
		x.blocks.addBlock(e)
		if key, ok := x.blocks.owner(e); ok {
			x.restore(key, e)
		}
	default:
		x.evict(e)
	}
}

// recordGap makes everything learned so far unknown. The runs of blocks collected
// so far are discarded, since one of their blocks may be missing.
func (x *Index) recordGap() {
	x.epoch++
	x.counts.Gaps++
	x.blocks.resetPending()
}

func (x *Index) clear() {
	complete := x.complete
	x.entries.Purge()
	x.complete = complete
	x.blocks.clear()
	x.log.reset()
}

// restore marks a level as cached when its last block is stored again, since the
// engine stores a level's blocks in order.
func (x *Index) restore(key entryKey, event Event) {
	e, ok := x.entries.Get(key)
	if !ok || !x.blocks.isLastBlock(event) {
		return
	}
	e.stored, e.evicted, e.epoch = true, false, x.epoch
	x.announce(key, e, true)
}

func (x *Index) evict(event Event) {
	key, ok := x.blocks.owner(event)
	if !ok {
		x.counts.Unmatched++
		x.unmatched++
		return
	}
	e, ok := x.entries.Peek(key)
	if !ok || !e.stored {
		return
	}
	e.stored, e.evicted = false, true
	x.counts.Evictions++
	if e.waiting == 0 {
		x.announce(key, e, false)
	}
}

// AddWaiting records a waiting request that will store its levels in the cache.
// Each call must be followed by one call of RemoveWaiting.
func (x *Index) AddWaiting(salt string, levels []Level) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, l := range slices.Backward(sharedLevels(levels)) {
		key := entryKey{salt: salt, key: l.Key}
		e := x.touch(key, l)
		e.waiting++
		x.announce(key, e, true)
	}
}

// RemoveWaiting records that a request added by AddWaiting has ended, whatever
// its outcome.
func (x *Index) RemoveWaiting(salt string, levels []Level) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, l := range sharedLevels(levels) {
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

// Learn processes the usage in a reply: the engine has processed the whole
// prompt, so all of its levels are cached now. Implausible counts are ignored.
func (x *Index) Learn(reply Reply) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.isCurrent(reply.Incarnation) || reply.Prompt <= 0 || reply.Cached < 0 || reply.Cached > reply.Prompt {
		return
	}
	for i, l := range slices.Backward(reply.Levels) {
		key := entryKey{salt: reply.Salt, key: l.Key}
		e := x.touch(key, l)
		e.stored, e.evicted, e.epoch, e.unmatched = true, false, x.epoch, x.unmatched
		if i < len(sharedLevels(reply.Levels)) {
			x.announce(key, e, true)
		}
	}
	x.blocks.addReply(reply)
	x.assignBlocks()
}

// assignBlocks assigns blocks to the levels of each reply that matches a run of
// stored blocks.
func (x *Index) assignBlocks() {
	for _, key := range x.blocks.matchReplies() {
		if e, ok := x.entries.Peek(key); ok {
			e.hasBlocks = true
		}
	}
}

// CachedTokens returns how many tokens of the prompt are cached, in the levels'
// own count. Known is false if more may be cached, because an event was lost or
// an evicted block could not be assigned to a level; tokens is then what is still
// known to be cached.
func (x *Index) CachedTokens(salt string, levels []Level) (tokens int, known bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.started {
		return 0, false
	}
	for _, l := range levels {
		e, ok := x.entries.Peek(entryKey{salt: salt, key: l.Key})
		if !ok {
			return tokens, x.complete
		}
		if !e.stored {
			return tokens, e.evicted || x.complete
		}
		if e.epoch != x.epoch || !e.hasBlocks && e.unmatched != x.unmatched {
			return tokens, false
		}
		tokens = l.Tokens
	}
	return tokens, true
}

// Changes returns the changes since a version returned by an earlier call, and
// the version to pass next. From version 0, or a version that is too old, it
// returns a snapshot of the levels held, or the most recent of them if there are
// too many for one message.
func (x *Index) Changes(after uint64) (changes Changes, next uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if list, ok := x.log.since(after); ok {
		return Changes{List: list}, x.log.version
	}
	changes.Snapshot = true
	for _, key := range slices.Backward(x.entries.Keys()) {
		e, _ := x.entries.Peek(key)
		if e.announced && len(changes.List) < maxChanges {
			changes.List = append(changes.List, Change{Key: key.key, Tokens: e.tokens, Held: true})
		}
	}
	return changes, x.log.version
}

// Version returns the version that Changes would return next. A process that
// already has it need not call Changes.
func (x *Index) Version() uint64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.log.version
}

// Counts returns the metrics so far.
func (x *Index) Counts() Counts {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	counts := x.counts
	counts.Entries = x.entries.Len()
	return counts
}

func (x *Index) isCurrent(incarnation uint64) bool {
	if x.started && incarnation == x.incarnation {
		return true
	}
	x.counts.Stale++
	return false
}

func (x *Index) touch(key entryKey, l Level) *entry {
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

// entryRemoved is called when an entry is removed to make room or by a clear. The
// engine may still have the level cached, so it is not reported as evicted; entry
// hosts stop using it with the first reply that says it is not cached.
func (x *Index) entryRemoved(_ entryKey, e *entry) {
	x.complete = false
	e.announced = false
}

// sharedLevels returns the levels that other prompts may have in common with this
// one: all but the last, if there are several.
func sharedLevels(levels []Level) []Level {
	if len(levels) < 2 {
		return levels
	}
	return levels[:len(levels)-1]
}
