package beechindex

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const blockSize = 16

// simulation is an engine's cache as an agent sees it: events may be lost,
// delayed or duplicated, the engine may crash, and replies of a dead engine may
// still arrive.
type simulation struct {
	index       *Index
	incarnation uint64
	sequence    uint64
	delayed     []delayedEvent
	learned     map[entryKey]bool // by a reply of the current incarnation
}

type delayedEvent struct {
	incarnation uint64
	event       Event
}

func newSimulation() *simulation {
	s := &simulation{index: New(Settings{}), learned: map[entryKey]bool{}}
	s.crash()
	return s
}

func (s *simulation) crash() {
	s.incarnation++
	s.sequence = 0
	s.learned = map[entryKey]bool{}
	s.index.StartIncarnation(s.incarnation)
}

func drawSalt(t *rapid.T) string {
	workspace := rapid.SampledFrom([]string{"loop", "monterroso"}).Draw(t, "workspace")
	weights := rapid.SampledFrom([]string{"7", "8"}).Draw(t, "weights")
	return workspace + "/" + weights
}

// drawPrompt draws from prompts that have the same keys under every salt, so that
// only the salt separates them.
func drawPrompt(t *rapid.T) []Level {
	history := rapid.IntRange(0, 3).Draw(t, "history")
	question := rapid.IntRange(0, 3).Draw(t, "question")
	return levels(history, question)
}

func levels(history, question int) []Level {
	return []Level{
		{Key: Key{1}, Tokens: 64},
		{Key: Key{2, byte(history)}, Tokens: 256},
		{Key: Key{3, byte(history), byte(question)}, Tokens: 320},
	}
}

func (s *simulation) reply(incarnation uint64, salt string, levels []Level, cached int) {
	last := levels[len(levels)-1].Tokens
	s.index.Learn(Reply{Incarnation: incarnation, Salt: salt, Levels: levels, Estimated: last, Prompt: last, Cached: cached})
	if incarnation == s.incarnation {
		for _, l := range levels {
			s.learned[entryKey{salt: salt, key: l.Key}] = true
		}
	}
}

func (s *simulation) event(salt string, levels []Level, tokens int, stored bool) Event {
	s.sequence++
	level := levels[0].Key
	for _, l := range levels {
		if l.Tokens-tokens >= 0 {
			level = l.Key
			break
		}
	}
	return Event{Sequence: s.sequence, Salt: salt, Hash: fmt.Sprint(level, tokens), Tokens: tokens, Stored: stored}
}

// An engine crashes and restarts with an empty cache, weights are replaced, and
// workspaces share the engine. Events and replies of an earlier incarnation
// arrive late, twice or not at all. If a lookup used one of them, the predicted
// time to first token would be too short, and one workspace could learn what
// another has asked.
func TestLookupNeverCrossesIncarnationWorkspaceOrWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(*rapid.T) { s.crash() },
			"late report of a dead engine": func(t *rapid.T) {
				s.index.StartIncarnation(rapid.Uint64Range(1, s.incarnation).Draw(t, "incarnation"))
			},
			"reply": func(t *rapid.T) { s.reply(s.incarnation, drawSalt(t), drawPrompt(t), 0) },
			"reply of a dead engine": func(t *rapid.T) {
				s.reply(rapid.Uint64Range(0, s.incarnation-1).Draw(t, "incarnation"), drawSalt(t), drawPrompt(t), 0)
			},
			"event": func(t *rapid.T) {
				tokens := blockSize * rapid.IntRange(1, 20).Draw(t, "block")
				e := s.event(drawSalt(t), drawPrompt(t), tokens, rapid.Bool().Draw(t, "stored"))
				switch rapid.SampledFrom([]string{"at once", "late", "lost"}).Draw(t, "fate") {
				case "at once":
					s.index.Apply(s.incarnation, []Event{e})
				case "late":
					s.delayed = append(s.delayed, delayedEvent{incarnation: s.incarnation, event: e})
				}
			},
			"late event": func(t *rapid.T) {
				if len(s.delayed) > 0 {
					l := rapid.SampledFrom(s.delayed).Draw(t, "late")
					s.index.Apply(l.incarnation, []Event{l.event})
				}
			},
			"queued": func(t *rapid.T) { s.index.AddWaiting(drawSalt(t), drawPrompt(t)) },
			"left":   func(t *rapid.T) { s.index.RemoveWaiting(drawSalt(t), drawPrompt(t)) },
			"": func(t *rapid.T) {
				salt, levels := drawSalt(t), drawPrompt(t)
				tokens, _ := s.index.CachedTokens(salt, levels)
				for _, l := range levels {
					if l.Tokens <= tokens && !s.learned[entryKey{salt: salt, key: l.Key}] {
						t.Fatalf("%d tokens cached, but no reply of incarnation %d with salt %s has level %v", tokens, s.incarnation, salt, l.Key)
					}
				}
			},
		})
	})
}

func (s *simulation) storeRun(salt string, levels []Level, from int) {
	last := levels[len(levels)-1].Tokens
	var events []Event
	for tokens := from + blockSize; tokens <= last; tokens += blockSize {
		events = append(events, s.event(salt, levels, tokens, true))
	}
	s.index.Apply(s.incarnation, events)
}

// Engines evict within seconds, starting with the end of a prompt. If blocks were
// not assigned to levels, the agent would count an evicted history as cached.
func TestBlockEvictionEvictsLevel(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	asked := levels(1, 1)
	s.storeRun("loop/7", asked, 0)
	s.reply(1, "loop/7", asked, 0)
	tokens, known := s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 320)
	is.True(known)

	s.index.Apply(1, []Event{s.event("loop/7", asked, 320, false)})
	tokens, known = s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 256) // the question is evicted, the history stays
	is.True(known)

	s.index.Apply(1, []Event{s.event("loop/7", asked, 128, false)})
	tokens, _ = s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 64) // a block in the middle of the history is evicted

	s.index.Apply(1, []Event{s.event("loop/7", asked, 128, true), s.event("loop/7", asked, 256, true)})
	tokens, _ = s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 256)
}

// An engine always computes at least one token, so a prompt that fills its last
// block is stored without that block. A question may also add a single block to a
// long history.
func TestSingleBlocksAndWholePromptsAreAssigned(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	asked := levels(1, 1)
	short := append([]Level{}, asked...)
	short[2].Tokens = 304
	s.storeRun("loop/7", short, 0)
	s.reply(1, "loop/7", asked, 0) // 320 tokens, 304 stored
	s.index.Apply(1, []Event{s.event("loop/7", asked, 256, false)})
	tokens, _ := s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 64)

	other := levels(2, 1)
	s.storeRun("loop/7", other, 0)
	s.reply(1, "loop/7", other, 0)
	longer := levels(2, 2)
	longer[2].Tokens = 272
	s.storeRun("loop/7", longer, 256) // one block
	s.reply(1, "loop/7", longer, 256)
	s.index.Apply(1, []Event{s.event("loop/7", longer, 272, false)})
	tokens, known := s.index.CachedTokens("loop/7", longer)
	is.Equal(tokens, 256)
	is.True(known)
	is.Equal(s.index.Counts().Unmatched, uint64(0))

	s.storeRun("loop/7", levels(3, 1)[:1], 0) // two prompts stored one after the other
	third := levels(4, 1)
	s.storeRun("loop/7", third, 256)
	s.reply(1, "loop/7", third, 256)
	s.index.Apply(1, []Event{s.event("loop/7", third, 320, false)})
	tokens, _ = s.index.CachedTokens("loop/7", third)
	is.Equal(tokens, 256)
}

// A lost event may have been an eviction. Whatever was learned before it is
// unknown until a reply confirms it.
func TestLevelsAreUnknownAfterGap(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	asked := levels(1, 1)
	s.storeRun("loop/7", asked, 0)
	s.reply(1, "loop/7", asked, 0)

	s.event("loop/7", asked, 320, false) // lost
	s.index.Apply(1, []Event{s.event("loop/7", levels(2, 2), 16, true)})
	tokens, known := s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 0)
	is.True(!known)
	is.Equal(s.index.Counts().Gaps, uint64(1))

	s.reply(1, "loop/7", levels(1, 2), 256)
	tokens, known = s.index.CachedTokens("loop/7", levels(1, 2))
	is.Equal(tokens, 320)
	is.True(known)
}

// An agent that restarts while its engine keeps running has missed the first
// events, so it must not claim to know that a prompt is not cached.
func TestAgentRestartLeavesCacheUnknown(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	_, known := s.index.CachedTokens("loop/7", levels(1, 1))
	is.True(!known)
	s.sequence = 41
	s.index.Apply(1, []Event{s.event("loop/7", levels(2, 2), 16, true)})
	_, known = s.index.CachedTokens("loop/7", levels(1, 1))
	is.True(!known)
	s.index.AddWaiting("loop/7", levels(1, 1)) // a waiting request says nothing about the cache
	_, known = s.index.CachedTokens("loop/7", levels(1, 1))
	is.True(!known)
}

func heldByKey(c Changes) map[Key]bool {
	state := map[Key]bool{}
	for _, change := range c.List {
		state[change.Key] = change.Held
	}
	return state
}

// Two entry hosts receive the same history within a heartbeat. The second must
// learn of it while the first request is still waiting, or the history is
// computed twice. It must not be told that the history was evicted while a
// waiting request will store it again.
func TestChangesReportWaitingAndEvictedLevels(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	asked := levels(1, 1)
	first, next := s.index.Changes(0)
	is.True(first.Snapshot)

	s.index.AddWaiting("loop/7", asked)
	changes, next := s.index.Changes(next)
	is.Equal(heldByKey(changes), map[Key]bool{asked[0].Key: true, asked[1].Key: true})

	s.storeRun("loop/7", asked, 0)
	s.reply(1, "loop/7", asked, 0)
	s.index.Apply(1, []Event{s.event("loop/7", asked, 256, false)})
	changes, next = s.index.Changes(next)
	is.Equal(len(changes.List), 0) // the request is still waiting

	s.index.RemoveWaiting("loop/7", asked)
	changes, next = s.index.Changes(next)
	is.Equal(heldByKey(changes), map[Key]bool{asked[1].Key: false})

	s.crash()
	changes, _ = s.index.Changes(next)
	is.True(changes.Snapshot)
	is.Equal(len(changes.List), 0)
}

// Implausible counts and prompts without levels must change nothing.
func TestInvalidRepliesAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	asked := levels(1, 1)
	s.index.Learn(Reply{Incarnation: 1, Salt: "loop/7", Levels: asked, Estimated: 320, Prompt: -1})
	s.index.Learn(Reply{Incarnation: 1, Salt: "loop/7", Levels: asked, Estimated: 320, Prompt: 10, Cached: 20})
	s.index.Learn(Reply{Incarnation: 1, Salt: "loop/7", Prompt: 10})
	s.index.AddWaiting("loop/7", nil)
	s.index.RemoveWaiting("loop/7", asked)
	is.Equal(s.index.Counts().Entries, 0)
	tokens, _ := s.index.CachedTokens("loop/7", nil)
	is.Equal(tokens, 0)
}

// The index must not grow with the number of prompts.
func TestIndexIsBounded(t *testing.T) {
	is := is.New(t)
	index := New(Settings{MaxBytes: 64 << 10})
	index.StartIncarnation(1)
	for i := range 10_000 {
		key := Key{byte(i), byte(i >> 8)}
		index.Learn(Reply{Incarnation: 1, Salt: "s", Levels: []Level{{Key: key, Tokens: 10}}, Estimated: 10, Prompt: 10})
	}
	is.Equal(index.Counts().Entries, (64<<10)/2/entryBytes)
	changes, _ := index.Changes(0)
	is.True(len(changes.List) <= maxChanges)
}
