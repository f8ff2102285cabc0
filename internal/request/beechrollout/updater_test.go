package beechrollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// clocked is a turn with its time.
type clocked struct {
	*Updater
	now time.Time
}

func (c *clocked) after(d time.Duration) *clocked {
	c.now = c.now.Add(d)
	return c
}

func (c *clocked) next(r Report) Step { return c.Next(c.now, r) }

func begin() *clocked { return &clocked{Updater: NewUpdater(Settings{}), now: time.Unix(1000, 0)} }

func at(version uint64) Report {
	return Report{Known: true, Versions: map[string]uint64{"m": version}, Running: 2}
}

func phaseOf(s Step) Phase {
	if w, ok := s.(Wait); ok {
		return w.Phase
	}
	return -1
}

// An engine leaves the choice before its turn, gets its order, and is back when
// it reports the new version.
func TestTurn(t *testing.T) {
	is := is.New(t)
	c := begin()
	is.Equal(phaseOf(c.next(at(1))), Serving)
	c.SetTarget(Target{Model: "m", Version: 2, Fence: 9}, c.now)
	is.Equal(phaseOf(c.after(time.Second).next(at(1))), Serving)
	c.SetTarget(Target{Model: "m", Version: 2, Fence: 9, Granted: true}, c.now)
	is.Equal(phaseOf(c.next(at(1))), Leaving)
	order, ok := c.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	is.Equal(order.Target.Version, uint64(2))
	c.RecordAnswer(Taken)
	busy := at(1)
	busy.Busy = true
	is.Equal(phaseOf(c.after(100*time.Millisecond).next(busy)), Loading)
	is.Equal(phaseOf(c.after(600*time.Millisecond).next(at(2))), Serving)
}

// Nothing runs on the engine any more, so nothing speaks for waiting.
func TestEmptyEngineIsOrderedAtOnce(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.SetTarget(Target{Model: "m", Version: 2, Granted: true}, c.now)
	idle := at(1)
	idle.Running = 0
	is.Equal(phaseOf(c.next(idle)), Leaving)
	_, ok := c.after(settleTime).next(idle).(Order)
	is.True(ok)
}

// Versions follow one another before the turn comes. Only the newest is loaded.
func TestOvertakenVersionIsSkipped(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.SetTarget(Target{Model: "m", Version: 2}, c.now)
	c.SetTarget(Target{Model: "m", Version: 3}, c.now)
	c.SetTarget(Target{Model: "m", Version: 2, Granted: true}, c.now) // a late datagram
	is.Equal(phaseOf(c.after(time.Second).next(at(1))), Serving)
	c.SetTarget(Target{Model: "m", Version: 3, Granted: true}, c.now)
	is.Equal(phaseOf(c.next(at(1))), Leaving)
	order, ok := c.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	is.Equal(order.Target.Version, uint64(3))
}

// Orders get no answer, and may be carried out seconds later or never. Held out
// of the choice for that time, a whole fleet would stand idle.
func TestUnansweredOrder(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.SetTarget(Target{Model: "m", Version: 2, Granted: true}, c.now)
	c.next(at(1))
	_, ok := c.after(time.Second).next(at(1)).(Order)
	is.True(ok)
	c.RecordAnswer(Silent)
	is.Equal(phaseOf(c.after(100*time.Millisecond).next(at(1))), Serving)
	again, ok := c.after(repeatAfter).next(at(1)).(Order)
	is.True(ok) // the same condition: if the first is carried out, this one is not
	is.Equal(again.Sequence, uint64(0))
	c.RecordAnswer(Silent)
	busy := at(1)
	busy.Busy, busy.Sequence = true, 1
	is.Equal(phaseOf(c.after(10*time.Millisecond).next(busy)), Loading)
	is.Equal(phaseOf(c.after(time.Second).next(at(2))), Serving)
}

// The sequence has changed under the order, by an order that came late.
func TestConflictLooksAgain(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.SetTarget(Target{Model: "m", Version: 2, Granted: true}, c.now)
	c.next(at(1))
	_, ok := c.after(time.Second).next(at(1)).(Order)
	is.True(ok)
	c.RecordAnswer(Conflict)
	changed := at(1)
	changed.Sequence = 4
	order, ok := c.after(10 * time.Millisecond).next(changed).(Order)
	is.True(ok)
	is.Equal(order.Sequence, uint64(4))
}

// The engine has crashed: its own host says so first.
func TestEngineThatDoesNotAnswerIsDown(t *testing.T) {
	is := is.New(t)
	c := begin()
	is.Equal(phaseOf(c.next(Report{})), Serving) // one report may be lost
	is.Equal(phaseOf(c.next(Report{})), Down)
	is.Equal(phaseOf(c.next(at(1))), Serving)
}

func TestModelThatTheEngineDoesNotServe(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.SetTarget(Target{Model: "other", Version: 2, Granted: true}, c.now)
	is.Equal(phaseOf(c.after(time.Minute).next(at(1))), Serving)
}

// A newer version is named while the engine loads. Loaded at once, the engine
// would be away twice in a row, before others that have older weights.
func TestVersionNamedDuringALoadHasATurnOfItsOwn(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.SetTarget(Target{Model: "m", Version: 2, Granted: true}, c.now)
	c.next(at(1))
	_, ok := c.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	c.RecordAnswer(Taken)
	c.SetTarget(Target{Model: "m", Version: 3}, c.now)
	busy := at(1)
	busy.Busy = true
	is.Equal(phaseOf(c.after(time.Second).next(busy)), Loading)
	is.Equal(phaseOf(c.after(time.Second).next(at(2))), Serving)
	c.SetTarget(Target{Model: "m", Version: 3, Granted: true}, c.now)
	is.Equal(phaseOf(c.next(at(2))), Leaving)
}

// A newer version is named while the engine is left alone for the older one. Its
// order names the newer: the older would be loaded for nothing.
func TestVersionNamedBeforeTheOrderIsOrdered(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.SetTarget(Target{Model: "m", Version: 2, Granted: true}, c.now)
	is.Equal(phaseOf(c.next(at(1))), Leaving)
	c.SetTarget(Target{Model: "m", Version: 3}, c.now)
	order, ok := c.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	is.Equal(order.Target.Version, uint64(3))
}

// The host of an engine is cut off from all gates, its callers are not. With
// nobody to grant its turn it would serve old weights beyond the operators'
// bound.
func TestKeeperThatHearsFromNoGateActsByItself(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.SetTarget(Target{Model: "m", Version: 2, FallbackAt: c.now.Add(4 * time.Second)}, c.now)
	is.Equal(phaseOf(c.after(3900*time.Millisecond).next(at(1))), Serving)
	is.Equal(phaseOf(c.after(200*time.Millisecond).next(at(1))), Leaving)
}

// While gates speak they decide, however late it is: many engines would act
// at once otherwise.
func TestKeeperThatHearsAGateWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	c := begin()
	alone := c.now.Add(4 * time.Second)
	for range 10 {
		c.after(time.Second)
		c.SetTarget(Target{Model: "m", Version: 2, FallbackAt: alone}, c.now)
		is.Equal(phaseOf(c.next(at(1))), Serving)
	}
}

// An engine starts again under its ID while it loads, before anybody saw it gone.
// The order is lost with the lifetime that it was for; the engine is not left
// out of the choice for it.
func TestEngineThatStartsAnewWhileItLoads(t *testing.T) {
	is := is.New(t)
	for _, anew := range []Report{{Born: 200, Sequence: 3}, {Born: 100, Sequence: 0}} {
		c := begin()
		before := at(1)
		before.Born, before.Sequence = 100, 2
		c.SetTarget(Target{Model: "m", Version: 2, Granted: true}, c.now)
		c.next(before)
		_, ok := c.after(Defaults.DrainTime).next(before).(Order)
		is.True(ok)
		c.RecordAnswer(Taken)
		before.Busy, before.Sequence = true, 3
		is.Equal(phaseOf(c.after(100*time.Millisecond).next(before)), Loading)
		after := at(1)
		after.Born, after.Sequence = anew.Born, anew.Sequence
		is.Equal(phaseOf(c.after(100*time.Millisecond).next(after)), Leaving) // its turn still stands
		after.Running = 0
		again, ok := c.after(settleTime).next(after).(Order)
		is.True(ok)
		is.Equal(again.Sequence, anew.Sequence)
	}
}

// Versions follow one another; how old an engine's weights are goes by the first
// that overtook them.
func TestOldGoesByTheFirstNewerVersion(t *testing.T) {
	is := is.New(t)
	c := begin()
	c.next(at(1))
	is.Equal(c.SupersededFor(c.now), time.Duration(0))
	c.SetTarget(Target{Model: "m", Version: 2}, c.now)
	c.after(3 * time.Second)
	c.SetTarget(Target{Model: "m", Version: 3}, c.now)
	c.after(time.Second)
	is.Equal(c.SupersededFor(c.now), 4*time.Second)
	c.next(at(2))
	is.Equal(c.SupersededFor(c.now), time.Second)
	c.next(at(3))
	is.Equal(c.SupersededFor(c.now), time.Duration(0))
}
