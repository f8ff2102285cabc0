package beechroute

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultBytes = 8 << 20
	prefixBytes  = 288 // with its place in the table, without holders
	holderBytes  = 40

	// maxHolders bounds a prefix's holders. More are not worth knowing: a
	// request compares only a few.
	maxHolders = 32

	// unannouncedLife is how long a prefix is taken to stay cached at a server
	// whose agent does not tell evictions. Engines evict within seconds.
	unannouncedLife = 15 * time.Second

	// rateWindow is the time over which demand is averaged: long against the
	// gaps between two requests for a hot prefix, short against a season.
	rateWindow = 10 * time.Second
)

type (
	// holder is a server that was sent a prefix, or said to hold it.
	holder struct {
		server *server
		epoch  uint64 // the server's when it was noted
		used   time.Time
	}

	prefix struct {
		tokens  int
		holders []holder
		count   float64 // requests, decayed over rateWindow
		counted time.Time
	}

	// table is the prefixes used last, the oldest dropped first. A prefix of many
	// holders counts as much as several of one, so that the bound holds in bytes.
	table struct {
		entries  *simplelru.LRU[Key, *prefix]
		bytes    int
		maxBytes int
	}
)

func newTable(maxBytes int) *table {
	if maxBytes <= 0 {
		maxBytes = defaultBytes
	}
	t := &table{maxBytes: maxBytes}
	t.entries, _ = simplelru.NewLRU(max(1, maxBytes/prefixBytes), t.dropped)
	return t
}

func (t *table) dropped(_ Key, p *prefix) { t.bytes -= p.bytes() }

func (t *table) get(key Key) *prefix {
	p, _ := t.entries.Peek(key)
	return p
}

// use finds or adds a prefix and makes it the youngest.
func (t *table) use(l Level) *prefix {
	if p, ok := t.entries.Get(l.Key); ok {
		p.tokens = max(0, l.Tokens)
		return p
	}
	p := &prefix{tokens: max(0, l.Tokens)}
	t.entries.Add(l.Key, p)
	t.bytes += p.bytes()
	return p
}

// hold notes that a server holds a prefix, and makes room.
func (t *table) hold(l Level, s *server, now time.Time) *prefix {
	p := t.use(l)
	before := p.bytes()
	p.hold(s, now)
	t.bytes += p.bytes() - before
	for t.bytes > t.maxBytes && t.entries.Len() > 1 {
		t.entries.RemoveOldest()
	}
	return p
}

func (p *prefix) bytes() int { return prefixBytes + cap(p.holders)*holderBytes }

// demandOne counts one request.
func (p *prefix) demandOne(now time.Time) {
	p.count = p.demand(now) + 1
	p.counted = now
}

// demand is the requests of the last window, decayed.
func (p *prefix) demand(now time.Time) float64 {
	passed := max(0, now.Sub(p.counted))
	if passed > 8*rateWindow {
		return 0
	}
	return p.count * math.Exp(-float64(passed)/float64(rateWindow))
}

func (p *prefix) rate(now time.Time) float64 { return p.demand(now) / rateWindow.Seconds() }

func (p *prefix) holder(s *server) *holder {
	for i := range p.holders {
		if p.holders[i].server == s {
			return &p.holders[i]
		}
	}
	return nil
}

// hold notes that a server holds the prefix, or will once it has run what it was
// sent. The first place that is free, dead or oldest takes a new holder.
func (p *prefix) hold(s *server, now time.Time) {
	if h := p.holder(s); h != nil {
		h.used = now
		h.epoch = s.epoch
		return
	}
	fresh := holder{server: s, epoch: s.epoch, used: now}
	p.sweep()
	if len(p.holders) < maxHolders {
		p.holders = append(p.holders, fresh)
		return
	}
	*p.oldest() = fresh
}

func (p *prefix) release(s *server) {
	p.holders = slices.DeleteFunc(p.holders, func(h holder) bool { return h.server == s })
}

// sweep drops holders that are no longer valid.
func (p *prefix) sweep() {
	kept := p.holders[:0]
	for _, h := range p.holders {
		if h.valid() {
			kept = append(kept, h)
		}
	}
	clear(p.holders[len(kept):])
	p.holders = kept
}

func (p *prefix) oldest() *holder {
	oldest := &p.holders[0]
	for i := range p.holders {
		if p.holders[i].used.Before(oldest.used) {
			oldest = &p.holders[i]
		}
	}
	return oldest
}

// alive tells whether the prefix is still expected in the holder's cache.
func (h *holder) alive(now time.Time) bool {
	return h.valid() && (h.server.announces || now.Sub(h.used) < unannouncedLife)
}

// valid is false once the server is gone or its cache was to be forgotten.
func (h *holder) valid() bool { return !h.server.gone && h.epoch == h.server.epoch }
