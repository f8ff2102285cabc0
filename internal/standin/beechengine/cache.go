package beechengine

import (
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
)

type (
	// CacheEvent reports a block that was stored or evicted, or that the prompt
	// cache was cleared.
	CacheEvent struct {
		Sequence uint64 `json:"sequence"`
		Salt     string `json:"salt,omitempty"`
		Hash     string `json:"hash,omitempty"`
		Parent   string `json:"parent,omitempty"`
		Tokens   int    `json:"tokens,omitempty"`
		Stored   bool   `json:"stored"`
		Cleared  bool   `json:"cleared,omitempty"`

		at time.Time
	}

	block struct {
		Hash   uint64 `json:"hash"`
		Parent uint64 `json:"parent"`
		Tokens int    `json:"tokens"` // from the start of the prompt to the end of this block
		Model  string `json:"model"`  // model@weights that computed it
		Fill   []byte `json:"fill,omitempty"`

		salt string
	}

	// promptCache is an LRU cache of prompt blocks. The hash of a block covers
	// the salt and all preceding blocks.
	promptCache struct {
		mu           sync.Mutex
		clock        clockwork.Clock
		settings     Settings
		blocks       *simplelru.LRU[uint64, block]
		events       []CacheEvent
		sequence     uint64
		eventsToLose int
	}
)

func newPromptCache(s Settings, clock clockwork.Clock) *promptCache {
	c := &promptCache{settings: s, clock: clock}
	c.blocks, _ = simplelru.NewLRU(max(1, s.CacheTokens/s.BlockTokens), func(_ uint64, b block) {
		c.publishBlock(b, false)
	})
	return c
}

// chainBlocks splits a prompt into full blocks. The last token is never part of
// a block, because an engine computes at least one prompt token per request.
func chainBlocks(salt, model string, prompt []byte, blockTokens int) []block {
	size := blockTokens * bytesPerToken
	count := max(0, len(prompt)-1) / size
	blocks := make([]block, count)
	hash := xxhash.Sum64String(salt)
	for i := range blocks {
		parent := hash
		hash = chainHash(parent, prompt[i*size:(i+1)*size])
		blocks[i] = block{Hash: hash, Parent: parent, Tokens: (i + 1) * blockTokens, Model: model, salt: salt}
	}
	return blocks
}

func chainHash(parent uint64, data []byte) uint64 {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], parent)
	d := xxhash.New()
	d.Write(raw[:])
	d.Write(data)
	return d.Sum64()
}

// match returns the number of cached tokens at the start of the chain. stale
// counts those that were computed with other weights, which means that the
// caller reused a salt across weights.
func (c *promptCache) match(blocks []block) (cached, stale int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, b := range blocks {
		held, ok := c.blocks.Peek(b.Hash)
		if !ok {
			break
		}
		if held.Model != b.Model {
			stale += c.settings.BlockTokens
		}
		count++
	}
	c.touch(blocks[:count])
	return count * c.settings.BlockTokens, stale
}

// touch marks blocks as recently used, the deepest first, so that a prefix is
// evicted after the blocks that extend it.
func (c *promptCache) touch(blocks []block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.blocks.Get(blocks[i].Hash)
	}
}

func (c *promptCache) store(blocks []block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks = blocks[:min(len(blocks), c.settings.CacheTokens/c.settings.BlockTokens)]
	for _, b := range blocks {
		if c.blocks.Contains(b.Hash) {
			continue
		}
		c.blocks.Add(b.Hash, b)
		c.publishBlock(b, true)
	}
	c.touch(blocks)
}

func (c *promptCache) lookup(blocks []block) []block {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []block
	for _, b := range blocks {
		held, ok := c.blocks.Peek(b.Hash)
		if !ok {
			break
		}
		found = append(found, held)
	}
	return found
}

func (c *promptCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	capacity := max(1, c.settings.CacheTokens/c.settings.BlockTokens)
	c.blocks, _ = simplelru.NewLRU(capacity, func(_ uint64, b block) { c.publishBlock(b, false) })
	c.appendEvent(CacheEvent{Cleared: true})
}

func (c *promptCache) publishBlock(b block, stored bool) {
	c.appendEvent(CacheEvent{
		Salt:   b.salt,
		Hash:   strconv.FormatUint(b.Hash, 16),
		Parent: strconv.FormatUint(b.Parent, 16),
		Tokens: b.Tokens,
		Stored: stored,
	})
}

func (c *promptCache) appendEvent(e CacheEvent) {
	c.sequence++
	if c.eventsToLose > 0 {
		c.eventsToLose--
		return
	}
	if c.settings.LoseEvery > 0 && c.sequence%uint64(c.settings.LoseEvery) == 0 {
		return
	}
	e.Sequence = c.sequence
	e.at = c.clock.Now()
	c.events = append(c.events, e)
	if len(c.events) > 2*c.settings.EventLimit {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)-c.settings.EventLimit:]...)
	}
}

func (c *promptCache) loseEvents(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventsToLose += count
}

// eventsAfter returns up to limit published events that follow a sequence
// number.
func (c *promptCache) eventsAfter(sequence uint64, limit int) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	published := c.clock.Now().Add(-c.settings.EventLag)
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.at.After(published) || len(events) == limit {
			break
		}
		if e.Sequence > sequence {
			events = append(events, e)
		}
	}
	return events
}
