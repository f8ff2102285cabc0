package beechquota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testLimit = Limit{Rate: 1000, Burst: 1000}

// tightBounds allow little beyond a limit, so that levels are predictable.
var tightBounds = Bounds{Window: 8 * time.Second, Overage: 0.1}

func newGates(n int, b Bounds, clock clockwork.Clock) []*Limiter {
	var all []*Limiter
	for i := range n {
		l := New(fmt.Sprintf("gate-%d", i), uint64(i+1), b, clock)
		l.SetGates(n)
		l.SetLimits(map[string]Limit{"w": testLimit}, nil)
		all = append(all, l)
	}
	return all
}

// exchangeUpdates sends an update of each gate to all others.
func exchangeUpdates(all []*Limiter) {
	for _, from := range all {
		w := from.NextUpdate()
		for _, to := range all {
			if to != from {
				to.ApplyUpdate(w)
			}
		}
	}
}

// settleGates runs gates that start without known levels until they are settled.
func settleGates(all []*Limiter, clock *clockwork.FakeClock) {
	for range 30 {
		exchangeUpdates(all)
		clock.Advance(100 * time.Millisecond)
	}
	exchangeUpdates(all)
}

func admitted(l *Limiter, size float64) bool {
	_, ok := l.Admit("w", size).(Admitted)
	return ok
}

func level(l *Limiter) float64 { return l.accounts["w"].level }

// All callers of a workspace use one gate. They must get the whole limit there.
func TestAllCallersAtOneGate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(26, tightBounds, clock)
	settleGates(all, clock)
	got := 0.0
	for range 1000 {
		for admitted(all[3], 50) {
			got += 50
		}
		exchangeUpdates(all)
		clock.Advance(10 * time.Millisecond)
	}
	is.True(got >= testLimit.Burst+10*testLimit.Rate-50)
}

// One gate admits a whole burst. Its next update must make the others refuse requests.
func TestUsageReachesOtherGates(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(3, tightBounds, clock)
	settleGates(all, clock)
	is.True(admitted(all[0], 1900)) // leaves a debt
	exchangeUpdates(all)
	is.True(!admitted(all[1], 1))
	for range 10 { // the debt is paid
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all)
	}
	is.True(admitted(all[1], 1))
}

// Updates are lost, duplicated and late. As they carry totals, nothing may be counted twice, and
// the next update must make up for a lost one.
func TestLostDuplicateAndLateUpdates(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tightBounds, clock)
	settleGates(all, clock)
	admitted(all[0], 100)
	early := all[0].NextUpdate()
	admitted(all[0], 100)
	_ = all[0].NextUpdate() // lost
	late := all[0].NextUpdate()
	before := level(all[1])
	all[1].ApplyUpdate(late)
	all[1].ApplyUpdate(late)
	all[1].ApplyUpdate(early)
	is.True(math.Abs(before-200-level(all[1])) < 1)
	is.Equal(all[1].State().Discarded.Decreasing, 1)
}

// A gate starts after a workspace has used up its quota. It must adopt the level of a gate that
// knows it, and not grant the burst again.
func TestStartingGateAdoptsLevel(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tightBounds, clock)
	settleGates(all, clock)
	is.True(admitted(all[0], 1900))
	exchangeUpdates(all)
	fresh := New("gate-9", 77, tightBounds, clock)
	fresh.SetGates(3)
	fresh.SetLimits(map[string]Limit{"w": testLimit}, nil)
	all = append(all, fresh)
	exchangeUpdates(all)
	exchangeUpdates(all)
	is.True(level(fresh) < 0)
	is.True(!admitted(fresh, 1))
}

// A gate starts long after the others and adopts their levels. Their totals then contain all usage
// since they started, which must not be deducted again: the gate would refuse the workspace's
// callers for seconds.
func TestTotalsOfOlderGatesAreNotNewUsage(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(4, tightBounds, clock)
	settleGates(all, clock)
	// usage well below the limit for a long time
	for range 200 {
		for _, l := range all[1:] {
			is.True(admitted(l, 20))
		}
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all)
	}
	// the last gate's callers pause, so that its updates list nothing
	for range 5 {
		admitted(all[1], 20)
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all)
	}
	fresh := New("gate-9", 77, tightBounds, clock)
	fresh.SetGates(5)
	fresh.SetLimits(map[string]Limit{"w": testLimit}, nil)
	all = append(all, fresh)
	for range 4 {
		admitted(all[1], 20)
		admitted(all[2], 20)
		exchangeUpdates(all)
		clock.Advance(100 * time.Millisecond)
	}
	is.True(fresh.State().Settled)
	// its first update that lists the workspace since the new gate started
	admitted(all[3], 20)
	exchangeUpdates(all)
	is.True(level(fresh) > 0.5*testLimit.Burst)
}

// A limit is lowered to a fifth while a gate is cut off. The part left to that gate must shrink
// with the limit, so that the others continue to admit requests.
func TestLoweredLimitWithSilentGate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(4, tightBounds, clock)
	settleGates(all, clock)
	for range 40 { // half of the limit is used at the last gate
		admitted(all[3], 50)
		admitted(all[0], 50)
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all)
	}
	for range 30 {
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all[:3])
	}
	low := Limit{Rate: testLimit.Rate / 5, Burst: testLimit.Burst / 5}
	for _, l := range all {
		l.SetLimits(map[string]Limit{"w": low}, nil)
	}
	got := 0.0
	for range 50 {
		for admitted(all[0], 5) {
			got += 5
		}
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all[:3])
	}
	is.True(got > 0.35*5*low.Rate)
}

// A gate reports an implausible level. It must not block the workspace.
func TestImplausibleLevel(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(3, tightBounds, clock)
	settleGates(all, clock)
	admitted(all[0], 10)
	w := all[0].NextUpdate()
	w.Usages[0].Level = -1e18
	all[1].ApplyUpdate(w)
	is.True(level(all[1]) > 0)
}

// All gates restart after a burst, so that none knows the usage. Together they may start with
// at most a quarter of the tolerance, and their grace.
func TestAllGatesRestart(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(26, tightBounds, clock)
	got := 0.0
	for _, l := range all {
		for admitted(l, 1) {
			got++
		}
	}
	tolerance := tightBounds.Overage * (8*testLimit.Rate + testLimit.Burst)
	is.True(got <= tolerance*(initialFraction+graceFraction)+float64(len(all)))
}

// A hundred gates start at once, and one admits a request larger than its share. When it receives
// the others' updates, it must not assume that each of them has done the same: it would refuse
// all callers of the workspace for seconds.
func TestDebtOfOneStartingGateIsNotMultiplied(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	loose := Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 20000}
	all := newGates(100, loose, clock)
	var drawn *Limiter
	for _, l := range all { // the draw lets some admit it
		if drawn == nil && admitted(l, 1000) {
			drawn = l
		}
	}
	is.True(drawn != nil)
	for _, l := range all {
		if l != drawn {
			drawn.ApplyUpdate(l.NextUpdate())
		}
	}
	is.True(level(drawn) > -1000)
}

// A gate is cut off from all others. It must keep to its share, and the others must leave that
// share unused, so that together they stay within the limit.
func TestIsolatedGateKeepsToItsShare(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(4, tightBounds, clock)
	settleGates(all, clock)
	ask := func(gates []*Limiter) float64 {
		got := 0.0
		for _, l := range gates {
			for range 5 {
				if admitted(l, 40) {
					got += 40
				}
			}
		}
		return got
	}
	for range 40 { // all four use up the limit
		ask(all)
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all)
	}
	got := 0.0
	for range 80 { // the last gate is cut off
		got += ask(all)
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all[:3])
	}
	bound := 1.1 * (8*testLimit.Rate + testLimit.Burst)
	t.Log(got, bound)
	is.True(got <= bound)
	is.True(got >= 0.8*8*testLimit.Rate)
	is.True(all[3].State().Isolated)
	is.True(!all[0].State().Isolated)
}

// A gate is suspended for some seconds while others use up the quota. When it resumes, it first
// receives old updates; it must not admit what has been used meanwhile.
func TestSuspendedGate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(3, tightBounds, clock)
	settleGates(all, clock)
	got := 0.0
	use := func(l *Limiter) {
		for admitted(l, 50) {
			got += 50
		}
	}
	for range 30 {
		use(all[0])
		clock.Advance(100 * time.Millisecond)
		exchangeUpdates(all[:2])
	}
	before := got
	use(all[2])
	is.True(got-before <= testLimit.Burst*0.6) // its share, as it is isolated
	exchangeUpdates(all)
	exchangeUpdates(all)
	use(all[2])
	is.True(got <= testLimit.Burst+3*testLimit.Rate+all[0].tolerance(testLimit)/2)
}

// A limit is lowered, raised, removed and restored. None of these may grant a burst again that
// was used before.
func TestLimitChangeGivesNoBurst(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(1, tightBounds, clock)
	l := all[0]
	settleGates(all, clock)
	l.SetLimits(map[string]Limit{"w": {Rate: 100, Burst: 100}}, nil)
	is.Equal(level(l), 100.0)
	l.SetLimits(map[string]Limit{"w": testLimit}, nil)
	is.Equal(level(l), 100.0)
	for admitted(l, 10) {
	}
	l.SetLimits(nil, nil)
	is.True(admitted(l, 1e6)) // no limit
	clock.Advance(100 * time.Millisecond)
	l.SetLimits(map[string]Limit{"w": testLimit}, nil)
	is.True(level(l) < 150)
}

// A configured quota cannot be used. The last valid limit must stay.
func TestInvalidLimitIsIgnored(t *testing.T) {
	is := is.New(t)
	l := New("g", 1, tightBounds, clockwork.NewFakeClock())
	l.SetGates(1)
	l.SetLimits(map[string]Limit{"w": testLimit}, nil)
	l.SetLimits(nil, map[string]bool{"w": true})
	is.True(admitted(l, 500))
	is.True(!admitted(l, 500))
	for _, bad := range []Limit{{Rate: math.NaN()}, {Rate: -1, Burst: 1}, {Rate: math.Inf(1)}, {Rate: 1, Burst: -1}, {Rate: 1, Burst: math.NaN()}} {
		l.SetLimits(map[string]Limit{"w": bad}, nil)
		is.Equal(l.accounts["w"].limit, testLimit)
	}
}

// An admitted request is rejected by all servers, and its size must be refunded.
func TestRefundAndCharge(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tightBounds, clock)
	settleGates(all, clock)
	before := level(all[0])
	is.True(admitted(all[0], 300))
	all[0].Refund("w", 300)
	is.Equal(level(all[0]), before)
	total := all[0].accounts["w"].total
	is.True(admitted(all[0], 300))
	is.Equal(all[0].accounts["w"].total, total) // never falls, and does not count twice
	all[0].Charge("w", 300)                     // it ran on a second server
	is.Equal(all[0].accounts["w"].total, total+300)
}

// Updates of the gate itself and of a lifetime that has ended must be ignored.
func TestDiscardedUpdates(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tightBounds, clock)
	settleGates(all, clock)
	admitted(all[0], 100)
	old := all[0].NextUpdate()
	again := New("gate-0", 99, tightBounds, clock)
	all[1].ApplyUpdate(again.NextUpdate())
	before := level(all[1])
	all[1].ApplyUpdate(old)
	all[1].ApplyUpdate(all[1].NextUpdate())
	is.Equal(level(all[1]), before)
	is.Equal(all[1].State().Discarded, Discarded{Superseded: 1, Own: 1})
}

// A refused caller that retries at the time it was told must be admitted.
func TestRetryAfterIsSufficient(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tightBounds, clock)
	settleGates(all, clock)
	is.True(admitted(all[0], 1800))
	refused, ok := all[0].Admit("w", 10).(Refused)
	is.True(ok)
	is.True(refused.After >= 600*time.Millisecond && refused.After <= 1100*time.Millisecond)
	clock.Advance(refused.After)
	exchangeUpdates(all)
	is.True(admitted(all[0], 10))
}

// Gates are killed and cut off at random. The usage must stay within the bounds.
func TestNoWindowExceedsTheBound(t *testing.T) { checkRandomEvents(t, 0) }

// The same with gates that exchange updates only some time after a restart, and workspaces that
// use different parts of their limits.
func TestNoWindowExceedsTheBoundWithSlowDiscovery(t *testing.T) { checkRandomEvents(t, 800) }

// checkRandomEvents draws scenarios, with up to maxDiscovery milliseconds until a gate that has
// restarted exchanges updates.
func checkRandomEvents(t *testing.T, maxDiscovery int) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(5000, 600000).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.3, 2).Draw(t, "burst")
		c := scenarioOf(limit, func(c *scenario) {
			c.gates = rapid.IntRange(1, 30).Draw(t, "gates")
			c.callerGates = rapid.IntRange(1, c.gates).Draw(t, "places")
			c.loadFactor = rapid.Float64Range(1, 10).Draw(t, "hot")
			c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			c.loadStart, c.loadEnd, c.length = 3*time.Second, 9*time.Second, 12*time.Second
			c.events = make(map[time.Duration]func(*simulation))
		})
		for range rapid.IntRange(0, 3).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond
			every := rapid.IntRange(1, 8).Draw(t, "every")
			picks := func(i int) bool { return i%every == 0 }
			if rapid.Bool().Draw(t, "cut") {
				c.events[at] = onGates(picks, func(s *simulation, i int) { s.partitioned[i] = !s.partitioned[i] })
			} else {
				c.events[at] = onGates(picks, kill)
			}
		}
		if maxDiscovery > 0 {
			c.discoveryTime = time.Duration(rapid.IntRange(0, maxDiscovery).Draw(t, "meet")) * time.Millisecond
			c.baseLoad = rapid.Float64Range(0.3, 1).Draw(t, "usual")
		}
		if o := simulate(c, sharedCounting, rapid.Uint64().Draw(t, "seed")).peak(); o > 1 {
			t.Fatalf("usage is %.3f of the bound", o)
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	clock := clockwork.NewRealClock()
	all := newGates(26, testBounds, clock)
	l := all[0]
	limits := make(map[string]Limit)
	for i := range 9300 {
		limits[fmt.Sprintf("w%d", i)] = Limit{Rate: 1e6, Burst: 1e6}
	}
	l.SetLimits(limits, nil)
	exchangeUpdates(all)
	names := make([]string, 0, len(limits))
	for name := range limits {
		names = append(names, name)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Admit(names[i%len(names)], 100)
	}
}

// A gate that has just started refuses what exceeds its share, and says that it is starting. A
// gate that stays isolated, or has received an update, must not say so.
func TestRefusalOfStartingGate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	refusal := func(l *Limiter) Refused {
		for {
			if r, ok := l.Admit("w", 50).(Refused); ok {
				return r
			}
		}
	}
	all := newGates(4, tightBounds, clock)
	first := refusal(all[0])
	is.True(first.Starting)
	is.True(first.After <= 2*startupRetryAfter)
	all[0].ApplyUpdate(all[1].NextUpdate())
	is.True(!refusal(all[0]).Starting)
	clock.Advance(startupTime)
	is.True(!refusal(all[2]).Starting)
	is.True(!refusal(newGates(1, tightBounds, clock)[0]).Starting)
}
