package beechqueue

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain gives the random tests the same seed each time; -rapid.seed tries
// others.
func TestMain(m *testing.M) {
	flag.Parse()
	if s := flag.Lookup("rapid.seed"); s.Value.String() == s.DefValue {
		_ = flag.Set(s.Name, "1")
	}
	os.Exit(m.Run())
}

// backClock is a clock that an operator sets back.
type backClock struct {
	clockwork.Clock
	now time.Time
}

func (c *backClock) Now() time.Time { return c.now }

// Counts come from callers, agents and engines, and any of them may be wrong:
// negative, huge, told twice, for work that is not known, on a clock that is
// set back. Whatever comes, no more runs than there are slots, each work ends
// in one way, no two suspects run together, and an emptied queue counts zero.
func TestAnyInputKeepsTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &backClock{Clock: clockwork.NewRealClock(), now: time.Unix(1e9, 0)}
		q := New(Settings{
			MaxWaiting: rapid.IntRange(-1, 20).Draw(t, "waiting"), MaxWait: rapid.SampledFrom([]time.Duration{-1, 0, time.Second}).Draw(t, "wait"),
			MaxLongPrefills: rapid.IntRange(-1, 2).Draw(t, "longs"), LongPrefill: rapid.IntRange(-1, 2000).Draw(t, "long"),
			MaxPrefixWait: time.Second, PrefillAhead: rapid.SampledFrom([]time.Duration{-1, 0, quarter}).Draw(t, "ahead"), Weights: map[string]int{"a": 0, "b": -5, "c": 1 << 40},
		}, clock)
		number := rapid.SampledFrom([]int{-1 << 62, -1, 0, 1, 300, 5000, 1 << 62})
		load := Load{Slots: 3, PrefillRate: 1000, TokenTime: time.Millisecond}
		running, waiting := map[uint64]Request{}, map[uint64]bool{}
		id := uint64(0)
		begin := func(w Request) {
			if _, twice := running[w.ID]; twice {
				t.Fatal("started twice", w.ID)
			}
			running[w.ID] = w
			delete(waiting, w.ID)
			suspects := 0
			for _, r := range running {
				if r.Suspect {
					suspects++
				}
			}
			if suspects > 1 || len(running) > load.Slots {
				t.Fatal("too many at once", suspects, len(running))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				w := Request{
					ID: id, Workspace: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "workspace"),
					Priority: number.Draw(t, "priority"), PromptTokens: number.Draw(t, "prompt"), CachedTokens: number.Draw(t, "cached"),
					OutputTokens: number.Draw(t, "output"), Suspect: rapid.Bool().Draw(t, "alone"),
				}
				for range rapid.IntRange(0, 3).Draw(t, "levels") {
					w.Levels = append(w.Levels, Level{Key{byte(rapid.IntRange(0, 3).Draw(t, "key"))}, number.Draw(t, "tokens")})
				}
				if rapid.Bool().Draw(t, "bounded") {
					w.Deadline = clock.now.Add(time.Duration(number.Draw(t, "deadline")))
				}
				switch d := q.Offer(w, load).(type) {
				case Run:
					begin(w)
				case Wait:
					waiting[id] = true
				case Refuse:
					if d.RetryAfter < minAfter || d.RetryAfter > maxAfter {
						t.Fatal("come back after", d.RetryAfter)
					}
				}
			},
			"twice": func(t *rapid.T) {
				if _, known := running[id]; known && q.Offer(Request{ID: id}, load) != (Refuse{Reason: ReasonInvalid}) {
					t.Fatal("took work twice")
				}
			},
			"next": func(*rapid.T) {
				for _, w := range q.Dispatch(load) {
					begin(w)
				}
			},
			"finish": func(t *rapid.T) {
				some := rapid.Uint64Range(0, id+1).Draw(t, "id")
				if rapid.Bool().Draw(t, "prefilled") {
					q.FinishPrefill(some)
				}
				q.Finish(some, Usage{Known: rapid.Bool().Draw(t, "known"), Prompt: number.Draw(t, "prompt"), Cached: number.Draw(t, "cached"), Output: number.Draw(t, "output")})
				delete(running, some)
			},
			"cancel": func(t *rapid.T) {
				some := rapid.Uint64Range(0, id+1).Draw(t, "id")
				if q.Cancel(some) != waiting[some] {
					t.Fatal("cancelled what was not waiting", some)
				}
				delete(waiting, some)
			},
			"time": func(t *rapid.T) {
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "milliseconds")) * time.Millisecond)
				for _, r := range q.RemoveOverdue() {
					delete(waiting, r.ID)
				}
			},
			"crash": func(*rapid.T) { q.CacheLost() },
			"": func(t *rapid.T) {
				s := q.State()
				if s.Running != len(running) || s.Waiting != len(waiting) || s.WaitingTokens < 0 {
					t.Fatal("state", s, len(running), len(waiting))
				}
			},
		})
		for some := range running {
			q.Finish(some, Usage{})
		}
		for some := range waiting {
			q.Cancel(some)
		}
		if s := q.State(); s != (State{}) || len(q.prefixes) != 0 || q.longs != 0 || q.alone != 0 {
			t.Fatal("not empty", s, q.prefixes, q.longs, q.alone)
		}
		for i := range q.classes {
			if len(q.classes[i].flows) != 0 {
				t.Fatal("flows stay", q.classes[i].flows)
			}
		}
	})
}

// A class that is served first has work without an end. Lower work must not
// wait for ever behind it, and must not take much from it.
func TestLowerClassIsNotStarved(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	q := New(Settings{MaxWaiting: 1000, PrefillAhead: quarter}, clock)
	one := Load{Slots: 1}
	id := uint64(0)
	offer := func(priority int) {
		id++
		q.Offer(Request{ID: id, Workspace: "w", Priority: priority}, one)
	}
	offer(0)
	for range 100 {
		offer(0)
		offer(3)
	}
	lower := 0
	q.Finish(1, Usage{})
	for range 100 {
		next := q.Dispatch(one)
		is.Equal(len(next), 1)
		lower += min(next[0].Priority, 1)
		q.Finish(next[0].ID, Usage{})
	}
	is.Equal(lower, 100/(starveAfter+1))
}

// A leader that hangs, or whose blocks are evicted at once, must not hold its
// followers longer than MaxPrefixWait; and the agent must be told when to ask.
func TestFollowersWaitIsBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	q := New(settings(), clock)
	levels := []Level{{Key{1}, 4000}}
	is.Equal(q.Offer(Request{ID: 1, Levels: levels, PromptTokens: 4000}, engine), Run{})
	_, waits := q.Offer(Request{ID: 2, Levels: levels, PromptTokens: 4000}, engine).(Wait)
	is.True(waits)
	is.Equal(q.State().WaitingTokens, int64(4000)) // the prefix once
	is.Equal(len(q.Dispatch(engine)), 0)
	var started time.Duration
	for started < time.Minute {
		at, ok := q.NextCheck()
		is.True(ok)
		is.True(at.After(clock.Now()))
		started += at.Sub(clock.Now())
		clock.Advance(at.Sub(clock.Now()))
		if len(q.Dispatch(engine)) == 1 {
			break
		}
	}
	is.Equal(started, settings().MaxPrefixWait)
}

// A server without slots, as one that has not reported yet, can serve nothing:
// work is refused with a time, not kept.
func TestNoSlotsAndOneSlot(t *testing.T) {
	is := is.New(t)
	q := New(settings(), clockwork.NewFakeClock())
	is.Equal(q.Offer(Request{ID: 1}, Load{}), Refuse{Reason: ReasonBusy, RetryAfter: minAfter})
	is.Equal(q.Offer(Request{ID: 1}, Load{Slots: 1}), Run{})
	is.Equal(q.Offer(Request{ID: 2}, Load{Slots: 1}), Wait{Position: 1})
	is.Equal(q.Offer(Request{ID: 3, Deadline: time.Unix(1, 0)}, engine).(Refuse).Reason, ReasonDeadline)
}

func BenchmarkOfferAndFinish(b *testing.B) {
	for _, waiting := range []int{0, 8, 128} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			q := New(Settings{MaxWaiting: 1 << 20, MaxPrefixWait: time.Second, LongPrefill: 8000, PrefillAhead: quarter}, clockwork.NewRealClock())
			levels := []Level{{Key{1}, 300}, {Key{2}, 2000}, {Key{3}, 2100}}
			id := uint64(0)
			offer := func() {
				id++
				q.Offer(Request{ID: id, Workspace: string(rune('a' + id%8)), Levels: levels, PromptTokens: 2100, CachedTokens: 2000, OutputTokens: 50}, engine)
			}
			for range waiting + min(waiting, engine.Slots) {
				offer()
			}
			running := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				offer()
				q.Dispatch(engine)
				q.FinishPrefill(running)
				q.Finish(running, Usage{Known: true, Prompt: 2100, Cached: 2000, Output: 50})
				running++
			}
		})
	}
}
