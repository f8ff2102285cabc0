package beechplace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/request/beechcall"
)

const (
	urgent = 0 // workspace priority 0, route priority 0
	late   = 5 // workspace priority 1, route priority 2
)

// urgencyCall is a call of an urgency with a prompt of its own.
func urgencyCall(id string, urgency, tokens int) *beechcall.Call {
	call := newCall(id, 0, tokens)
	call.Workspace.Priority = urgency / 3
	call.Route = &beechcall.Route{Name: "tag", Priority: urgency % 3, Objective: 500 * time.Millisecond}
	return call
}

// strain reports what an engine works on.
func (f *fleet) strain(engine int, number uint32, ranks ...beechstrain.RankLoad) {
	f.UpdateStrain(beechstrain.Strain{Host: address(engine).Addr(), Number: number, Ranks: ranks})
}

func (f *fleet) engine(i int) *server { return f.byAddress[address(i)] }

func (f *fleet) expected(t *testing.T, call *beechcall.Call, engine int) float64 {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	c, ok := f.estimate(call, f.engine(engine), f.sharedParts(call, now), now)
	if !ok {
		t.Fatal("no estimate")
	}
	return c.Expected
}

// An engine has its slots full and a long queue, all of it less urgent than the call. The call
// goes first; it was believed late, and refused.
func TestUrgentCallIsExpectedBeforeLessUrgentOnes(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(func(_ int, s *State) { s.Running, s.Waiting, s.CacheUsed, s.Reading = 48, 40, 60_000, 40_000 })
	call := urgencyCall("x", urgent, 2000)
	f.runTime = 2000
	before := f.expected(t, call, 0)
	f.strain(0, 1, beechstrain.RankLoad{Urgency: late, Running: 48, CacheUsed: 60_000, Waiting: 40, Reading: 40_000})
	is.True(f.expected(t, call, 0) < before/2)
	is.True(f.expected(t, call, 0) < 100)
	is.True(f.expected(t, urgencyCall("y", late, 2000), 0) > before)
}

// More urgent requests have all slots and wait besides. A less urgent call waits for slots that
// they leave, however few tokens there are to prefill.
func TestLessUrgentCallWaitsForSlots(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(func(_ int, s *State) { s.Running, s.Waiting, s.CacheUsed = 48, 12, 40_000 })
	f.runTime = 2000
	f.strain(0, 1, beechstrain.RankLoad{Urgency: urgent, Running: 24, CacheUsed: 20_000, Waiting: 6}, beechstrain.RankLoad{Urgency: late, Running: 24, CacheUsed: 20_000, Waiting: 6})
	is.True(f.expected(t, urgencyCall("x", urgent, 500), 0) < 100)
	lateness := f.expected(t, urgencyCall("y", late, 500), 0)
	is.True(lateness > 13*2000/24 && lateness < 13*2000/24+100) // 12 wait, 24 slots are left to its urgency
}

// What is being prefilled goes on, even if the call is more urgent.
func TestPromptUnderWayIsWaitedFor(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(func(_ int, s *State) { s.Running = 3 })
	f.strain(0, 1)
	idle := f.expected(t, urgencyCall("x", urgent, 500), 0)
	f.UpdateStrain(beechstrain.Strain{Host: address(0).Addr(), Number: 2, Reading: 8000})
	is.True(f.expected(t, urgencyCall("x", urgent, 500), 0) > idle+100)
}

// The memory of all engines is in use. An urgent call goes where the least is preempted for it.
func TestEngineIsChosenWhereLeastIsPreempted(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.reportAll(func(i int, s *State) {
		s.Running, s.CacheUsed = 20, 99_000
		if i == 2 {
			s.CacheUsed = 85_000 // room for the call
		}
	})
	f.strain(0, 1, beechstrain.RankLoad{Urgency: late, Running: 20, CacheUsed: 99_000})
	f.strain(1, 1, beechstrain.RankLoad{Urgency: urgent, Running: 19, CacheUsed: 30_000}, beechstrain.RankLoad{Urgency: late, Running: 1, CacheUsed: 60_000})
	f.strain(2, 1, beechstrain.RankLoad{Urgency: late, Running: 20, CacheUsed: 85_000})
	costs := make([]float64, 3)
	f.mu.Lock()
	for i := range costs {
		costs[i] = f.workAhead(urgencyCall("x", urgent, 4000), f.engine(i), 0, f.clock.Now()).preemptionCost
	}
	f.mu.Unlock()
	is.Equal(costs[2], 0.)
	is.True(costs[0] > 0)
	is.True(costs[1] > 0)
	// A part of the one large run: less likely to hit it, but all of it would be read again.
	is.True(costs[0] != costs[1])
	is.Equal(f.choose(t, urgencyCall("x", urgent, 4000)).Server.Address, address(2))
}

// The newest of the least urgent runs is preempted first when memory runs out: a less urgent call
// avoids an engine whose memory is nearly full of more urgent runs.
func TestLessUrgentCallAvoidsFullMemory(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(func(i int, s *State) {
		s.Running, s.CacheUsed = 10, 97_000
		if i == 1 {
			s.Running, s.CacheUsed = 30, 50_000
		}
	})
	f.strain(0, 1, beechstrain.RankLoad{Urgency: urgent, Running: 10, CacheUsed: 97_000})
	f.strain(1, 1, beechstrain.RankLoad{Urgency: urgent, Running: 30, CacheUsed: 50_000})
	is.Equal(f.choose(t, urgencyCall("x", late, 600)).Server.Address, address(1))
}

// Without strains, with one that is too old, and with one of another host, decisions are as
// before.
func TestDecisionsWithoutStrainsAreAsBefore(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	never, stale := newFleet(6), newFleet(6)
	for i := range 6 {
		stale.strain(i, 9, beechstrain.RankLoad{Urgency: late, Running: 40, CacheUsed: 60_000, Waiting: 30, Reading: 30_000})
	}
	stale.clock.Advance(reportTTL)
	never.clock.Advance(reportTTL)
	for round := range 300 {
		seed := random.Uint64()
		for _, f := range []*fleet{never, stale} {
			r := rand.New(rand.NewPCG(seed, 1))
			f.reportAll(func(_ int, s *State) {
				s.Number, s.Running, s.Waiting, s.CacheUsed, s.Reading = uint32(round), r.IntN(49), r.IntN(30), r.IntN(100_001), r.IntN(30_000)
			})
		}
		call := urgencyCall("x", random.IntN(10), 200+random.IntN(9000))
		x, y := never.choose(t, call), stale.choose(t, call)
		is.Equal(x, y)
		s := never.engine(0)
		w := never.workAhead(call, s, 0, never.clock.Now())
		shortfall := never.memoryShortfall(s, call.PromptTokens, never.clock.Now())
		is.Equal(w.queueTime(40), never.queuedTokens(s, never.clock.Now())/40+never.memoryWait(shortfall, s))
		is.Equal(w.delayCost(40, 7), 7.)
		is.Equal(w.preemptionCost, never.preemptionCost(shortfall))
		is.Equal(w.utilizationCost, never.utilizationCost(s, never.clock.Now()))
		is.True(!w.heldUp(40))
		if round%3 == 0 {
			never.StartAttempt(call, x)
			stale.StartAttempt(call, y)
		}
	}
}

// Strains arrive late, doubled, in the wrong order, from a keeper that was started anew, and not
// at all any more.
func TestOnlyNewerStrainsAreTaken(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(nil)
	waiting := func() int {
		strain, known := f.engine(0).knownStrain(f.clock.Now())
		if !known {
			return -1
		}
		return strain.Ranks[0].Waiting
	}
	is.Equal(waiting(), -1)
	f.strain(0, 7, beechstrain.RankLoad{Urgency: late, Waiting: 7})
	f.strain(0, 6, beechstrain.RankLoad{Urgency: late, Waiting: 6})
	is.Equal(waiting(), 7)
	f.clock.Advance(reportTTL - time.Millisecond)
	f.reportAll(nil)
	is.Equal(waiting(), 7)
	f.clock.Advance(time.Millisecond)
	f.reportAll(nil)
	is.Equal(waiting(), -1)
	f.strain(0, 2, beechstrain.RankLoad{Urgency: late, Waiting: 2}) // its clock was set back
	is.Equal(waiting(), 2)
	f.UpdateState(State{Number: 10, Address: address(0), Born: 100})
	f.UpdateState(State{Number: 11, Address: address(0), Born: 200}) // the engine restarted
	is.Equal(waiting(), -1)
}

// The state of an engine is no longer confirmed: what it runs by urgency is not believed either.
func TestStrainIsNotBelievedWithoutState(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.strain(0, 1, beechstrain.RankLoad{Urgency: late, Running: 9})
	_, known := f.engine(0).knownStrain(f.clock.Now())
	is.True(!known)
}

// Requests that may have to wait are announced with their urgency, and only to keepers that use
// it; others cost bytes for nothing.
func TestUrgencyIsAnnounced(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	var announced []int
	f.AnnounceUrgencies(func(_ beechcall.Server, urgency, tokens int) { announced = append(announced, urgency, tokens) })
	send := func(call *beechcall.Call) { f.StartAttempt(call, f.choose(t, call)) }
	f.reportAll(func(_ int, s *State) { s.Running, s.Waiting = 40, 5 })
	send(urgencyCall("a", late, 600))
	is.Equal(len(announced), 0)
	f.strain(0, 1)
	send(urgencyCall("b", late, 600))
	is.Equal(announced, []int{late, 600})
	f.reportAll(func(_ int, s *State) { s.Running = 4 })
	send(urgencyCall("c", late, 600))
	is.Equal(len(announced), 2)
	send(urgencyCall("d", urgent, 6000))
	is.Equal(announced, []int{late, 600, urgent, 6000})
}

// What this gate has sent since the last strain waits too, until the next one includes it.
func TestOwnRequestsSinceTheStrainCount(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(func(_ int, s *State) { s.Running = 48 })
	f.runTime = 1000
	f.strain(0, 1, beechstrain.RankLoad{Urgency: late, Running: 48, CacheUsed: 1})
	wait := func(urgency int) float64 {
		return f.workAhead(urgencyCall("x", urgency, 500), f.engine(0), 0, f.clock.Now()).slotWait
	}
	before := wait(late)
	for range 10 {
		call := urgencyCall("y", late, 500)
		f.StartAttempt(call, f.choose(t, call))
	}
	is.True(wait(late) > before+200)
	is.Equal(wait(urgent), 0.)
	f.strain(0, 2, beechstrain.RankLoad{Urgency: late, Running: 48, CacheUsed: 1})
	is.Equal(wait(late), before)
}

// A call that waited for a slot tells nothing of how fast its engine prefills.
func TestWaitForSlotIsNoSampleOfPace(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(func(_ int, s *State) { s.Running, s.CacheUsed = 48, 30_000 })
	f.runTime = 2000
	f.strain(0, 1, beechstrain.RankLoad{Urgency: late, Running: 48, CacheUsed: 30_000, Waiting: 20})
	call := urgencyCall("x", late, 3000)
	attempt := f.StartAttempt(call, f.choose(t, call))
	rate := f.prefill.rate
	f.clock.Advance(3 * time.Second)
	attempt.FirstByte()
	is.Equal(f.prefill.rate, rate)
	is.Equal(f.engine(0).pace, pace{})
	is.True(f.passing[late].factor() > 1) // it took longer than the backlog
	is.Equal(f.passing[urgent].factor(), 1.)
}

// Calls that a crashed engine took with it must not make waits at the others appear longer.
func TestCrashIsNoSampleOfWaits(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(func(_ int, s *State) { s.Running, s.CacheUsed = 48, 30_000 })
	f.runTime = 2000
	f.strain(0, 1, beechstrain.RankLoad{Urgency: late, Running: 48, CacheUsed: 30_000, Waiting: 20})
	call := urgencyCall("x", late, 3000)
	for _, outcome := range []Outcome{Failed, Cancelled} {
		attempt := f.StartAttempt(call, f.choose(t, call))
		f.clock.Advance(2500 * time.Millisecond)
		attempt.Done(outcome)
		is.Equal(f.passing[late].factor() > 1, outcome == Cancelled)
	}
}

// The queue of an engine stays as long as it is for a second, so its keeper has nothing to tell.
func TestSteadyQueueIsStillBelieved(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(func(_ int, s *State) { s.Running, s.Waiting = 30, 20 })
	f.strain(0, 1, beechstrain.RankLoad{Urgency: late, Running: 30, CacheUsed: 1, Waiting: 20, Reading: 30_000})
	f.clock.Advance(900 * time.Millisecond)
	is.True(f.expected(t, urgencyCall("x", late, 500), 0) > 28_000/f.prefill.rate)
}
