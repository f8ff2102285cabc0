package beechindex

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultBytes = 8 << 20
	entryBytes   = 320 // an entry with its key, list links and its block's link
)

type (
	entryKey struct {
		salt string
		key  Key
	}

	entry struct {
		tokens int
		epoch  uint64
	}

	// Index is the picture of one engine's prompt cache.
	Index struct {
		mutex       sync.Mutex
		incarnation uint64
		sequence    uint64
		epoch       uint64
		entries     *simplelru.LRU[entryKey, entry]
		counts      Counts
	}
)

// New is an empty index. It takes nothing in before Begin.
func New(s Settings) *Index {
	if s.MaxBytes <= 0 {
		s.MaxBytes = defaultBytes
	}
	x := &Index{}
	x.entries, _ = simplelru.NewLRU[entryKey, entry](max(1, s.MaxBytes/entryBytes), nil)
	return x
}

// Begin starts an incarnation of the engine and empties the index, unless it has
// begun already.
func (x *Index) Begin(incarnation uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if incarnation == x.incarnation {
		return
	}
	x.incarnation = incarnation
	x.sequence = 0
	x.entries.Purge()
}

// Apply takes in cache events of an incarnation, in the order they came.
func (x *Index) Apply(incarnation uint64, events []Event) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if incarnation != x.incarnation {
		x.counts.Ended++
		return
	}
	for _, e := range events {
		if e.Sequence != x.sequence+1 {
			x.epoch++
			x.counts.Gaps++
		}
		x.sequence = e.Sequence
		if e.Cleared {
			x.entries.Purge()
		}
	}
}

// Learn takes in a reply's usage.
func (x *Index) Learn(p Reply) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if p.Incarnation != x.incarnation {
		x.counts.Ended++
		return
	}
	for _, l := range p.Levels {
		x.entries.Add(entryKey{salt: p.Salt, key: l.Key}, entry{tokens: l.Tokens, epoch: x.epoch})
	}
}

// Cached is how many tokens of the prompt the engine has cached. Known is false
// where a lost event or an eviction leaves that open; tokens is then what is
// still vouched for.
func (x *Index) Cached(salt string, levels []Level) (tokens int, known bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	known = true
	for i := len(levels) - 1; i >= 0; i-- {
		e, ok := x.entries.Get(entryKey{salt: salt, key: levels[i].Key})
		if ok && e.epoch == x.epoch {
			return levels[i].Tokens, known
		}
		if ok {
			known = false
		}
	}
	return 0, known
}

// Counts is what the index has seen so far.
func (x *Index) Counts() Counts {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	counts := x.counts
	counts.Entries = x.entries.Len()
	return counts
}
