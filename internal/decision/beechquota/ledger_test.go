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

var usualLimit = Limit{Rate: 1000, Burst: 1000}

// tight tolerates little, so that a level is what a test expects.
var tight = Bounds{Window: 8 * time.Second, Overage: 0.1}

func newGates(n int, b Bounds, clock clockwork.Clock) []*Limiter {
	var all []*Limiter
	for i := range n {
		l := New(fmt.Sprintf("gate-%d", i), uint64(i+1), b, clock)
		l.SetGates(n)
		l.SetLimits(map[string]Limit{"w": usualLimit}, nil)
		all = append(all, l)
	}
	return all
}

// tellAll has each gate tell all others.
func tellAll(all []*Limiter) {
	for _, from := range all {
		w := from.NextUpdate()
		for _, to := range all {
			if to != from {
				to.ApplyUpdate(w)
			}
		}
	}
}

// settle lets gates that know nothing live for a while.
func settle(all []*Limiter, clock *clockwork.FakeClock) {
	for range 30 {
		tellAll(all)
		clock.Advance(100 * time.Millisecond)
	}
	tellAll(all)
}

func admitted(l *Limiter, size float64) bool {
	_, ok := l.Admit("w", size).(Admitted)
	return ok
}

func level(l *Limiter) float64 { return l.accounts["w"].level }

// A workspace's callers all come to one gate. It gets its whole limit there.
func TestFewCallersComeToOneGate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(26, tight, clock)
	settle(all, clock)
	got := 0.0
	for range 1000 {
		for admitted(all[3], 50) {
			got += 50
		}
		tellAll(all)
		clock.Advance(10 * time.Millisecond)
	}
	is.True(got >= usualLimit.Burst+10*usualLimit.Rate-50)
}

// One gate has let a whole burst in. The others know it with its next word.
func TestOthersHearWhatIsSpent(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(3, tight, clock)
	settle(all, clock)
	is.True(admitted(all[0], 1900)) // a debt
	tellAll(all)
	is.True(!admitted(all[1], 1))
	for range 10 { // the debt is paid
		clock.Advance(100 * time.Millisecond)
		tellAll(all)
	}
	is.True(admitted(all[1], 1))
}

// Words are lost, and come twice or late. What they tell is a total, so nothing is
// taken twice, and the next word makes the loss good.
func TestWordsThatAreLostDoubledAndLate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tight, clock)
	settle(all, clock)
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

// A gate starts while the workspace has used its quota up. It takes the level
// from one that knows, and does not let a burst in once more.
func TestGateThatStartsTakesTheLevel(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tight, clock)
	settle(all, clock)
	is.True(admitted(all[0], 1900))
	tellAll(all)
	fresh := New("gate-9", 77, tight, clock)
	fresh.SetGates(3)
	fresh.SetLimits(map[string]Limit{"w": usualLimit}, nil)
	all = append(all, fresh)
	tellAll(all)
	tellAll(all)
	is.True(level(fresh) < 0)
	is.True(!admitted(fresh, 1))
}

// A gate starts late in the day and takes the level from one that knows. The others then
// tell totals of the whole day: none of that may be taken for new, or the workspace's
// callers are refused at this gate for seconds.
func TestTotalsOfOlderGatesAreNoNewUse(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(4, tight, clock)
	settle(all, clock)
	for range 200 { // a long day well below the limit
		for _, l := range all[1:] {
			is.True(admitted(l, 20))
		}
		clock.Advance(100 * time.Millisecond)
		tellAll(all)
	}
	for range 5 { // the last one's callers pause, so that its words list nothing
		admitted(all[1], 20)
		clock.Advance(100 * time.Millisecond)
		tellAll(all)
	}
	fresh := New("gate-9", 77, tight, clock)
	fresh.SetGates(5)
	fresh.SetLimits(map[string]Limit{"w": usualLimit}, nil)
	all = append(all, fresh)
	for range 4 {
		admitted(all[1], 20)
		admitted(all[2], 20)
		tellAll(all)
		clock.Advance(100 * time.Millisecond)
	}
	is.True(fresh.State().Settled)
	admitted(all[3], 20) // its first word on the workspace since
	tellAll(all)
	is.True(level(fresh) > 0.5*usualLimit.Burst)
}

// Operators lower a limit to a fifth while a gate is cut off. What was left to it is
// a part of the limit, not more than all of it: the others go on serving.
func TestLowerLimitBesideASilentGate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(4, tight, clock)
	settle(all, clock)
	for range 40 { // half of it is used at the last gate
		admitted(all[3], 50)
		admitted(all[0], 50)
		clock.Advance(100 * time.Millisecond)
		tellAll(all)
	}
	for range 30 {
		clock.Advance(100 * time.Millisecond)
		tellAll(all[:3])
	}
	low := Limit{Rate: usualLimit.Rate / 5, Burst: usualLimit.Burst / 5}
	for _, l := range all {
		l.SetLimits(map[string]Limit{"w": low}, nil)
	}
	got := 0.0
	for range 50 {
		for admitted(all[0], 5) {
			got += 5
		}
		clock.Advance(100 * time.Millisecond)
		tellAll(all[:3])
	}
	is.True(got > 0.35*5*low.Rate)
}

// Another gate tells a level that makes no sense. It must not shut the workspace out.
func TestLevelThatMakesNoSense(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(3, tight, clock)
	settle(all, clock)
	admitted(all[0], 10)
	w := all[0].NextUpdate()
	w.Usages[0].Level = -1e18
	all[1].ApplyUpdate(w)
	is.True(level(all[1]) > 0)
}

// All gates are killed at once after a burst: nobody knows what was used. Together
// they may begin with no more than a quarter of what is tolerated.
func TestAllGatesStartAnew(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(26, tight, clock)
	got := 0.0
	for _, l := range all {
		for admitted(l, 1) {
			got++
		}
	}
	tolerated := tight.Overage * (8*usualLimit.Rate + usualLimit.Burst)
	is.True(got <= tolerated*(startPart+gracePart)+float64(len(all)))
}

// A hundred gates start at once, and one lets a request in that is larger than its share.
// When it hears the others, it must not believe that each of them has done so: all
// callers of the workspace would be refused there for seconds.
func TestDebtOfOneStartingGateIsNotThatOfAll(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	loose := Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 20000}
	all := newGates(100, loose, clock)
	var lucky *Limiter
	for _, l := range all { // the lot lets some do so
		if lucky == nil && admitted(l, 1000) {
			lucky = l
		}
	}
	is.True(lucky != nil)
	for _, l := range all {
		if l != lucky {
			lucky.ApplyUpdate(l.NextUpdate())
		}
	}
	is.True(level(lucky) > -1000)
}

// A gate is cut off from all others. It keeps to its share by use, and the others
// leave that to it, so that together they stay within the limit.
func TestGateThatIsCutOffKeepsToItsShare(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(4, tight, clock)
	settle(all, clock)
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
	for range 40 { // all four use it up
		ask(all)
		clock.Advance(100 * time.Millisecond)
		tellAll(all)
	}
	got := 0.0
	for range 80 { // the last one hears nobody, and nobody hears it
		got += ask(all)
		clock.Advance(100 * time.Millisecond)
		tellAll(all[:3])
	}
	bound := 1.1 * (8*usualLimit.Rate + usualLimit.Burst)
	t.Log(got, bound)
	is.True(got <= bound)
	is.True(got >= 0.8*8*usualLimit.Rate)
	is.True(all[3].State().Isolated)
	is.True(!all[0].State().Isolated)
}

// A gate stands still for some seconds while others use the quota up. When it goes on,
// its first words are old ones; it must not let in what is gone.
func TestGateThatWasFrozen(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(3, tight, clock)
	settle(all, clock)
	got := 0.0
	use := func(l *Limiter) {
		for admitted(l, 50) {
			got += 50
		}
	}
	for range 30 {
		use(all[0])
		clock.Advance(100 * time.Millisecond)
		tellAll(all[:2])
	}
	before := got
	use(all[2])
	is.True(got-before <= usualLimit.Burst*0.6) // its share, as it hears nobody
	tellAll(all)
	tellAll(all)
	use(all[2])
	is.True(got <= usualLimit.Burst+3*usualLimit.Rate+all[0].tolerance(usualLimit)/2)
}

// Operators lower a limit, raise it, take it away and bring it back. None of it gives
// a burst that was used already.
func TestLimitsThatChangeGiveNoBurst(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(1, tight, clock)
	l := all[0]
	settle(all, clock)
	l.SetLimits(map[string]Limit{"w": {Rate: 100, Burst: 100}}, nil)
	is.Equal(level(l), 100.0)
	l.SetLimits(map[string]Limit{"w": usualLimit}, nil)
	is.Equal(level(l), 100.0)
	for admitted(l, 10) {
	}
	l.SetLimits(nil, nil)
	is.True(admitted(l, 1e6)) // no limit
	clock.Advance(100 * time.Millisecond)
	l.SetLimits(map[string]Limit{"w": usualLimit}, nil)
	is.True(level(l) < 150)
}

// What operators wrote of a quota cannot be used. The last good limit stays.
func TestLimitThatCannotBeUsed(t *testing.T) {
	is := is.New(t)
	l := New("g", 1, tight, clockwork.NewFakeClock())
	l.SetGates(1)
	l.SetLimits(map[string]Limit{"w": usualLimit}, nil)
	l.SetLimits(nil, map[string]bool{"w": true})
	is.True(admitted(l, 500))
	is.True(!admitted(l, 500))
	for _, bad := range []Limit{{Rate: math.NaN()}, {Rate: -1, Burst: 1}, {Rate: math.Inf(1)}, {Rate: 1, Burst: -1}, {Rate: 1, Burst: math.NaN()}} {
		l.SetLimits(map[string]Limit{"w": bad}, nil)
		is.Equal(l.accounts["w"].limit, usualLimit)
	}
}

// A request is admitted and then turned away by all servers. What it took is back.
func TestWhatHasNotRunIsGivenBack(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tight, clock)
	settle(all, clock)
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

// Words of this gate itself, and of a lifetime that is over, are passed over.
func TestWordsThatAreNotHeard(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tight, clock)
	settle(all, clock)
	admitted(all[0], 100)
	old := all[0].NextUpdate()
	again := New("gate-0", 99, tight, clock)
	all[1].ApplyUpdate(again.NextUpdate())
	before := level(all[1])
	all[1].ApplyUpdate(old)
	all[1].ApplyUpdate(all[1].NextUpdate())
	is.Equal(level(all[1]), before)
	is.Equal(all[1].State().Discarded, Discarded{Superseded: 1, Own: 1})
}

// A refused caller is told when there is something left again, and it holds.
func TestTimeToComeBackHolds(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := newGates(2, tight, clock)
	settle(all, clock)
	is.True(admitted(all[0], 1800))
	refused, ok := all[0].Admit("w", 10).(Refused)
	is.True(ok)
	is.True(refused.After >= 600*time.Millisecond && refused.After <= 1100*time.Millisecond)
	clock.Advance(refused.After)
	tellAll(all)
	is.True(admitted(all[0], 10))
}

// Whatever befalls the gates, in any order, a limit lets no more in than is tolerated
// and what one request for each gate leaves as a debt.
func TestNoWindowExceedsTheBound(t *testing.T) { anyOrder(t, 0) }

// The same where gates that start know the others only after a while, and where the
// workspace usually asks for more or less of its limit.
func TestNoWindowExceedsTheBoundWhereGatesMeetLate(t *testing.T) { anyOrder(t, 800) }

// anyOrder draws orders of events, and up to so many milliseconds until gates meet.
func anyOrder(t *testing.T, meet int) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(5000, 600000).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.3, 2).Draw(t, "burst")
		c := sceneOf(limit, func(c *scene) {
			c.gates = rapid.IntRange(1, 30).Draw(t, "gates")
			c.places = rapid.IntRange(1, c.gates).Draw(t, "places")
			c.hot = rapid.Float64Range(1, 10).Draw(t, "hot")
			c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			c.from, c.until, c.length = 3*time.Second, 9*time.Second, 12*time.Second
			c.events = make(map[time.Duration]func(*simulation))
		})
		for range rapid.IntRange(0, 3).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond
			every := rapid.IntRange(1, 8).Draw(t, "every")
			picks := func(i int) bool { return i%every == 0 }
			if rapid.Bool().Draw(t, "cut") {
				c.events[at] = each(picks, func(s *simulation, i int) { s.cut[i] = !s.cut[i] })
			} else {
				c.events[at] = each(picks, killed)
			}
		}
		if meet > 0 {
			c.meet = time.Duration(rapid.IntRange(0, meet).Draw(t, "meet")) * time.Millisecond
			c.usual = rapid.Float64Range(0.3, 1).Draw(t, "usual")
		}
		if o := simulate(c, counting, rapid.Uint64().Draw(t, "seed")).most(); o > 1 {
			t.Fatalf("%.3f of what is tolerated", o)
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
	tellAll(all)
	names := make([]string, 0, len(limits))
	for name := range limits {
		names = append(names, name)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Admit(names[i%len(names)], 100)
	}
}

// A gate that has just started refuses what its share does not cover, and says that it
// will know more in a moment. One that stays alone, or has heard the others, does not.
func TestRefusalOfAGateThatStarts(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	refusal := func(l *Limiter) Refused {
		for {
			if r, ok := l.Admit("w", 50).(Refused); ok {
				return r
			}
		}
	}
	all := newGates(4, tight, clock)
	first := refusal(all[0])
	is.True(first.Starting)
	is.True(first.After <= 2*startAfter)
	all[0].ApplyUpdate(all[1].NextUpdate())
	is.True(!refusal(all[0]).Starting)
	clock.Advance(startTime)
	is.True(!refusal(all[2]).Starting)
	is.True(!refusal(newGates(1, tight, clock)[0]).Starting)
}
