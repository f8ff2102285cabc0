package beechindex

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// A reply comes at the end of its answer, so runs wait for as long as the
	// longest answers take: 256 is ten seconds at 25 prompts a second.
	maxRuns      = 256
	maxReplies   = 64
	maxRunBlocks = 8192
	maxGathered  = 1 << 16 // blocks in all runs
)

type (
	// blockKey names an engine's block. The hash is shortened, for memory; two
	// that meet cost one wrong eviction.
	blockKey struct {
		salt string
		hash uint64
	}

	// tie is the level that a block belongs to. Last marks the level's last
	// block.
	tie struct {
		level entryKey
		last  bool
	}

	block struct {
		hash   uint64
		tokens int
	}

	// run is blocks of one salt that were stored one after the other and follow
	// each other in the prompt: one prompt's.
	run struct {
		salt   string
		blocks []block
	}

	// ties finds the level that an engine's block belongs to. A reply says of a
	// prompt how many tokens were cached and how many it has; the blocks stored
	// for it are a run that starts at the former and reaches the latter.
	ties struct {
		blocks   *simplelru.LRU[blockKey, tie]
		runs     []run
		gathered int
		replies  []Reply
		size     int // tokens of a block: the greatest common divisor of all counts
	}
)

func newTies(maxBlocks int) ties {
	blocks, _ := simplelru.NewLRU[blockKey, tie](maxBlocks, nil)
	return ties{blocks: blocks}
}

func keyOf(e Event) blockKey { return blockKey{salt: e.Salt, hash: xxhash.Sum64String(e.Hash)} }

func (t *ties) level(e Event) (entryKey, bool) {
	found, ok := t.blocks.Get(keyOf(e))
	return found.level, ok
}

func (t *ties) isLast(e Event) bool {
	found, _ := t.blocks.Peek(keyOf(e))
	return found.last
}

// store adds a stored block to the run it continues, or starts one.
func (t *ties) store(e Event) {
	b := block{hash: keyOf(e).hash, tokens: e.Tokens}
	t.gathered++
	t.size = divisor(t.size, max(1, e.Tokens))
	if last := len(t.runs) - 1; last >= 0 && t.runs[last].takes(e, t.size) {
		t.runs[last].blocks = append(t.runs[last].blocks, b)
	} else {
		t.runs = append(t.runs, run{salt: e.Salt, blocks: []block{b}})
	}
	for len(t.runs) > maxRuns || t.gathered > maxGathered && len(t.runs) > 1 {
		t.removeRun(0)
	}
}

func (t *ties) removeRun(i int) {
	t.gathered -= len(t.runs[i].blocks)
	t.runs = slices.Delete(t.runs, i, i+1)
}

func (n *run) takes(e Event, size int) bool {
	last := n.blocks[len(n.blocks)-1]
	return n.salt == e.Salt && e.Tokens == last.tokens+size && len(n.blocks) < maxRunBlocks
}

func divisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (t *ties) learn(p Reply) {
	if len(p.Levels) == 0 || p.Prompt-p.Cached < t.size {
		return // nothing was stored for it
	}
	if p.Estimated <= 0 {
		p.Estimated = max(1, p.Levels[len(p.Levels)-1].Tokens)
	}
	if len(t.replies) == maxReplies {
		t.replies = slices.Delete(t.replies, 0, 1)
	}
	p.Levels = slices.Clone(p.Levels)
	t.replies = append(t.replies, p)
}

// match ties the blocks of each run that fits a reply, and gives the levels tied.
func (t *ties) match() []entryKey {
	var tied []entryKey
	t.replies = slices.DeleteFunc(t.replies, func(p Reply) bool {
		i := slices.IndexFunc(t.runs, func(n run) bool { return n.fits(p, t.size) })
		if i < 0 {
			return false
		}
		tied = append(tied, t.tieRun(t.runs[i], p)...)
		t.removeRun(i)
		return true
	})
	return tied
}

// fits tells whether the run starts where the reply's cached part ends and reaches
// the prompt's last whole block, or the one before it, since an engine computes at
// least one token anew. Blocks of the answer may follow.
func (n *run) fits(p Reply, size int) bool {
	if n.salt != p.Salt {
		return false
	}
	start := n.blocks[0].tokens - size
	end := n.blocks[len(n.blocks)-1].tokens
	return start <= p.Cached && p.Cached < start+size && end >= p.Prompt-size
}

// tieRun ties each block to the level its tokens fall in. Levels count estimated
// tokens, blocks the engine's, so the levels are scaled by the prompt's two counts.
func (t *ties) tieRun(n run, p Reply) []entryKey {
	var tied []entryKey
	next := 0
	for _, l := range p.Levels {
		key := entryKey{salt: p.Salt, key: l.Key}
		end := int(float64(l.Tokens) * float64(p.Prompt) / float64(p.Estimated))
		first := next
		for next < len(n.blocks) && n.blocks[next].tokens <= end {
			t.blocks.Add(blockKey{salt: p.Salt, hash: n.blocks[next].hash}, tie{level: key})
			next++
		}
		if next > first {
			t.blocks.Add(blockKey{salt: p.Salt, hash: n.blocks[next-1].hash}, tie{level: key, last: true})
			tied = append(tied, key)
		}
	}
	return tied
}

func (t *ties) forgetRuns() {
	t.runs = nil
	t.gathered = 0
	t.replies = nil
}

func (t *ties) clear() {
	t.blocks.Purge()
	t.forgetRuns()
}
