package beechplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// A new version of the weights is announced and engines load it one after the other. At first
// outdated engines are as good, then updated ones are preferred, and finally outdated ones are
// excluded, even if further versions were announced in between.
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
	is.True(ok) // no other engine is left
	f.SetLatestVersion("m", 3)
	f.clock.Advance(4500 * time.Millisecond)
	f.reportAll(nil)
	_, ok = f.Choose(call, []string{"e01"})
	is.True(!ok) // 6.5 s after version 2, though only 4.5 s after version 3
	_, ok = f.Choose(call, []string{"e00"})
	is.True(ok)
}

// Few engines load new weights in time. If all others were excluded at once, the few would
// have to reject or delay most requests. Engines with short queues must keep serving until
// shortly before the hard limit, when all are excluded.
func TestOutdatedEnginesAreExcludedGradually(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.settings.OutdatedHardLimit = 9 * time.Second
	f.SetLatestVersion("m", 2)
	call := newCall("s", 0, 10)
	call.Parts = nil
	usableEngines := func(age time.Duration) (n int) {
		f.clock.Advance(age)
		f.reportAll(func(i int, s *State) { s.Reading = 12000 * i }) // predicted queues of 0, 300, 600 and 900 ms at the initial rate
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
	is.Equal(usableEngines(5900*time.Millisecond), 4)
	is.Equal(usableEngines(600*time.Millisecond), 3) // 6.5 s old, 2.5 s left
	is.Equal(usableEngines(time.Second), 2)
	is.Equal(usableEngines(time.Second), 1)
	is.Equal(usableEngines(600*time.Millisecond), 0)
}

// An engine crashes, and a new lifetime with an ID that is not listed yet starts at its
// address. Requests sent under the old ID would all be rejected there, and each would cost an
// attempt.
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
	is.Equal(choice.Server.ID, "e00b") // the list contains the new ID

	phase(beechrollout.Down, 0)
	phase(beechrollout.Serving, 0)
	f.clock.Advance(1600 * time.Millisecond)
	phase(beechrollout.Serving, 0)
	_, ok = f.Choose(newCall("s", 0, 10), []string{"e01"})
	is.True(ok) // the ID has not changed
}

// An engine is about to load weights, is loading them, or does not answer its keeper.
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
	f.clock.Advance(reportTTL) // without reports of its keeper the server list counts
	_, ok := f.Choose(newCall("s", 0, 10), []string{"e01"})
	is.True(ok)
}

// An engine is silent for a moment. Others are used meanwhile, and it is used itself if all others are
// silent too. It is back at once, since the same process goes on.
func TestSilentEngineKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	phases := func(first, second beechrollout.Phase) {
		f.reportAll(func(i int, s *State) { s.Phase = []beechrollout.Phase{first, second}[i] })
	}
	call := newCall("s", 0, 10)
	phases(beechrollout.Silent, beechrollout.Serving)
	is.Equal(f.choose(t, call).Server.ID, "e01")
	_, ok := f.Choose(call, []string{"e01"})
	is.True(!ok)
	phases(beechrollout.Silent, beechrollout.Silent)
	choice, ok := f.Choose(call, []string{"e01"})
	is.True(ok)
	is.Equal(choice.Server.ID, "e00")
	is.True(f.StillUsable(call, choice))
	is.True(f.Capacity(call.Service) > 0)
	phases(beechrollout.Silent, beechrollout.Down)
	is.Equal(f.choose(t, call).Server.ID, "e00")
	phases(beechrollout.Serving, beechrollout.Down)
	_, ok = f.Choose(call, []string{"e01"})
	is.True(ok)
}

// An unreachable server is excluded for a time that doubles with each failure, and then tried
// again.
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
	f.StartAttempt(call, c).Done(Failed) // a single incomplete response does not indicate a dead server
	_, ok = f.Choose(call, []string{"p01"})
	is.True(ok)
}

// Attempts that end together because their server was silent for a moment must not exclude it for longer than one.
func TestSilenceUnderManyAttemptsExcludesAServerOnce(t *testing.T) {
	for _, outcome := range []Outcome{Unreachable, Failed} {
		is := is.New(t)
		f := newFleet(2)
		call := &beechcall.Call{Service: "app", Route: route}
		c, ok := f.Choose(call, []string{"p01"})
		is.True(ok)
		var underway []*Attempt
		for range 20 {
			underway = append(underway, f.StartAttempt(call, c))
		}
		f.clock.Advance(300 * time.Millisecond)
		for _, a := range underway {
			a.Done(outcome)
		}
		_, ok = f.Choose(call, []string{"p01"})
		is.True(!ok)
		f.clock.Advance(2 * Defaults.DownTime)
		_, ok = f.Choose(call, []string{"p01"})
		is.True(ok)
	}
}

// A server ejected by the health check is used only if no other is left.
func TestEjectedServerIsLastResort(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.healthWeights[address(1000)] = 0
	call := &beechcall.Call{Service: "app", Route: route}
	is.Equal(f.choose(t, call).Server.ID, "p01")
	is.Equal(f.choose(t, call, "p01").Server.ID, "p00")
}

// After a crash, the server list contains both lifetimes at one address for some seconds.
func TestTwoLifetimesAtOneAddress(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	old := f.servers[0]
	successor := old
	successor.ID, successor.ListedAt = "e00-reborn", 9
	f.SetServers([]beechcall.Server{old, successor})
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, "e00-reborn")
	f.ObserveRejection("e00-reborn", beechcall.NotExecuted{Replaced: true}, "m")
	_, ok := f.Choose(newCall("s", 0, 10), nil)
	is.True(!ok)
}

// A gate restarts while an engine has had outdated weights for long. To the gate all versions
// appear new; without the keeper's report, outdated weights would be used for up to twice the
// operators' bound.
func TestRestartedGateUsesKeeperAgeOfWeights(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.SetLatestVersion("m", 2)
	f.reportAll(func(i int, s *State) {
		if i == 0 {
			s.Old = Defaults.OutdatedSoftLimit - time.Second
		}
	})
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, "e01") // the other engine has not been outdated for long
	f.clock.Advance(1100 * time.Millisecond)
	_, ok := f.Choose(newCall("s", 0, 10), []string{"e01"})
	is.True(!ok)
}

// A third party registers an entry with the address of a working server. Taken for a later
// lifetime, it would hide the server permanently.
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

// Guards against another program's entry, of a service that is not configured, that hides the server at its address.
func TestEntryOfAnUnknownServiceHidesNoServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	own := f.servers[0]
	foreign := own
	foreign.ID, foreign.ListedAt, foreign.Service = "somebody", 9, "unknown"
	for _, list := range [][]beechcall.Server{{own, foreign}, {foreign, own}} {
		f.SetServers(list)
		is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, own.ID)
		is.Equal(f.UpdateState(State{Address: own.Address, Weights: map[string]uint64{"m": 1}}), own.ID)
	}

	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{"llm": {Name: "llm"}, "unknown": {Name: "unknown"}}})
	_, ok := f.Choose(newCall("s", 0, 10), nil)
	is.True(!ok) // the address is used again by a server of the new service
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{"llm": {Name: "llm"}}})
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, own.ID)
}

func TestLeavingServerIsNotChosen(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.servers[0].Leaving = true
	f.SetServers(f.servers)
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, "e01")
}

// The list of servers changes while calls are sent. Under the race detector, an attempt must not
// read what the new list replaces.
func TestListChangesWhileCallsAreSent(t *testing.T) {
	f := newFleet(2)
	call := &beechcall.Call{Service: "app", Route: route}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			f.SetServers(f.servers)
		}
	}()
	for range 200 {
		attempt := f.StartAttempt(call, f.choose(t, call))
		attempt.AcquireLimit()
		attempt.ObserveLimit(beechthrottle.NoLimit{})
		attempt.ObserveBackoff(0)
		attempt.ObserveLoad(beechcall.Load{Known: true, Slots: 4})
		attempt.FirstByte()
		attempt.Done(Answered)
	}
	<-done
}

// The keepers of all engines are silent for two seconds while the engines go on. What they reported last
// still holds.
func TestSilentKeepersChangeNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(func(i int, s *State) {
		if i == 1 {
			s.Phase = beechrollout.Down
		}
	})
	for _, s := range f.servers {
		f.LoseState(s.Address)
	}
	f.clock.Advance(2 * time.Second)
	is.Equal(f.choose(t, newCall("s", 0, 10)).Server.ID, "e00")
	_, ok := f.Choose(newCall("s", 0, 10), []string{"e00"})
	is.True(!ok)
}

// TestServerThatIsListedAgain guards against a panic when the answer of a server arrives that was not
// listed at the moment in which its attempt began, and is again.
func TestServerThatIsListedAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := &beechcall.Call{ID: "c", Service: "llm", Model: "m", Route: &beechcall.Route{Stream: true, MaxPause: time.Second}, PromptTokens: 100}
	choice, ok := f.Choose(call, nil)
	is.True(ok)
	f.SetServers(nil)
	attempt := f.StartAttempt(call, choice)
	f.SetServers(f.servers)
	is.True(f.StillUsable(call, choice)) // so that it is sent
	attempt.ObserveLoad(beechcall.Load{Known: true, Running: 1, Slots: 48, Slowness: 100})
	attempt.FirstByte()
	is.Equal(attempt.ObserveEvents(0), uint64(0))
	attempt.PauseSince(f.clock.Now(), 0)
	attempt.Done(Answered)
}
