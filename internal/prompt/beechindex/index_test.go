package beechindex

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const blockSize = 16

// scene is an engine's cache as an agent sees it: events may be lost, late or
// doubled, the engine may crash, replies of a dead engine may still arrive.
type scene struct {
	index       *Index
	incarnation uint64
	sequence    uint64
	late        []lateEvent
	learned     map[entryKey]bool // by a reply of the present incarnation
}

type lateEvent struct {
	incarnation uint64
	event       Event
}

func newScene() *scene {
	s := &scene{index: New(Settings{}), learned: map[entryKey]bool{}}
	s.crash()
	return s
}

func (s *scene) crash() {
	s.incarnation++
	s.sequence = 0
	s.learned = map[entryKey]bool{}
	s.index.StartIncarnation(s.incarnation)
}

func salts(t *rapid.T) string {
	workspace := rapid.SampledFrom([]string{"loop", "monterroso"}).Draw(t, "workspace")
	weights := rapid.SampledFrom([]string{"7", "8"}).Draw(t, "weights")
	return workspace + "/" + weights
}

// prompt has the same keys in each salt, so that only the salt keeps them apart.
func prompt(t *rapid.T) []Level {
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

func (s *scene) reply(incarnation uint64, salt string, levels []Level, cached int) {
	last := levels[len(levels)-1].Tokens
	s.index.Learn(Reply{Incarnation: incarnation, Salt: salt, Levels: levels, Estimated: last, Prompt: last, Cached: cached})
	if incarnation == s.incarnation {
		for _, l := range levels {
			s.learned[entryKey{salt: salt, key: l.Key}] = true
		}
	}
}

func (s *scene) event(salt string, levels []Level, tokens int, stored bool) Event {
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

// An engine dies and comes back empty, weights are replaced, workspaces share the
// engine. Events and replies of what is gone arrive late, doubled or not at all. A
// lookup that answered from one of them would promise a caller a first token that
// never comes that soon, and tell one workspace what another one asked.
func TestLookupNeverCrossesIncarnationWorkspaceOrWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScene()
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(*rapid.T) { s.crash() },
			"late report of a dead engine": func(t *rapid.T) {
				s.index.StartIncarnation(rapid.Uint64Range(1, s.incarnation).Draw(t, "incarnation"))
			},
			"reply": func(t *rapid.T) { s.reply(s.incarnation, salts(t), prompt(t), 0) },
			"reply of a dead engine": func(t *rapid.T) {
				s.reply(rapid.Uint64Range(0, s.incarnation-1).Draw(t, "incarnation"), salts(t), prompt(t), 0)
			},
			"event": func(t *rapid.T) {
				tokens := blockSize * rapid.IntRange(1, 20).Draw(t, "block")
				e := s.event(salts(t), prompt(t), tokens, rapid.Bool().Draw(t, "stored"))
				switch rapid.SampledFrom([]string{"at once", "late", "lost"}).Draw(t, "fate") {
				case "at once":
					s.index.Apply(s.incarnation, []Event{e})
				case "late":
					s.late = append(s.late, lateEvent{incarnation: s.incarnation, event: e})
				}
			},
			"late event": func(t *rapid.T) {
				if len(s.late) > 0 {
					l := rapid.SampledFrom(s.late).Draw(t, "late")
					s.index.Apply(l.incarnation, []Event{l.event})
				}
			},
			"queued": func(t *rapid.T) { s.index.AddWaiting(salts(t), prompt(t)) },
			"left":   func(t *rapid.T) { s.index.RemoveWaiting(salts(t), prompt(t)) },
			"": func(t *rapid.T) {
				salt, levels := salts(t), prompt(t)
				tokens, _ := s.index.CachedTokens(salt, levels)
				for _, l := range levels {
					if l.Tokens <= tokens && !s.learned[entryKey{salt: salt, key: l.Key}] {
						t.Fatalf("%d tokens cached, but no reply of incarnation %d in %s tells of %v", tokens, s.incarnation, salt, l.Key)
					}
				}
			},
		})
	})
}

func (s *scene) storeRun(salt string, levels []Level, from int) {
	last := levels[len(levels)-1].Tokens
	var events []Event
	for tokens := from + blockSize; tokens <= last; tokens += blockSize {
		events = append(events, s.event(salt, levels, tokens, true))
	}
	s.index.Apply(s.incarnation, events)
}

// Engines evict within seconds, the end of a prompt first. Without the tie between
// blocks and levels the agent would promise a history that is gone.
func TestEvictionTakesTheLevelOfItsBlock(t *testing.T) {
	is := is.New(t)
	s := newScene()
	asked := levels(1, 1)
	s.storeRun("loop/7", asked, 0)
	s.reply(1, "loop/7", asked, 0)
	tokens, known := s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 320)
	is.True(known)

	s.index.Apply(1, []Event{s.event("loop/7", asked, 320, false)})
	tokens, known = s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 256) // the question went, the history stays
	is.True(known)

	s.index.Apply(1, []Event{s.event("loop/7", asked, 128, false)})
	tokens, _ = s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 64) // a block amid the history went

	s.index.Apply(1, []Event{s.event("loop/7", asked, 128, true), s.event("loop/7", asked, 256, true)})
	tokens, _ = s.index.CachedTokens("loop/7", asked)
	is.Equal(tokens, 256)
}

// An engine computes at least one token anew, so a prompt of whole blocks is stored
// without its last one, and a question may add a single block to a long history.
func TestRunsOfOneBlockAndWholePromptsAreTied(t *testing.T) {
	is := is.New(t)
	s := newScene()
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

// A lost event may have been an eviction. Whatever was learned before is not vouched
// for, and a reply confirms it again.
func TestGapLeavesUnknownUntilConfirmed(t *testing.T) {
	is := is.New(t)
	s := newScene()
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

// An agent that restarts beside a live engine has missed its first events, so it
// does not claim to know that a prompt is not cached.
func TestRestartBesideLiveEngineAdmitsNotKnowing(t *testing.T) {
	is := is.New(t)
	s := newScene()
	_, known := s.index.CachedTokens("loop/7", levels(1, 1))
	is.True(!known)
	s.sequence = 41
	s.index.Apply(1, []Event{s.event("loop/7", levels(2, 2), 16, true)})
	_, known = s.index.CachedTokens("loop/7", levels(1, 1))
	is.True(!known)
	s.index.AddWaiting("loop/7", levels(1, 1)) // that one waits says nothing of the cache
	_, known = s.index.CachedTokens("loop/7", levels(1, 1))
	is.True(!known)
}

func held(c Changes) map[Key]bool {
	state := map[Key]bool{}
	for _, change := range c.List {
		state[change.Key] = change.Held
	}
	return state
}

// Two entry hosts get the same history within a heartbeat. The second must hear of it
// while the first request still waits, or the history is prefilled twice; and it
// must not hear that it is gone while a request that waits brings it back.
func TestChangesTellWhatWaitsAndWhatIsGone(t *testing.T) {
	is := is.New(t)
	s := newScene()
	asked := levels(1, 1)
	first, next := s.index.Changes(0)
	is.True(first.Snapshot)

	s.index.AddWaiting("loop/7", asked)
	changes, next := s.index.Changes(next)
	is.Equal(held(changes), map[Key]bool{asked[0].Key: true, asked[1].Key: true})

	s.storeRun("loop/7", asked, 0)
	s.reply(1, "loop/7", asked, 0)
	s.index.Apply(1, []Event{s.event("loop/7", asked, 256, false)})
	changes, next = s.index.Changes(next)
	is.Equal(len(changes.List), 0) // it still waits

	s.index.RemoveWaiting("loop/7", asked)
	changes, next = s.index.Changes(next)
	is.Equal(held(changes), map[Key]bool{asked[1].Key: false})

	s.crash()
	changes, _ = s.index.Changes(next)
	is.True(changes.Snapshot)
	is.Equal(len(changes.List), 0)
}

// Counts that no engine should send, and prompts without levels, change nothing.
func TestBadRepliesArePassedOver(t *testing.T) {
	is := is.New(t)
	s := newScene()
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
	is.True(len(changes.List) <= maxLog)
}
