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

// TestMain fixes the seed of the property tests, so that runs are reproducible;
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if s := flag.Lookup("rapid.seed"); s.Value.String() == s.DefValue {
		_ = flag.Set(s.Name, "1")
	}
	os.Exit(m.Run())
}

// settableClock is a clock that can be set back.
type settableClock struct {
	clockwork.Clock
	now time.Time
}

func (c *settableClock) Now() time.Time { return c.now }

// Callers, agents and engines may send counts that are negative, huge, repeated or
// for unknown requests, and the clock may be set back. Whatever the input, no more
// requests run than there are slots, each request ends once, no two suspects run
// together, and an emptied queue has all counters at zero.
func TestInvariantsHoldForAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &settableClock{Clock: clockwork.NewRealClock(), now: time.Unix(1e9, 0)}
		q := New(Settings{
			MaxWaiting: rapid.IntRange(-1, 20).Draw(t, "waiting"), MaxWait: rapid.SampledFrom([]time.Duration{-1, 0, time.Second}).Draw(t, "wait"),
			MaxLongPrefills: rapid.IntRange(-1, 2).Draw(t, "longs"), LongPrefill: rapid.IntRange(-1, 2000).Draw(t, "long"),
			MaxPrefixWait: time.Second, PrefillAhead: rapid.SampledFrom([]time.Duration{-1, 0, quarter}).Draw(t, "ahead"), Weights: map[string]int{"a": 0, "b": -5, "c": 1 << 40},
		}, clock)
		number := rapid.SampledFrom([]int{-1 << 62, -1, 0, 1, 300, 5000, 1 << 62})
		load := Load{Slots: 3, PrefillRate: 1000, TokenTime: time.Millisecond}
		running, waiting := map[uint64]Request{}, map[uint64]bool{}
		id := uint64(0)
		begin := func(req Request) {
			if _, twice := running[req.ID]; twice {
				t.Fatal("started twice, ID", req.ID)
			}
			running[req.ID] = req
			delete(waiting, req.ID)
			suspects := 0
			for _, r := range running {
				if r.Suspect {
					suspects++
				}
			}
			if suspects > 1 || len(running) > load.Slots {
				t.Fatal("too many requests running: suspects, all", suspects, len(running))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				req := Request{
					ID: id, Workspace: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "workspace"),
					Priority: number.Draw(t, "priority"), PromptTokens: number.Draw(t, "prompt"), CachedTokens: number.Draw(t, "cached"),
					OutputTokens: number.Draw(t, "output"), Suspect: rapid.Bool().Draw(t, "alone"),
				}
				for range rapid.IntRange(0, 3).Draw(t, "levels") {
					req.Levels = append(req.Levels, Level{Key{byte(rapid.IntRange(0, 3).Draw(t, "key"))}, number.Draw(t, "tokens")})
				}
				if rapid.Bool().Draw(t, "bounded") {
					req.Deadline = clock.now.Add(time.Duration(number.Draw(t, "deadline")))
				}
				switch d := q.Offer(req, load).(type) {
				case Run:
					begin(req)
				case Wait:
					waiting[id] = true
				case Refuse:
					if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
						t.Fatal("RetryAfter out of bounds:", d.RetryAfter)
					}
				}
			},
			"twice": func(t *rapid.T) {
				if _, known := running[id]; known && q.Offer(Request{ID: id}, load) != (Refuse{Reason: ReasonInvalid}) {
					t.Fatal("accepted a request ID that is already known")
				}
			},
			"next": func(*rapid.T) {
				for _, req := range q.Dispatch(load) {
					begin(req)
				}
			},
			"finish": func(t *rapid.T) {
				target := rapid.Uint64Range(0, id+1).Draw(t, "id")
				if rapid.Bool().Draw(t, "prefilled") {
					q.FinishPrefill(target)
				}
				q.Finish(target, Usage{Known: rapid.Bool().Draw(t, "known"), Prompt: number.Draw(t, "prompt"), Cached: number.Draw(t, "cached"), Output: number.Draw(t, "output")})
				delete(running, target)
			},
			"cancel": func(t *rapid.T) {
				target := rapid.Uint64Range(0, id+1).Draw(t, "id")
				if q.Cancel(target) != waiting[target] {
					t.Fatal("result of Cancel does not match whether the request waited, ID", target)
				}
				delete(waiting, target)
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
					t.Fatal("wrong state; running, waiting:", s, len(running), len(waiting))
				}
			},
		})
		for target := range running {
			q.Finish(target, Usage{})
		}
		for target := range waiting {
			q.Cancel(target)
		}
		if s := q.State(); s != (State{}) || len(q.prefixes) != 0 || q.longPrefills != 0 || q.runningSuspects != 0 {
			t.Fatal("queue is not empty:", s, q.prefixes, q.longPrefills, q.runningSuspects)
		}
		for i := range q.classes {
			if len(q.classes[i].flows) != 0 {
				t.Fatal("flows left over:", q.classes[i].flows)
			}
		}
	})
}

// With endless load at a higher priority, lower requests must neither wait forever
// nor take much of the capacity.
func TestLowerPriorityIsNotStarved(t *testing.T) {
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
	is.Equal(lower, 100/(maxPassed+1))
}

// If the request that computes a shared prefix stalls, or its cache blocks are
// evicted immediately, the requests that wait for it must start after
// MaxPrefixWait, and NextCheck must return that time.
func TestWaitForSharedPrefixIsBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	q := New(testSettings(), clock)
	levels := []Level{{Key{1}, 4000}}
	is.Equal(q.Offer(Request{ID: 1, Levels: levels, PromptTokens: 4000}, testLoad), Run{})
	_, waits := q.Offer(Request{ID: 2, Levels: levels, PromptTokens: 4000}, testLoad).(Wait)
	is.True(waits)
	is.Equal(q.State().WaitingTokens, int64(4000)) // the prefix is counted once
	is.Equal(len(q.Dispatch(testLoad)), 0)
	var started time.Duration
	for started < time.Minute {
		at, ok := q.NextCheck()
		is.True(ok)
		is.True(at.After(clock.Now()))
		started += at.Sub(clock.Now())
		clock.Advance(at.Sub(clock.Now()))
		if len(q.Dispatch(testLoad)) == 1 {
			break
		}
	}
	is.Equal(started, testSettings().MaxPrefixWait)
}

// A server without slots, such as one that has not reported yet, cannot serve
// anything: requests are refused with a retry time and not queued.
func TestNoSlotsAndOneSlot(t *testing.T) {
	is := is.New(t)
	q := New(testSettings(), clockwork.NewFakeClock())
	is.Equal(q.Offer(Request{ID: 1}, Load{}), Refuse{Reason: ReasonBusy, RetryAfter: minRetryAfter})
	is.Equal(q.Offer(Request{ID: 1}, Load{Slots: 1}), Run{})
	is.Equal(q.Offer(Request{ID: 2}, Load{Slots: 1}), Wait{Position: 1})
	is.Equal(q.Offer(Request{ID: 3, Deadline: time.Unix(1, 0)}, testLoad).(Refuse).Reason, ReasonDeadline)
}

func BenchmarkOfferAndFinish(b *testing.B) {
	for _, waiting := range []int{0, 8, 128} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			q := New(Settings{MaxWaiting: 1 << 20, MaxPrefixWait: time.Second, LongPrefill: 8000, PrefillAhead: quarter}, clockwork.NewRealClock())
			levels := []Level{{Key{1}, 300}, {Key{2}, 2000}, {Key{3}, 2100}}
			id := uint64(0)
			offer := func() {
				id++
				q.Offer(Request{ID: id, Workspace: string(rune('a' + id%8)), Levels: levels, PromptTokens: 2100, CachedTokens: 2000, OutputTokens: 50}, testLoad)
			}
			for range waiting + min(waiting, testLoad.Slots) {
				offer()
			}
			running := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				offer()
				q.Dispatch(testLoad)
				q.FinishPrefill(running)
				q.Finish(running, Usage{Known: true, Prompt: 2100, Cached: 2000, Output: 50})
				running++
			}
		})
	}
}
