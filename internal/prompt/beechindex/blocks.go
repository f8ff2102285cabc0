package beechindex

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// A reply arrives at the end of its answer, so runs must be kept for as long
	// as the longest answers take: 256 runs cover ten seconds at 25 prompts per
	// second.
	maxRuns           = 256
	maxPendingReplies = 64
	maxRunBlocks      = 8192    // blocks in one run
	maxPendingBlocks  = 1 << 16 // blocks in all runs
)

type (
	// blockKey identifies an engine's block. The engine's hash is shortened to
	// save memory; a collision causes one wrong eviction.
	blockKey struct {
		salt string
		hash uint64
	}

	// blockOwner is the level that a block belongs to. Last says that it is the
	// level's last block.
	blockOwner struct {
		level entryKey
		last  bool
	}

	block struct {
		hash   uint64
		tokens int
	}

	// run is a sequence of blocks with one salt that were stored directly one
	// after the other and are adjacent in the prompt, and so belong to the same
	// prompt.
	run struct {
		salt   string
		blocks []block
	}

	// blockMap maps an engine's blocks to levels. A reply says how many tokens of
	// a prompt were cached and how many it has in total; the blocks stored for
	// the prompt are a run that starts at the first count and reaches the second.
	blockMap struct {
		owners        *simplelru.LRU[blockKey, blockOwner]
		runs          []run
		pendingBlocks int
		replies       []Reply
		blockTokens   int // block size: the greatest common divisor of the token counts seen
	}
)

func newBlockMap(maxBlocks int) blockMap {
	blocks, _ := simplelru.NewLRU[blockKey, blockOwner](maxBlocks, nil)
	return blockMap{owners: blocks}
}

func blockKeyOf(e Event) blockKey { return blockKey{salt: e.Salt, hash: xxhash.Sum64String(e.Hash)} }

func (m *blockMap) owner(e Event) (entryKey, bool) {
	o, ok := m.owners.Get(blockKeyOf(e))
	return o.level, ok
}

func (m *blockMap) isLastBlock(e Event) bool {
	o, _ := m.owners.Peek(blockKeyOf(e))
	return o.last
}

// addBlock appends a stored block to the latest run, or starts a new run if it
// does not continue that one.
func (m *blockMap) addBlock(e Event) {
	b := block{hash: blockKeyOf(e).hash, tokens: e.Tokens}
	m.pendingBlocks++
	m.blockTokens = gcd(m.blockTokens, max(1, e.Tokens))
	if last := len(m.runs) - 1; last >= 0 && m.runs[last].continuedBy(e, m.blockTokens) {
		m.runs[last].blocks = append(m.runs[last].blocks, b)
	} else {
		m.runs = append(m.runs, run{salt: e.Salt, blocks: []block{b}})
	}
	for len(m.runs) > maxRuns || m.pendingBlocks > maxPendingBlocks && len(m.runs) > 1 {
		m.removeRun(0)
	}
}

func (m *blockMap) removeRun(i int) {
	m.pendingBlocks -= len(m.runs[i].blocks)
	m.runs = slices.Delete(m.runs, i, i+1)
}

func (r *run) continuedBy(e Event, blockTokens int) bool {
	last := r.blocks[len(r.blocks)-1]
	return r.salt == e.Salt && e.Tokens == last.tokens+blockTokens && len(r.blocks) < maxRunBlocks
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (m *blockMap) addReply(reply Reply) {
	if len(reply.Levels) == 0 || reply.Prompt-reply.Cached < m.blockTokens {
		return // no complete block was stored for the prompt
	}
	if reply.Estimated <= 0 {
		reply.Estimated = max(1, reply.Levels[len(reply.Levels)-1].Tokens)
	}
	if len(m.replies) == maxPendingReplies {
		m.replies = slices.Delete(m.replies, 0, 1)
	}
	reply.Levels = slices.Clone(reply.Levels)
	m.replies = append(m.replies, reply)
}

// matchReplies assigns the blocks of each run that matches a reply, and returns
// the levels that blocks were assigned to.
func (m *blockMap) matchReplies() []entryKey {
	var assigned []entryKey
	m.replies = slices.DeleteFunc(m.replies, func(reply Reply) bool {
		i := slices.IndexFunc(m.runs, func(r run) bool { return r.matches(reply, m.blockTokens) })
		if i < 0 {
			return false
		}
		assigned = append(assigned, m.assignRun(m.runs[i], reply)...)
		m.removeRun(i)
		return true
	})
	return assigned
}

// matches reports whether the run starts where the cached part of the reply's
// prompt ends, and reaches the prompt's last complete block. It may also end one
// block earlier, since an engine always computes at least one token. Blocks of
// the answer may follow.
func (r *run) matches(reply Reply, blockTokens int) bool {
	if r.salt != reply.Salt {
		return false
	}
	start := r.blocks[0].tokens - blockTokens
	end := r.blocks[len(r.blocks)-1].tokens
	return start <= reply.Cached && reply.Cached < start+blockTokens && end >= reply.Prompt-blockTokens
}

// assignRun assigns each block to the level that contains its tokens. Levels
// count estimated tokens and blocks the engine's, so the levels are scaled by the
// ratio of the prompt's two counts.
func (m *blockMap) assignRun(r run, reply Reply) []entryKey {
	var assigned []entryKey
	next := 0
	for _, l := range reply.Levels {
		key := entryKey{salt: reply.Salt, key: l.Key}
		end := int(float64(l.Tokens) * float64(reply.Prompt) / float64(reply.Estimated))
		first := next
		for next < len(r.blocks) && r.blocks[next].tokens <= end {
			m.owners.Add(blockKey{salt: reply.Salt, hash: r.blocks[next].hash}, blockOwner{level: key})
			next++
		}
		if next > first {
			m.owners.Add(blockKey{salt: reply.Salt, hash: r.blocks[next-1].hash}, blockOwner{level: key, last: true})
			assigned = append(assigned, key)
		}
	}
	return assigned
}

func (m *blockMap) resetPending() {
	m.runs = nil
	m.pendingBlocks = 0
	m.replies = nil
}

func (m *blockMap) clear() {
	m.owners.Purge()
	m.resetPending()
}
