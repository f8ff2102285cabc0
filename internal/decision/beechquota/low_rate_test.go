package beechquota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// lowRateBounds are bounds for limits of a few requests per second, as beechthrottle has them.
var lowRateBounds = Bounds{Window: 4 * time.Second, Overage: 0.5, Slack: 3.5, RandomDraw: true}

func unitSize(*rand.Rand) float64 { return 1 }

// lowRateScenario returns a scenario with a limit of rate requests per second, for which all
// gates together receive load times as many.
func lowRateScenario(rate float64, gates int, load float64, change func(c *scenario)) scenario {
	return scenarioOf(Limit{Rate: rate, Burst: 1}, func(c *scenario) {
		c.gates, c.callerGates, c.drawSize, c.meanSize, c.bounds, c.retries = gates, gates, unitSize, 1, lowRateBounds, false
		c.baseLoad, c.length = load, 30*time.Second
		change(c)
	})
}

// A limit allows a few requests per second over all gates, and many times as many arrive through
// all gates at once, or through one. With equal shares of a limit below one request per second
// and gate no gate could send any, and without random draws all gates would send one at once.
func TestLowRateOverManyGates(t *testing.T) {
	t.Parallel()
	for _, gates := range []int{2, 4, 26, 68} {
		for _, rate := range []float64{0.3, 1.5, 12} {
			for name, change := range map[string]func(c *scenario){
				"all": func(*scenario) {},
				"one": func(c *scenario) { c.callerGates = 1 },
				"cut": func(c *scenario) { c.events = partitionSixth() },
				"killed": func(c *scenario) {
					c.events = map[time.Duration]func(*simulation){11 * time.Second: onGates(allGates, kill)}
				},
				"lost": func(c *scenario) { c.loss = 0.33 },
			} {
				t.Run(fmt.Sprintf("%s, %v per second, %d gates", name, rate, gates), func(t *testing.T) {
					t.Parallel()
					s := simulate(lowRateScenario(rate, gates, 10+5/rate, change), sharedCounting, 1)
					used := s.admittedSize / (rate * s.length.Seconds())
					t.Logf("%s: peak usage %.2f of the bound, %.2f of the limit used", t.Name(), s.peak(), used)
					if s.peak() > 1 {
						t.Errorf("usage is %.2f of the bound", s.peak())
					}
				})
			}
		}
	}
}

func partitionSixth() map[time.Duration]func(*simulation) {
	return map[time.Duration]func(*simulation){
		6 * time.Second:  onGates(sixthGates, func(s *simulation, i int) { s.partitioned[i] = true }),
		14 * time.Second: onGates(sixthGates, func(s *simulation, i int) { s.partitioned[i] = false }),
	}
}

// Gates are killed and cut off at random. A low limit must stay within its bounds.
func TestLowRateLimitHoldsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 20).Draw(t, "rate")
		c := lowRateScenario(rate, rapid.IntRange(1, 40).Draw(t, "gates"), rapid.Float64Range(1, 30).Draw(t, "hot"), func(c *scenario) {
			c.callerGates = rapid.IntRange(1, c.gates).Draw(t, "places")
			c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			c.length = 16 * time.Second
			c.events = make(map[time.Duration]func(*simulation))
		})
		for range rapid.IntRange(0, 3).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "at")) * time.Millisecond
			every := rapid.IntRange(1, 8).Draw(t, "every")
			picks := func(i int) bool { return i%every == 0 }
			if rapid.Bool().Draw(t, "cut") {
				c.events[at] = onGates(picks, func(s *simulation, i int) { s.partitioned[i] = !s.partitioned[i] })
			} else {
				c.events[at] = onGates(picks, kill)
			}
		}
		if o := simulate(c, sharedCounting, rapid.Uint64().Draw(t, "seed")).peak(); o > 1 {
			t.Fatalf("usage is %.3f of the bound", o)
		}
	})
}
