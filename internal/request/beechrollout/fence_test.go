package beechrollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// After a restore of the store, gates that have started since know a higher fencing number for the
// same version than the others. The engine must not get the lower one after the higher one.
func TestFenceOfAVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	u := NewUpdater(Settings{})
	u.SetLegacyGates(true) // their numbers count only if the store's cannot be had
	now := time.Now()
	fence := func(target Target) uint64 {
		u.SetTarget(target, now)
		number, hold := u.fence.current(now)
		is.Equal(hold, NotHeld)
		u.fence.use(number)
		return number
	}
	is.Equal(fence(Target{Model: "m", Version: 2, Fence: 30}), uint64(30))
	is.Equal(fence(Target{Model: "m", Version: 2, Fence: 130}), uint64(130))
	is.Equal(fence(Target{Model: "m", Version: 2, Fence: 30}), uint64(130))
	is.Equal(fence(Target{Model: "m", Version: 3, Fence: 140}), uint64(140))
	is.Equal(fence(Target{Model: "other", Version: 2, Fence: 135}), uint64(140))
}

// Guards against orders without a number from the store, and an engine that is out of service while it waits for one.
func TestUpdateWaitsForFence(t *testing.T) {
	is := is.New(t)
	u := &updaterAt{Updater: NewUpdater(Settings{}), now: time.Unix(1000, 0)}
	u.SetTarget(Target{Model: "m", Version: 2, Fence: 9, Granted: true}, u.now)
	for range 100 {
		is.Equal(phaseOf(u.after(100*time.Millisecond).next(at(1))), Serving)
	}
	is.Equal(u.Held(), HeldWithoutFence)
	is.True(u.UnansweredOrders() >= maxUnansweredOrders) // gates pass it over
	u.SetFence(40)
	is.Equal(phaseOf(u.next(at(1))), Leaving)
	is.Equal(u.Held(), NotHeld)
	is.Equal(u.UnansweredOrders(), 0)
	order, ok := u.after(Defaults.DrainTime).next(at(1)).(Order)
	is.True(ok)
	is.Equal(order.Fence, uint64(40))
}

// Guards against an order that is repeated under a number which the engine has refused as too low.
func TestRefusedFenceIsNotRepeated(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
	order := func() bool {
		for range 20 {
			if _, ok := u.after(50 * time.Millisecond).next(at(1)).(Order); ok {
				return true
			}
		}
		return false
	}
	is.True(order())
	is.True(!u.NeedsFence())
	u.RecordAnswer(Fenced)
	is.True(u.NeedsFence())
	is.True(!order())
	is.Equal(u.Held(), HeldByFence)
	is.Equal(phaseOf(u.next(at(1))), Serving)
	u.SetFence(2)
	is.True(!u.NeedsFence())
	is.True(order())
	u.RecordAnswer(Fenced)
	u.SetFence(2) // the store has none higher
	is.True(!order())
	u.after(fenceRetryInterval)
	is.True(order())
	u.RecordAnswer(Fenced)
	restarted := at(1)
	restarted.Born = 5
	u.lastReport.Born = 4
	is.Equal(phaseOf(u.next(restarted)), Leaving) // it has forgotten the numbers that it had seen
}

// Guards against a model that waits for another one whose version the engine does not know.
func TestRejectedVersionIsNotRepeated(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	report := Report{Known: true, Versions: map[string]uint64{"m": 1, "other": 1}}
	next := func() (Order, bool) {
		for range 20 {
			if o, ok := u.after(50 * time.Millisecond).next(report).(Order); ok {
				return o, true
			}
		}
		return Order{}, false
	}
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
	_, ok := next()
	is.True(ok)
	u.RecordAnswer(Rejected)
	_, ok = next()
	is.True(!ok)
	is.Equal(u.Held(), HeldByRejection)
	u.SetTarget(Target{Model: "other", Version: 2, Granted: true}, u.now)
	o, ok := next()
	is.True(ok)
	is.Equal(o.Target.Model, "other")
	u.RecordAnswer(Taken)
	report.Versions["other"] = 2
	u.SetTarget(Target{Model: "m", Version: 3, Granted: true}, u.now)
	o, ok = next()
	is.True(ok) // it may know the next one
	is.Equal(o.Target.Version, uint64(3))
	u.RecordAnswer(Rejected)
	_, ok = next()
	is.True(!ok)
	u.SetTarget(Target{Model: "m", Version: 3, Fence: 50, Granted: true}, u.now) // announced again
	_, ok = next()
	is.True(ok)
	u.RecordAnswer(Rejected)
	u.after(rejectionRetryInterval)
	_, ok = next()
	is.True(ok)
}

// Guards against a choice among models that depends on the order of a map.
func TestSameInputsGiveTheSameOrder(t *testing.T) {
	is := is.New(t)
	report := Report{Known: true, Versions: map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1}}
	for range 50 {
		u := newUpdaterAt()
		u.SetTarget(Target{Model: "c", Version: 2}, u.now)
		u.after(time.Second)
		for _, model := range []string{"d", "b", "a"} {
			u.SetTarget(Target{Model: model, Version: 2}, u.now)
		}
		order := func() string {
			u.next(report)
			o, ok := u.after(Defaults.DrainTime).next(report).(Order)
			is.True(ok)
			u.RecordAnswer(Taken)
			report := report
			report.Versions = map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1}
			u.endUpdate()
			delete(u.targets, o.Target.Model)
			return o.Target.Model
		}
		u.SetTarget(Target{Model: "b", Version: 2, Granted: true}, u.now)
		is.Equal(order(), "b") // granted
		for _, model := range []string{"a", "c", "d"} {
			u.SetTarget(Target{Model: model, Version: 2, Granted: true}, u.now)
		}
		is.Equal(order(), "c") // superseded for longest
		is.Equal(order(), "a")
		is.Equal(order(), "d")
	}
}

// Guards against a model that waits for another one whose orders get no answer.
func TestUnansweredOrderDelaysNoOtherModel(t *testing.T) {
	is := is.New(t)
	u := newUpdaterAt()
	report := Report{Known: true, Versions: map[string]uint64{"m": 1, "other": 1}}
	u.SetTarget(Target{Model: "m", Version: 2, Granted: true}, u.now)
	u.after(time.Second)
	u.SetTarget(Target{Model: "other", Version: 2, Granted: true}, u.now)
	var models []string
	for range 100 {
		if o, ok := u.after(50 * time.Millisecond).next(report).(Order); ok {
			models = append(models, o.Target.Model)
			u.RecordAnswer(Unanswered)
		}
	}
	is.Equal(models[:4], []string{"m", "other", "m", "other"})
}

// fenceWorld is a store, gates that know more or less of it, a keeper and its engine.
type fenceWorld struct {
	*rapid.T
	now       time.Time
	era       uint64
	revision  uint64
	announced map[string]Target // by model, as in the store
	gates     []*fenceGate
	updater   *Updater
	report    Report
	ordered   *Order // not answered yet
	highest   uint64 // of the orders in this lifetime of the engine
	orders    int
}

// fenceGate is what a gate knows of the store.
type fenceGate struct {
	announced map[string]Target
	cut       bool // it cannot read the store
}

func (w *fenceWorld) orderedRevision() uint64 { return w.era<<40 | w.revision }

func (w *fenceWorld) gate() *fenceGate {
	return w.gates[rapid.IntRange(0, len(w.gates)-1).Draw(w.T, "gate")]
}

func (w *fenceWorld) model() string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.T, "model")
}

// announce has operators announce a newer version of a model.
func (w *fenceWorld) announce(*rapid.T) {
	model := w.model()
	w.revision++
	w.announced[model] = Target{Model: model, Version: w.announced[model].Version + 1, Fence: w.orderedRevision()}
}

// restore brings the store back from a copy that lacks the latest writes.
func (w *fenceWorld) restore(*rapid.T) {
	w.era++
	w.revision = rapid.Uint64Range(1, w.revision).Draw(w.T, "revision")
	for model, target := range w.announced {
		target.Fence = w.orderedRevision()
		if rapid.Bool().Draw(w.T, "lost") {
			target.Version = max(target.Version, 1) - 1
		}
		w.announced[model] = target
	}
}

// read has a gate that reaches the store learn of what is announced.
func (w *fenceWorld) read(*rapid.T) {
	if g := w.gate(); !g.cut {
		for model, target := range w.announced {
			if target.Version >= g.announced[model].Version {
				g.announced[model] = target
			}
		}
	}
}

func (w *fenceWorld) cut(*rapid.T) { g := w.gate(); g.cut = !g.cut }

func (w *fenceWorld) restartGate(*rapid.T) { *w.gate() = fenceGate{announced: map[string]Target{}} }

// tell has a gate send its targets, all or some.
func (w *fenceWorld) tell(*rapid.T) {
	for _, target := range w.gate().announced {
		if target.Version > 0 && rapid.IntRange(0, 3).Draw(w.T, "omitted") > 0 {
			target.Granted = rapid.Bool().Draw(w.T, "granted")
			w.updater.SetTarget(target, w.now)
		}
	}
}

// acquire has a gate answer the keeper's request for a fencing number.
func (w *fenceWorld) acquire(*rapid.T) {
	if g := w.gate(); !g.cut && w.updater.NeedsFence() {
		w.updater.SetFence(w.orderedRevision())
	}
}

// poll is some rounds of the keeper, until an order is sent.
func (w *fenceWorld) poll(*rapid.T) {
	for range 4 {
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(w.T, "ms")) * time.Millisecond)
		if w.ordered != nil {
			return
		}
		if o, ok := w.updater.Next(w.now, w.report).(Order); ok {
			if o.Fence < w.highest {
				w.Fatalf("order for %s under %d after %d", o.Target.Model, o.Fence, w.highest)
			}
			w.highest, w.ordered = o.Fence, &o
			w.orders++
		}
	}
}

// answer has the engine respond to the order under way, or not.
func (w *fenceWorld) answer(*rapid.T) {
	if w.ordered == nil {
		return
	}
	answer := rapid.SampledFrom([]Answer{Taken, Conflict, Unanswered, Fenced, Rejected}).Draw(w.T, "answer")
	if answer == Taken {
		w.report.Versions[w.ordered.Target.Model] = w.ordered.Target.Version
		w.report.Sequence++
	}
	w.updater.RecordAnswer(answer)
	w.ordered = nil
}

func (w *fenceWorld) restartKeeper(*rapid.T) { w.updater, w.ordered = NewUpdater(Settings{}), nil }

func (w *fenceWorld) restartEngine(*rapid.T) {
	w.report.Born++
	w.report.Sequence, w.highest, w.ordered = 0, 0, nil
}

// Guards against orders under lower numbers, with gates that know unequally much, restarts of all processes and restores of the store.
func TestFenceNeverDecreases(t *testing.T) {
	orders := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &fenceWorld{
			T: t, now: time.Unix(1000, 0), revision: 1, announced: map[string]Target{}, updater: NewUpdater(Settings{}),
			report: Report{Known: true, Born: 1, Versions: map[string]uint64{"a": 0, "b": 0, "c": 0}},
		}
		for range 2 {
			w.gates = append(w.gates, &fenceGate{announced: map[string]Target{}})
		}
		actions := []func(*rapid.T){
			w.announce, w.announce, w.read, w.read, w.read, w.tell, w.tell, w.tell, w.acquire, w.acquire, w.poll, w.poll, w.poll, w.poll, w.answer, w.answer, w.answer,
			w.cut, w.restore, w.restartGate, w.restartKeeper, w.restartEngine,
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
		}
		orders += w.orders
	})
	if orders == 0 {
		t.Error("no order was sent")
	}
}
