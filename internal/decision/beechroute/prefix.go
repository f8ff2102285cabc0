package beechroute

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultMaxBytes = 8 << 20
	prefixBytes     = 288 // including its table entry, without holders
	holderBytes     = 40

	// maxHolders bounds the holders of a prefix. More are not useful, because a
	// request compares only a few of them.
	maxHolders = 32

	// unannouncedLifetime is how long a prefix is assumed to stay cached on a
	// server whose agent does not announce evictions. Engines evict prefixes within
	// seconds.
	unannouncedLifetime = 15 * time.Second

	// rateWindow is the time constant of the request rate: long compared with the
	// time between two requests for a hot prefix, short compared with changes of
	// demand.
	rateWindow = 10 * time.Second
)

type (
	// holder is a server that was sent a prefix or announced that it holds it.
	holder struct {
		server     *server
		cacheEpoch uint64 // of the server when it became a holder
		lastUsed   time.Time
	}

	prefix struct {
		tokens    int
		holders   []holder
		requests  float64 // decayed over rateWindow, as of countedAt
		countedAt time.Time
	}

	// table is an LRU cache of prefixes. It is bounded by bytes rather than
	// entries, so that a prefix with many holders counts for more than one with
	// few.
	table struct {
		entries  *simplelru.LRU[Key, *prefix]
		bytes    int
		maxBytes int
	}
)

func newTable(maxBytes int) *table {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBytes
	}
	t := &table{maxBytes: maxBytes}
	t.entries, _ = simplelru.NewLRU(max(1, maxBytes/prefixBytes), t.onEvict)
	return t
}

func (t *table) onEvict(_ Key, p *prefix) { t.bytes -= p.bytes() }

func (t *table) get(key Key) *prefix {
	p, _ := t.entries.Peek(key)
	return p
}

// touch returns the prefix of a level, added if missing, and marks it as most
// recently used.
func (t *table) touch(l Level) *prefix {
	if p, ok := t.entries.Get(l.Key); ok {
		p.tokens = max(0, l.Tokens)
		return p
	}
	p := &prefix{tokens: max(0, l.Tokens)}
	t.entries.Add(l.Key, p)
	t.bytes += p.bytes()
	return p
}

// addHolder adds a holder to a prefix and evicts the least recently used prefixes
// if the table is too large.
func (t *table) addHolder(l Level, s *server, now time.Time) *prefix {
	p := t.touch(l)
	before := p.bytes()
	p.addHolder(s, now)
	t.bytes += p.bytes() - before
	for t.bytes > t.maxBytes && t.entries.Len() > 1 {
		t.entries.RemoveOldest()
	}
	return p
}

func (p *prefix) bytes() int { return prefixBytes + cap(p.holders)*holderBytes }

func (p *prefix) countRequest(now time.Time) {
	p.requests = p.recentRequests(now) + 1
	p.countedAt = now
}

// recentRequests returns the number of requests, decayed over rateWindow.
func (p *prefix) recentRequests(now time.Time) float64 {
	passed := max(0, now.Sub(p.countedAt))
	if passed > 8*rateWindow {
		return 0
	}
	return p.requests * math.Exp(-float64(passed)/float64(rateWindow))
}

// rate returns the requests per second.
func (p *prefix) rate(now time.Time) float64 { return p.recentRequests(now) / rateWindow.Seconds() }

func (p *prefix) holder(s *server) *holder {
	for i := range p.holders {
		if p.holders[i].server == s {
			return &p.holders[i]
		}
	}
	return nil
}

// addHolder records that a server holds the prefix, or will hold it once it has run
// the request that it was sent. If there are maxHolders, the new one replaces the
// least recently used.
func (p *prefix) addHolder(s *server, now time.Time) {
	if h := p.holder(s); h != nil {
		h.lastUsed = now
		h.cacheEpoch = s.cacheEpoch
		return
	}
	fresh := holder{server: s, cacheEpoch: s.cacheEpoch, lastUsed: now}
	p.dropInvalidHolders()
	if len(p.holders) < maxHolders {
		p.holders = append(p.holders, fresh)
		return
	}
	*p.oldestHolder() = fresh
}

func (p *prefix) removeHolder(s *server) {
	p.holders = slices.DeleteFunc(p.holders, func(h holder) bool { return h.server == s })
}

func (p *prefix) dropInvalidHolders() {
	kept := p.holders[:0]
	for _, h := range p.holders {
		if h.valid() {
			kept = append(kept, h)
		}
	}
	clear(p.holders[len(kept):])
	p.holders = kept
}

func (p *prefix) oldestHolder() *holder {
	oldest := &p.holders[0]
	for i := range p.holders {
		if p.holders[i].lastUsed.Before(oldest.lastUsed) {
			oldest = &p.holders[i]
		}
	}
	return oldest
}

// expectedCached reports whether the holder is still expected to have the prefix
// cached.
func (h *holder) expectedCached(now time.Time) bool {
	return h.valid() && (h.server.announcesCache || now.Sub(h.lastUsed) < unannouncedLifetime)
}

// valid returns false once the server was removed or its cache was forgotten.
func (h *holder) valid() bool { return !h.server.removed && h.cacheEpoch == h.server.cacheEpoch }
