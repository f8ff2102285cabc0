package beechplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// New weights are named and engines take them one after the other. For a moment
// old ones are as good; later new ones go first; in the end old ones may not be
// used, however many versions were named since.
func TestOutdatedWeights(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.SetLatestVersion("m", 2)
	f.ObserveVersion("e01", "m", 2) // in the other zone
	call := newCall("s", 0, 10)
	call.Parts = nil
	f.reportAll(nil)
	is.Equal(f.choose(t, call).Server.ID, "e00")
	f.clock.Advance(2 * time.Second)
	f.reportAll(nil)
	is.Equal(f.choose(t, call).Server.ID, "e01")
	_, ok := f.Choose(call, []string{"e01"})
	is.True(ok) // better than none
	f.SetLatestVersion("m", 3)
	f.clock.Advance(4500 * time.Millisecond)
	f.reportAll(nil)
	_, ok = f.Choose(call, []string{"e01"})
	is.True(!ok) // 6.5 s after version 2, though only 4.5 s after version 3
	_, ok = f.Choose(call, []string{"e00"})
	is.True(ok)
}

// New weights reach few engines in time. If all others left the choice at one moment,
// callers of the whole fleet would come to the few, and most would be refused or
// late. Those with little ahead of them serve on until shortly before the bound, by
// then everybody is out.
func TestOutdatedEnginesAreExcludedGradually(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.settings.OutdatedHardLimit = 9 * time.Second
	f.SetLatestVersion("m", 2)
	call := newCall("s", 0, 10)
	call.Parts = nil
	left := func(age time.Duration) (n int) {
		f.clock.Advance(age)
		f.reportAll(func(i int, s *State) { s.Reading = 12000 * i }) // 0, 300, 600, 900 ms ahead, as it is believed first
		tried := []string{}
		for {
			choice, ok := f.Choose(call, tried)
			if !ok {
				return n
			}
			n++
			tried = append(tried, choice.Server.ID)
			is.True(choice.FirstByteTimeout <= 9*time.Second)
		}
	}
	is.Equal(left(5900*time.Millisecond), 4)
	is.Equal(left(600*time.Millisecond), 3) // 6.5 s old, 2.5 s left
	is.Equal(left(time.Second), 2)
	is.Equal(left(time.Second), 1)
	is.Equal(left(600*time.Millisecond), 0)
}

// An engine crashes and another lifetime comes up at its address, under another ID
// that the list does not tell yet. Requests that are sent on by the old ID are all
// turned away there, each at the price of a try.
func TestEngineIsNotUsedUntilIdentityIsConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	phase := func(p beechrollout.Phase, born uint64) {
		f.reportAll(func(i int, s *State) {
			if i == 0 {
				s.Phase, s.Born = p, born
			}
		})
	}
	phase(beechrollout.Down, 0)
	phase(beechrollout.Serving, 0)
	_, ok := f.Choose(newCall("s", 0, 10), []string{"e01"})
	is.True(!ok)
	f.servers[0].ID, f.servers[0].ListedAt = "e00b", 9
	f.SetServers(f.servers)
	phase(beechrollout.Serving, 0)
	choice, ok := f.Choose(newCall("s", 0, 10), []string{"e01"})
	is.True(ok)
	is.Equal(choice.Server.ID, "e00b") // the list tells who it is

	phase(beechrollout.Down, 0)
	phase(beechrollout.Serving, 0)
	f.clock.Advance(1600 * time.Millisecond)
	phase(beechrollout.Serving, 0)
	_, ok = f.Choose(newCall("s", 0, 10), []string{"e01"})
	is.True(ok) // it has kept its ID
}

// An engine is about to load weights, or does not answer its own host.
func TestEnginePhases(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for _, phase := range []beechrollout.Phase{beechrollout.Leaving, beechrollout.Loading, beechrollout.Down} {
		f.reportAll(func(i int, s *State) {
			if i == 0 {
				s.Phase = phase
			}
		})
		is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, "e01")
	}
	f.clock.Advance(reportTTL) // its keeper is gone: the list counts again
	_, ok := f.Choose(newCall("s", 0, 10), []string{"e01"})
	is.True(ok)
}

// A server does not answer. It gets nothing for a time that doubles, and is
// tried again.
func TestUnreachableServerBacksOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := &beechcall.Call{Service: "app", Route: route}
	for _, out := range []time.Duration{Defaults.DownTime, 2 * Defaults.DownTime, 4 * Defaults.DownTime} {
		c, ok := f.Choose(call, []string{"p01"})
		is.True(ok)
		f.StartAttempt(call, c).Done(Unreachable)
		f.clock.Advance(out - time.Millisecond)
		_, ok = f.Choose(call, []string{"p01"})
		is.True(!ok)
		f.clock.Advance(time.Millisecond)
	}
	c, ok := f.Choose(call, []string{"p01"})
	is.True(ok)
	f.StartAttempt(call, c).Done(Answered)
	f.StartAttempt(call, c).Done(Failed) // one broken answer is no sign of a dead server
	_, ok = f.Choose(call, []string{"p01"})
	is.True(ok)
}

// A slow server that health has taken out is used only if nothing else is left.
func TestEjectedServerIsLastResort(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.healthWeights[address(1000)] = 0
	call := &beechcall.Call{Service: "app", Route: route}
	is.Equal(f.choose(t, call).Server.ID, "p01")
	is.Equal(f.choose(t, call, "p01").Server.ID, "p00")
}

// After a crash the list has both lifetimes at one address for seconds.
func TestTwoLifetimesAtOneAddress(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	old := f.servers[0]
	reborn := old
	reborn.ID, reborn.ListedAt = "e00-reborn", 9
	f.SetServers([]beechcall.Server{old, reborn})
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, "e00-reborn")
	f.ObserveRejection("e00-reborn", beechcall.NotExecuted{Replaced: true}, "m")
	_, ok := f.Choose(newCall("s", 0, 10), nil)
	is.True(!ok)
}

// A gate is started again while an engine has old weights for long. Every version
// is new to it; went it by that, callers would be served by old weights for
// twice the operators' bound.
func TestRestartedGateUsesKeeperAgeOfWeights(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.SetLatestVersion("m", 2)
	f.reportAll(func(i int, s *State) {
		if i == 0 {
			s.Old = Defaults.OutdatedSoftLimit - time.Second
		}
	})
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, "e01") // the other one is not overtaken for long
	f.clock.Advance(1100 * time.Millisecond)
	_, ok := f.Choose(newCall("s", 0, 10), []string{"e01"})
	is.True(!ok)
}

// Somebody else writes an entry with the address of a server that is well. Taken
// for a later lifetime it would hide the server for good; callers would find one
// server less.
func TestForeignEntryAtServerAddress(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	own := f.servers[0]
	foreign := own
	foreign.ID, foreign.ListedAt = "somebody", 9
	for range 2 {
		f.SetServers([]beechcall.Server{own, foreign})
		if c := f.choose(t, newCall("s", 0, 10)); c.Server.ID == foreign.ID {
			f.ObserveRejection(foreign.ID, beechcall.NotExecuted{Replaced: true, ActualID: own.ID}, "m")
		}
		is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, own.ID)
	}
	f.SetServers([]beechcall.Server{own})
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, own.ID)
}

func TestLeavingServerIsNotChosen(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.servers[0].Leaving = true
	f.SetServers(f.servers)
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, "e01")
}
