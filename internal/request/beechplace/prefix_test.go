package beechplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// A second request for a history arrives while an engine is prefilling it for the first. Sent
// at once, it would prefill the history again.
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

// A keeper reports that its engine has evicted a history. Requests must not try to fetch it
// from there.
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

// Parts that other gates sent to an engine count as cached there.
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

// A history is saved once, not by each gate, as the gates share the store's link.
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
	is.Equal(f.choose(t, newCall("s", 6300, 900)).Save, kvStoreAddress) // the store came back empty
}

// Parts cached with other weights or by an isolated workspace must not match.
func TestCacheSalts(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(nil)
	open, isolated := newCall("s", 300, 10), newCall("s", 300, 10)
	isolated.Workspace = beechcall.Workspace{Name: "barn", Isolated: true}
	is.Equal(f.choose(t, open).Salt, "w1")
	is.Equal(f.choose(t, isolated).Salt, "w1.barn")
	f.ObserveVersion("e00", "m", 2)
	f.ObserveVersion("e01", "m", 2)
	f.SetLatestVersion("m", 2)
	f.reportAll(nil)
	is.Equal(f.choose(t, open).Salt, "w2")
	is.Equal(f.choose(t, open).Weights, uint64(2))
}

// Guards against parts of a workspace that others find after it has become isolated, whatever sets of workspaces are isolated
// one after the other, and also by calls that wait meanwhile.
func TestIsolatedWorkspacesShareNoSaltOverChanges(t *testing.T) {
	names := []string{"a", "b", "ab", "c"}
	rapid.Check(t, func(r *rapid.T) {
		made := map[string]map[string]bool{} // workspaces that have computed parts, by salt
		var waiting []*beechcall.Call
		for range rapid.IntRange(1, 12).Draw(r, "changes") {
			c := &beechcall.Configuration{}
			isolated := map[string]bool{}
			for _, name := range names {
				if rapid.Bool().Draw(r, name) {
					isolated[name] = true
					c.Isolated = append(c.Isolated, name)
				}
			}
			current := newSalts(c)
			run := func(call *beechcall.Call) {
				salt := current.of(call, 1)
				for other := range made[salt] {
					if other != call.Workspace.Name && (isolated[other] || isolated[call.Workspace.Name]) {
						r.Fatalf("%s finds what %s has computed under %s; isolated: %v", call.Workspace.Name, other, salt, c.Isolated)
					}
				}
				if made[salt] == nil {
					made[salt] = map[string]bool{}
				}
				made[salt][call.Workspace.Name] = true
			}
			for _, call := range waiting {
				run(call)
			}
			waiting = nil
			for _, name := range names {
				call := &beechcall.Call{Workspace: beechcall.Workspace{Name: name, Isolated: isolated[name]}}
				run(call)
				if rapid.Bool().Draw(r, "waits") {
					waiting = append(waiting, call)
				}
			}
		}
	})
}

// Guards against shared parts that are cold though the set of isolated workspaces is the same, or at a gate that has just
// started.
func TestSharedSaltFollowsFromTheIsolatedWorkspaces(t *testing.T) {
	is := is.New(t)
	call := &beechcall.Call{Workspace: beechcall.Workspace{Name: "mill"}}
	salt := func(isolated ...string) string {
		return newSalts(&beechcall.Configuration{Isolated: isolated}).of(call, 1)
	}
	is.Equal(salt(), "w1")
	is.Equal(salt("barn"), salt("barn", "barn"))
	is.Equal(salt("barn", "dye"), salt("dye", "barn"))
	is.True(salt("barn") != salt("barn", "dye"))
	is.True(salt("ab", "c") != salt("a", "bc"))
	is.True(salt("mill") == "w1.mill")
}

// Every engine caches the instruction that all prompts begin with, and each caches other
// histories. If a gate tracked only a few locations of the instruction, the other engines
// would appear to cache nothing, as a history is usable only with the parts before it, and
// histories would be prefilled again.
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

// An engine restarts under the same ID with an empty cache. If gates went by the ID alone,
// they would send requests there for the lost parts, or have others fetch them from it.
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

	f.reportAll(func(_ int, s *State) { s.Born = 100 }) // late report of the previous lifetime
	is.Equal(f.byID[first.Server.ID].Born, uint64(200))
}
