package beechpoison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	bad   = 666
	first = 1 // the first part of all prompts
)

var nextRequest uint64 = 1 << 40

// fleet is a number of trackers that share a clock.
type fleet struct {
	clock    *clockwork.FakeClock
	trackers []*Tracker
}

func newFleet(n int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock()}
	for i := range n {
		f.trackers = append(f.trackers, New(f.clock, func(uint64) int { return i }, func() {}))
	}
	return f
}

// exchange delivers what is due to all others, if delivered agrees.
func (f *fleet) exchange(delivered func() bool) {
	for i, from := range f.trackers {
		u := from.Next(Near)
		for j, to := range f.trackers {
			if i != j && delivered() {
				to.Apply(u, Zone)
			}
		}
	}
}

func always() bool { return true }

// newRequest returns a request unlike any other, with shared parts from the outermost on.
func newRequest(workspace uint32, parts ...uint64) Request {
	nextRequest++
	r := Request{Workspace: workspace}
	for i, key := range parts {
		r.Traits = append(r.Traits, Trait{Key: key, Rank: i})
	}
	r.Traits = append(r.Traits, Trait{Key: nextRequest, Rank: 1000})
	return r
}

// crash records the crash of a new server at one tracker, with the requests that had not begun.
func (f *fleet) crash(t *Tracker, requests ...Request) {
	nextRequest++
	t.RecordCrash(nextRequest, f.clock.Now(), requests)
}

func refused(v Verdict) bool {
	_, ok := v.(Refuse)
	return ok
}

// Requests that share one part only crash servers at different processes. The part is refused
// everywhere after two moments, and what it shares its requests with is not.
func TestPartIsBlamedOverRequestsAndProcesses(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for n := range 2 {
		f.crash(f.trackers[n], newRequest(1, first, bad, uint64(10+n)), newRequest(1, first, uint64(20+n)))
		f.exchange(always)
		f.clock.Advance(500 * time.Millisecond)
		f.trackers[2].RecordStart(newRequest(1, first, 30))
		f.exchange(always)
	}
	for _, each := range f.trackers {
		is.True(refused(each.Check(newRequest(1, first, bad, 40))))
		is.Equal(each.Check(newRequest(1, first, 10)), Allow{})
		is.Equal(each.Check(newRequest(1, first, 20)), Allow{})
	}
}

// Many servers crash at once, as when a rack loses power, with requests of one part on several.
func TestServersLostAtOnceBlameNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for range 5 {
		f.crash(f.trackers[0], newRequest(1, first, 7))
		f.clock.Advance(20 * time.Millisecond)
	}
	is.Equal(f.trackers[0].Check(newRequest(1, first, 7)), Allow{})
}

// Servers crash for other reasons, and a rare part was there twice.
func TestRarePartAmongManyCrashesIsNotBlamed(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for n := range 9 {
		r := newRequest(1, uint64(100+n))
		if n == 0 || n == 8 {
			r = newRequest(1, 7)
		}
		f.crash(f.trackers[0], r)
		f.clock.Advance(time.Second)
	}
	is.Equal(f.trackers[0].Check(newRequest(1, 7)), Allow{})
}

// A part that crashes servers among crashes of other causes is blamed at four moments.
func TestPartIsBlamedBesideOtherCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for n := range 4 {
		for range 3 {
			f.crash(f.trackers[0], newRequest(1, uint64(200+n)))
			f.clock.Advance(300 * time.Millisecond)
		}
		f.crash(f.trackers[0], newRequest(1, bad))
		f.clock.Advance(300 * time.Millisecond)
	}
	is.True(refused(f.trackers[0].Check(newRequest(1, bad))))
}

// Two parts crash servers at the same time.
func TestTwoPartsAreBlamed(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := range 4 {
		f.crash(f.trackers[n%2], newRequest(1, first, bad+uint64(n%2)))
		f.clock.Advance(300 * time.Millisecond)
		f.exchange(always)
		f.trackers[0].RecordStart(newRequest(1, first))
		f.exchange(always)
	}
	for _, each := range f.trackers {
		is.True(refused(each.Check(newRequest(1, first, bad))))
		is.True(refused(each.Check(newRequest(1, first, bad+1))))
		is.Equal(each.Check(newRequest(1, first)), Allow{})
	}
}

// A request that is sent again crashes servers: it is refused, and the parts of its prompt are not.
func TestRepeatedRequestIsBlamedBeforeItsParts(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	poison := newRequest(1, first, 7)
	for range 2 {
		f.crash(f.trackers[0], poison)
		f.clock.Advance(time.Second)
	}
	is.True(refused(f.trackers[0].Check(poison)))
	is.Equal(f.trackers[0].Check(newRequest(1, first, 7)), Allow{})
	f.crash(f.trackers[0], newRequest(1, first, 7)) // it was the part after all
	is.True(refused(f.trackers[0].Check(newRequest(1, 2, 7))))
}

// The requests of one workspace that crash servers name a part of another one's prompts.
func TestWorkspaceCannotHaveAnothersPartRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for range 3 {
		f.crash(f.trackers[0], newRequest(1, 7))
		f.clock.Advance(time.Second)
	}
	is.True(refused(f.trackers[0].Check(newRequest(1, 7))))
	is.Equal(f.trackers[0].Check(newRequest(2, 7)), Allow{})
	f.crash(f.trackers[0], newRequest(2, 7))
	is.True(refused(f.trackers[0].Check(newRequest(3, 7))))
}

// After the refusal one process lets one request through, and all learn what becomes of it.
func TestTrialIsTakenByOneProcess(t *testing.T) {
	for _, mended := range []bool{true, false} {
		t.Run(fmt.Sprint("mended ", mended), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			for range 2 {
				f.crash(f.trackers[0], newRequest(1, bad))
				f.exchange(always)
				f.clock.Advance(time.Second)
			}
			f.clock.Advance(firstRefusal)
			trials := 0
			for _, each := range f.trackers {
				if v, ok := each.Check(newRequest(1, bad)).(Trial); ok && each.BeginTrial(v) {
					trials++
				}
				f.exchange(always)
			}
			is.Equal(trials, 1)
			is.True(refused(f.trackers[1].Check(newRequest(1, bad))))
			f.clock.Advance(100 * time.Millisecond)
			if mended {
				f.trackers[0].RecordStart(newRequest(1, bad))
			} else {
				f.crash(f.trackers[0], newRequest(1, bad))
			}
			f.exchange(always)
			f.clock.Advance(nextRefusal - time.Second)
			for _, each := range f.trackers {
				is.Equal(refused(each.Check(newRequest(1, bad))), !mended)
			}
		})
	}
}

// The process whose turn it is gets no such request: others begin the trial some time later.
func TestTrialDoesNotWaitForOneProcess(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for range 2 {
		f.crash(f.trackers[0], newRequest(1, bad))
		f.clock.Advance(time.Second)
		f.exchange(always)
	}
	f.clock.Advance(firstRefusal - time.Second)
	is.True(refused(f.trackers[2].Check(newRequest(1, bad))))
	f.clock.Advance(2 * turnTime)
	_, ok := f.trackers[2].Check(newRequest(1, bad)).(Trial)
	is.True(ok)
}

// A process that starts knows nothing, and one that was cut off has missed it all.
func TestBlameReachesAProcessThatStarts(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for range 2 {
		f.crash(f.trackers[0], newRequest(1, first, bad))
		f.clock.Advance(time.Second)
	}
	for range 10 {
		f.exchange(func() bool { return false })
	}
	f.clock.Advance(time.Second)
	is.Equal(f.trackers[1].Check(newRequest(1, bad)), Allow{})
	f.trackers[1].Apply(f.trackers[0].Active(), Elsewhere)
	is.True(refused(f.trackers[1].Check(newRequest(1, bad))))
	is.True(!f.trackers[0].Active().IsEmpty())
	is.True(f.trackers[1].Next(Far).IsEmpty()) // what another zone told is not sent back
}

// One of three datagrams is lost. All processes come to the same conclusion.
func TestLostUpdatesAreRepeated(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	f := newFleet(6)
	for n := range 2 {
		f.crash(f.trackers[n], newRequest(1, first, bad), newRequest(1, first, 5))
		for range maxSends {
			f.clock.Advance(250 * time.Millisecond)
			f.exchange(func() bool { return random.IntN(3) > 0 })
		}
		f.trackers[3].RecordStart(newRequest(1, first, 5))
		for range maxSends {
			f.clock.Advance(250 * time.Millisecond)
			f.exchange(func() bool { return random.IntN(3) > 0 })
		}
	}
	for _, each := range f.trackers {
		is.True(refused(each.Check(newRequest(1, bad))))
		is.Equal(each.Check(newRequest(1, first, 5)), Allow{})
	}
}

// Several processes report one crash, each a little later.
func TestOneCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for _, each := range f.trackers {
		each.RecordCrash(9, f.clock.Now(), []Request{newRequest(1, bad)})
		f.clock.Advance(300 * time.Millisecond)
	}
	f.exchange(always)
	f.exchange(always)
	for _, each := range f.trackers {
		is.Equal(each.Check(newRequest(1, bad)), Allow{})
		is.Equal(each.Counts().Crashes, 1)
	}
	for _, each := range f.trackers {
		is.True(each.crashes[0].at.Equal(f.clock.Now().Add(-900 * time.Millisecond)))
	}
}

// Two processes that send each other what they know of a crash do not make it younger.
func TestUpdatesDoNotExtendBlame(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for range 2 {
		f.crash(f.trackers[0], newRequest(1, bad))
		f.clock.Advance(time.Second)
	}
	for range 2 * int(retention/time.Second) {
		u := f.trackers[0].Active()
		f.clock.Advance(500 * time.Millisecond)
		f.trackers[1].Apply(u, Zone)
		u = f.trackers[1].Active()
		f.clock.Advance(500 * time.Millisecond)
		f.trackers[0].Apply(u, Zone)
	}
	f.trackers[0].Apply(Update{Crashes: []Crash{{Server: 1}}}, Zone) // what has expired is forgotten with the next change
	is.Equal(f.trackers[0].Counts().Crashes, 1)
	is.Equal(f.trackers[0].Check(newRequest(1, bad)), Allow{})
}

func TestBounds(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	tracker := f.trackers[0]
	for range 2 {
		f.crash(tracker, newRequest(1, bad))
		f.clock.Advance(time.Second)
	}
	for n := range uint64(1000) {
		var many []Request
		for k := range uint64(100) {
			many = append(many, newRequest(1, 1<<20+n*100+k))
		}
		f.crash(tracker, many...)
		f.clock.Advance(time.Millisecond)
	}
	is.Equal(len(tracker.crashes), maxCrashes)
	is.True(len(tracker.crashes[maxCrashes-1].suspects) <= maxSuspects)
	is.True(refused(tracker.Check(newRequest(1, bad))))
	tracker.Apply(Update{
		Crashes: []Crash{{Server: 1, Age: -time.Hour}, {Server: 2, Age: 1 << 62}, {Server: 3, Suspects: []Suspect{{}}}},
		Starts:  []Event{{Key: 0}, {Key: bad, Age: -1}, {Key: bad, Age: 1 << 62}},
		Trials:  []Event{{Key: bad, Age: -1}},
	}, Zone)
	is.True(refused(tracker.Check(newRequest(1, bad))))
	var starts []Event
	for n := range uint64(3 * maxEvents) {
		starts = append(starts, Event{Key: 1<<30 + n, Age: time.Duration(n)})
	}
	tracker.Apply(Update{Starts: starts}, Zone)
	is.True(len(tracker.starts) <= maxEvents)
	u := tracker.Next(Near)
	count := len(u.Starts) + len(u.Trials)
	for _, c := range u.Crashes {
		count += len(c.Suspects)
	}
	is.True(count <= maxSent+maxSuspects)
}

// An answer to a trait that is not blamed must not have it blamed, whenever a process hears of it.
func TestAnswerNeverLeadsToBlame(t *testing.T) {
	is := is.New(t)
	crash := func(server, key uint64, age time.Duration) Update {
		return Update{Crashes: []Crash{{Server: server, Age: age, Suspects: []Suspect{{Trait: Trait{Key: key}, Workspace: 1}}}}}
	}
	start := func(key uint64, age time.Duration) Update { return Update{Starts: []Event{{Key: key, Age: age}}} }
	updates := []Update{
		crash(0, 1, 0), crash(1, 2, 6*time.Second), start(2, 0), crash(3, 1, 3*time.Second), crash(4, 2, 9*time.Second),
		crash(5, 2, 12*time.Second), crash(6, 2, 15*time.Second), crash(7, 1, 3*time.Minute), start(1, 6*time.Second),
	}
	for first := range updates {
		f := newFleet(1)
		for _, u := range append(slices.Clone(updates[first:]), updates[:first]...) {
			f.trackers[0].Apply(u, Zone)
		}
		is.Equal(f.trackers[0].Check(Request{Workspace: 1, Traits: []Trait{{Key: 1}}}), Verdict(Allow{}))
	}
}

// The order in which updates arrive, and repeats of them, change nothing.
func TestMergingDependsOnNoOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []Update
		for n := range rapid.IntRange(1, 12).Draw(t, "updates") {
			age := time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * 3 * time.Second
			key := rapid.Uint64Range(1, 3).Draw(t, "key")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				updates = append(updates, Update{Starts: []Event{{Key: key, Age: age}}})
			default:
				updates = append(updates, Update{Crashes: []Crash{{Server: uint64(n), Age: age, Suspects: []Suspect{{Trait: Trait{Key: key}, Workspace: 1}}}}})
			}
		}
		f := newFleet(2)
		for _, u := range updates {
			f.trackers[0].Apply(u, Zone)
		}
		for _, u := range append(rapid.Permutation(updates).Draw(t, "order"), updates...) {
			f.trackers[1].Apply(u, Zone)
		}
		for key := range uint64(3) {
			r := Request{Workspace: 1, Traits: []Trait{{Key: key + 1}}}
			if x, y := f.trackers[0].Check(r), f.trackers[1].Check(r); fmt.Sprint(x) != fmt.Sprint(y) {
				t.Fatalf("key %d: %v and %v", key+1, x, y)
			}
		}
	})
}

// simulate plays servers that crash by themselves, one a second or many at once, under prompts of
// rare subjects, and returns how many subjects are blamed at some time.
func simulate(seed uint64, servers, subjects, rate int, wait time.Duration, crashAt func(second int) int) int {
	random := rand.New(rand.NewPCG(seed, seed))
	clock := clockwork.NewFakeClock()
	tracker := New(clock, func(uint64) int { return 0 }, func() {})
	type running struct {
		Request
		server int
		begins time.Time
	}
	var waiting []running
	blamed := make(map[uint64]bool)
	lifetime := make([]uint64, servers)
	for step := range 20 * rate {
		if step%rate == 0 {
			for range crashAt(step / rate) {
				server := random.IntN(servers)
				var lost []Request
				kept := waiting[:0]
				for _, r := range waiting {
					if r.server == server {
						lost = append(lost, r.Request)
					} else {
						kept = append(kept, r)
					}
				}
				waiting = kept
				lifetime[server]++
				tracker.RecordCrash(uint64(server)<<32+lifetime[server], clock.Now(), lost)
			}
		}
		waiting = append(waiting, running{newRequest(1, first, 100+uint64(random.IntN(subjects))), random.IntN(servers), clock.Now().Add(wait)})
		clock.Advance(time.Second / time.Duration(rate))
		kept := waiting[:0]
		for _, r := range waiting {
			if r.begins.After(clock.Now()) {
				kept = append(kept, r)
				continue
			}
			tracker.RecordStart(r.Request)
		}
		waiting = kept
		for key := range tracker.blamed {
			if key < nextRequest>>1 {
				blamed[key] = true
			}
		}
	}
	return len(blamed)
}

// Servers that crash by themselves have next to no part refused, whether one a second or a third of
// them each few seconds.
func TestCrashesOfOtherCausesBlameNext(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name  string
		wait  time.Duration
		crash func(second int) int
	}{
		{"one a second", 130 * time.Millisecond, func(int) int { return 1 }},
		{"one a second, queues", time.Second, func(int) int { return 1 }},
		{"a third each four seconds", 130 * time.Millisecond, func(s int) int { return 6 * max(1-s%4, 0) }},
		{"a third each four seconds, queues", time.Second, func(s int) int { return 6 * max(1-s%4, 0) }},
	} {
		blamed := 0
		for seed := range uint64(20) {
			blamed += simulate(seed, 18, 300, 80, c.wait, c.crash)
		}
		t.Logf("%s: %d of %d subjects blamed", c.name, blamed, 20*300)
		is.True(blamed <= 20*300/100)
	}
}

func BenchmarkCheck(b *testing.B) {
	f := newFleet(1)
	r := newRequest(1, first, 7)
	b.Run("no crash", func(b *testing.B) {
		for b.Loop() {
			f.trackers[0].Check(r)
		}
	})
	for n := range uint64(100) {
		f.crash(f.trackers[0], newRequest(1, first, bad, 1000+n))
		f.clock.Advance(time.Second)
	}
	b.Run("100 crashes", func(b *testing.B) {
		for b.Loop() {
			f.trackers[0].Check(r)
		}
	})
	b.Run("conclude", func(b *testing.B) {
		for b.Loop() {
			f.trackers[0].conclude()
		}
	})
}

// Of the requests that ran beside a bad part, only those that have it may be blamed.
func TestCrashesOfBystandersAreExplained(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	tracker := f.trackers[0]
	for server := range uint64(3) {
		tracker.RecordCrash(server, f.clock.Now(), []Request{{Workspace: 1, Traits: []Trait{{Key: 1}}}, {Workspace: 1, Traits: []Trait{{Key: 10 + server/2}}}})
		f.clock.Advance(time.Second)
	}
	is.Equal(tracker.Explained(10), 2)
	is.Equal(tracker.Explained(11), 1)
	is.Equal(tracker.Explained(1), 0)  // it is blamed itself
	is.Equal(tracker.Explained(20), 0) // it was not there
}
