package beechrollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// updaterAt is an updater with its current time.
type updaterAt struct {
	*Updater
	now time.Time
}

func (u *updaterAt) after(d time.Duration) *updaterAt {
	u.now = u.now.Add(d)
	return u
}

func (u *updaterAt) next(r Report) Step { return u.Next(u.now, r) }

// newFencedUpdater returns an updater that has a fencing number from the store.
func newFencedUpdater() *Updater {
	u := NewUpdater(Settings{})
	u.SetFence(1)
	return u
}

func newUpdaterAt() *updaterAt {
	return &updaterAt{Updater: newFencedUpdater(), now: time.Unix(1000, 0)}
}

func at(version uint64) Report {
	return Report{Known: true, Versions: map[string]uint64{"m": version}, Running: 2}
}

func phaseOf(s Step) Phase {
	if w, ok := s.(Wait); ok {
		return w.Phase
	}
	return -1
}

// An engine drains before its update, gets its order, and serves again when it reports the
// new version.
func TestUpdate(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	is.Equal(phaseOf(u.next(at(1))), Serving)
	u.SetTarget(Target{Model: "m", Version: 2, Fence: 9}, u.now)
	is.Equal(phaseOf(u.after(time.Second).next(at(1))), Serving)
	u.SetTarget(Target{Model: "m", Version: 2, Fence: 9, Granted: true}, u.now)
	is.Equal(phaseOf(u.next(at(1))), Leaving)
	order, ok := u.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	is.Equal(order.Target.Version, uint64(2))
	u.RecordAnswer(Taken)
	busy := at(1)
	busy.Busy = true
	is.Equal(phaseOf(u.after(100*time.Millisecond).next(busy)), Loading)
	is.Equal(phaseOf(u.after(600*time.Millisecond).next(at(2))), Serving)
}

// An engine without requests need not drain for the full time.
func TestIdleEngineIsOrderedAtOnce(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
	idle := at(1)
	idle.Running = 0
	is.Equal(phaseOf(u.next(idle)), Leaving)
	_, ok := u.after(inFlightDelay).next(idle).(Order)
	is.True(ok)
}

// Several versions are announced before the engine may update. Only the newest is loaded.
func TestSupersededVersionIsSkipped(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "m", Version: 2}, u.now)
	u.SetTarget(Target{Model: "m", Version: 3}, u.now)
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now) // a late datagram
	is.Equal(phaseOf(u.after(time.Second).next(at(1))), Serving)
	u.SetTarget(Target{Model: "m", Version: 3, Granted: true}, u.now)
	is.Equal(phaseOf(u.next(at(1))), Leaving)
	order, ok := u.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	is.Equal(order.Target.Version, uint64(3))
}

// Orders get no answer, and may be carried out seconds later or never. If engines got no
// requests in that time, a whole fleet would stand idle.
func TestUnansweredOrder(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
	u.next(at(1))
	_, ok := u.after(time.Second).next(at(1)).(Order)
	is.True(ok)
	u.RecordAnswer(Unanswered)
	is.Equal(phaseOf(u.after(100*time.Millisecond).next(at(1))), Serving)
	again, ok := u.after(orderRetryInterval).next(at(1)).(Order)
	is.True(ok) // on the same condition: if the first is carried out, this one is not
	is.Equal(again.Sequence, uint64(0))
	u.RecordAnswer(Unanswered)
	busy := at(1)
	busy.Busy, busy.Sequence = true, 1
	is.Equal(phaseOf(u.after(10*time.Millisecond).next(busy)), Loading)
	is.Equal(phaseOf(u.after(time.Second).next(at(2))), Serving)
}

// The sequence number changed before the order arrived, by an earlier order that came late.
func TestConflictIsRetriedWithNewSequence(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
	u.next(at(1))
	_, ok := u.after(time.Second).next(at(1)).(Order)
	is.True(ok)
	u.RecordAnswer(Conflict)
	changed := at(1)
	changed.Sequence = 4
	order, ok := u.after(10 * time.Millisecond).next(changed).(Order)
	is.True(ok)
	is.Equal(order.Sequence, uint64(4))
}

// The engine has crashed: the keeper on its own host notices first.
func TestEngineThatDoesNotAnswerIsDown(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	is.Equal(phaseOf(u.next(Report{})), Serving) // one report may be lost
	is.Equal(phaseOf(u.next(Report{})), Down)
	is.Equal(phaseOf(u.next(at(1))), Serving)
}

func TestTargetOfOtherModelIsIgnored(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "other", Version: 2, Granted: true}, u.now)
	is.Equal(phaseOf(u.after(time.Minute).next(at(1))), Serving)
}

// A newer version is announced while the engine loads. If the engine loaded it at once, it
// would be out of service twice in a row, before other engines with older weights.
func TestVersionAnnouncedDuringLoadIsScheduledSeparately(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
	u.next(at(1))
	_, ok := u.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	u.RecordAnswer(Taken)
	u.SetTarget(Target{Model: "m", Version: 3}, u.now)
	busy := at(1)
	busy.Busy = true
	is.Equal(phaseOf(u.after(time.Second).next(busy)), Loading)
	is.Equal(phaseOf(u.after(time.Second).next(at(2))), Serving)
	u.SetTarget(Target{Model: "m", Version: 3, Granted: true}, u.now)
	is.Equal(phaseOf(u.next(at(2))), Leaving)
}

// A newer version is announced while the engine drains for an older one. The order names
// the newer: loading the older would be wasted.
func TestVersionAnnouncedBeforeOrderIsOrdered(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
	is.Equal(phaseOf(u.next(at(1))), Leaving)
	u.SetTarget(Target{Model: "m", Version: 3}, u.now)
	order, ok := u.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	is.Equal(order.Target.Version, uint64(3))
}

// A host is cut off from all gates but not from its callers. With no gate to grant the
// update, its engine would serve old weights beyond the operators' bound.
func TestUpdateWithoutGatesAfterFallbackDelay(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "m", Version: 2, FallbackAt: u.now.Add(4 * time.Second)}, u.now)
	is.Equal(phaseOf(u.after(3900*time.Millisecond).next(at(1))), Serving)
	is.Equal(phaseOf(u.after(200*time.Millisecond).next(at(1))), Leaving)
}

// While gates are heard they alone grant updates, even past the fallback delay: otherwise
// many engines would update at once.
func TestNoFallbackWhileGatesAreHeard(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	fallbackAt := u.now.Add(4 * time.Second)
	for range 10 {
		u.after(time.Second)
		u.SetTarget(Target{Model: "m", Version: 2, FallbackAt: fallbackAt}, u.now)
		is.Equal(phaseOf(u.next(at(1))), Serving)
	}
}

// An engine restarts under the same ID while it loads, before anyone saw it down. The restart
// cancels the order; the engine must not be kept out of service for it.
func TestEngineRestartDuringLoad(t *testing.T) {
	is := is.New(t)
	for _, restarted := range []Report{{Born: 200, Sequence: 3}, {Born: 100, Sequence: 0}} {
		u := newUpdaterAt()
		before := at(1)
		before.Born, before.Sequence = 100, 2
		u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
		u.next(before)
		_, ok := u.after(Defaults.DrainTime).next(before).(Order)
		is.True(ok)
		u.RecordAnswer(Taken)
		before.Busy, before.Sequence = true, 3
		is.Equal(phaseOf(u.after(100*time.Millisecond).next(before)), Loading)
		after := at(1)
		after.Born, after.Sequence = restarted.Born, restarted.Sequence
		is.Equal(phaseOf(u.after(100*time.Millisecond).next(after)), Leaving) // the update is still granted
		after.Running = 0
		again, ok := u.after(inFlightDelay).next(after).(Order)
		is.True(ok)
		is.Equal(again.Sequence, restarted.Sequence)
	}
}

// While versions follow one another, the time since an engine's weights were superseded
// counts from the first newer version.
func TestSupersededForCountsFromFirstNewerVersion(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.next(at(1))
	is.Equal(u.SupersededFor(u.now), time.Duration(0))
	u.SetTarget(Target{Model: "m", Version: 2}, u.now)
	u.after(3 * time.Second)
	u.SetTarget(Target{Model: "m", Version: 3}, u.now)
	u.after(time.Second)
	is.Equal(u.SupersededFor(u.now), 4*time.Second)
	u.next(at(2))
	is.Equal(u.SupersededFor(u.now), time.Second)
	u.next(at(3))
	is.Equal(u.SupersededFor(u.now), time.Duration(0))
}

// An engine is silent for a moment, and later refuses its keeper's connections.
func TestSilentEngineIsNotDown(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	silent := Report{Silent: true}
	is.Equal(phaseOf(u.next(at(1))), Serving)
	is.Equal(phaseOf(u.after(400*time.Millisecond).next(silent)), Serving) // one report may be lost
	for range 5 {
		is.Equal(phaseOf(u.after(400*time.Millisecond).next(silent)), Silent)
	}
	is.Equal(phaseOf(u.after(time.Second).next(at(1))), Serving)
	is.Equal(phaseOf(u.next(Report{})), Serving)
	is.Equal(phaseOf(u.next(Report{})), Down)
	is.Equal(phaseOf(u.next(at(1))), Serving)

	busy := at(1)
	busy.Busy = true
	is.Equal(phaseOf(u.next(busy)), Loading)
	for range 3 {
		is.Equal(phaseOf(u.next(silent)), Loading) // it takes no requests, silent or not
	}
}
