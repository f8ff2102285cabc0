package beechplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// Another request about a history comes while the first one's engine still
// reads it. Sent at once it would read the same again.
func TestWaitsForPartBeingPrefilled(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.reportAll(nil)
	c := f.choose(t, newCall("new", 6300, 900))
	is.Equal(c.Wait, time.Duration(0))
	f.StartAttempt(newCall("new", 6300, 900), c)
	again := f.choose(t, newCall("new", 6300, 900))
	is.True(again.Wait > 100*time.Millisecond)
	is.True(again.Wait <= maxPrefixWait)
	f.clock.Advance(maxPrefixWait)
	f.reportAll(nil)
	is.Equal(f.choose(t, newCall("new", 6300, 900)).Wait, time.Duration(0))
}

// An engine has dropped a history, and its keeper says so. Others would fetch it
// from there in vain.
func TestEvictedPartIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.reportAll(nil)
	c := f.choose(t, newCall("s", 6300, 900))
	f.StartAttempt(newCall("s", 6300, 900), c).Done(Answered)
	f.clock.Advance(time.Second)
	f.reportAll(nil)
	is.Equal(f.choose(t, newCall("s", 6300, 900)).Missing, 0)
	f.UpdateState(State{Address: c.Server.Address, Gone: []uint64{PartKey(c.Salt, "s")}, CacheTotal: 100000})
	is.Equal(f.choose(t, newCall("s", 6300, 900)).Missing, 4200)
}

// What another gate has sent to an engine is held there.
func TestPartsSentByOtherGates(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.reportAll(func(i int, s *State) {
		if i == 2 {
			s.Parts = []uint64{PartKey("w1", "common"), PartKey("w1", "s")}
		}
	})
	f.clock.Advance(time.Second)
	f.reportAll(nil)
	c := f.choose(t, newCall("s", 6300, 900))
	is.Equal(c.Server.ID, "e02")
	is.Equal(c.Missing, 0)
}

// Each gate would have a history saved anew, on a link that they share.
func TestPartIsSavedOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(nil)
	c := f.choose(t, newCall("s", 6300, 900))
	is.Equal(c.Save, kvStoreAddress)
	is.Equal(c.Fetch, kvStoreAddress)
	f.reportAll(func(_ int, s *State) { s.Kept = []uint64{PartKey(c.Salt, "s")} })
	is.True(!f.choose(t, newCall("s", 6300, 900)).Save.IsValid())
	f.KVStoreFailed(kvStoreAddress)
	is.True(!f.choose(t, newCall("s", 6300, 900)).Fetch.IsValid())
	f.clock.Advance(storeRetryInterval)
	f.reportAll(nil)
	is.Equal(f.choose(t, newCall("s", 6300, 900)).Save, kvStoreAddress) // it came back empty
}

// Cached parts of other weights, or of an isolated workspace, must not match.
func TestCacheSalts(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(nil)
	open, walled := newCall("s", 300, 10), newCall("s", 300, 10)
	walled.Workspace = beechcall.Workspace{Name: "barn", Isolated: true}
	is.Equal(f.choose(t, open).Salt, "w1")
	is.Equal(f.choose(t, walled).Salt, "w1.barn")
	f.ObserveVersion("e00", "m", 2)
	f.ObserveVersion("e01", "m", 2)
	f.SetLatestVersion("m", 2)
	f.reportAll(nil)
	is.Equal(f.choose(t, open).Salt, "w2")
	is.Equal(f.choose(t, open).Weights, uint64(2))
}

// Every engine holds the instruction that all prompts begin with, and each holds
// some histories. If a gate remembers only a few holders of the instruction, the
// others seem to hold nothing, as a history is of no use without what comes
// before it; prompts go where they are read again, and their callers wait for it.
func TestPartCachedOnAllEngines(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.reportAll(nil)
	for i := range 12 {
		call := newCall(fmt.Sprint("history", i), 6000, 100)
		c, ok := f.estimate(call, f.byID[fmt.Sprintf("e%02d", i)], f.sharedParts(call, f.clock.Now()), f.clock.Now())
		is.True(ok)
		attempt := f.StartAttempt(call, c)
		f.clock.Advance(10 * time.Millisecond)
		attempt.Done(Answered)
	}
	f.clock.Advance(time.Second)
	f.reportAll(nil)
	for i := range 12 {
		c := f.choose(t, newCall(fmt.Sprint("history", i), 6000, 100))
		is.Equal(c.Server.ID, fmt.Sprintf("e%02d", i))
		is.Equal(c.Missing, 0)
	}
}

// An engine starts again under the ID that it had, and holds nothing. A gate that
// goes by the ID alone would send requests there for the parts that it lost, and
// have others fetch them from it.
func TestRestartedEngineHasEmptyCache(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(func(_ int, s *State) { s.Born = 100 })
	history := newCall("history", 6000, 100)
	first := f.choose(t, history)
	f.StartAttempt(history, first)
	f.clock.Advance(time.Second)
	f.reportAll(func(_ int, s *State) { s.Born = 100 })
	is.Equal(f.choose(t, history).Missing, 0)

	f.reportAll(func(_ int, s *State) { s.Born = 200 })
	again := f.choose(t, history)
	is.Equal(again.Missing, 6000)
	is.True(!again.Fetch.IsValid() || again.Fetch == kvStoreAddress)

	f.reportAll(func(_ int, s *State) { s.Born = 100 }) // late word of the lifetime before
	is.Equal(f.byID[first.Server.ID].Born, uint64(200))
}
