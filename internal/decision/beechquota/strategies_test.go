package beechquota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// scenarios vary the load of a workspace, the gates that its callers use and the faults. Each
// runs with a large and a small limit.
var scenarios = []struct {
	name   string
	change func(c *scenario)
}{
	{"base load", func(*scenario) {}},
	{"load times 7.5", func(c *scenario) { c.loadFactor = 7.5 }},
	{"load times 30", func(c *scenario) { c.loadFactor = 30 }},
	{"high load at one gate", func(c *scenario) { c.loadFactor, c.callerGates = 7.5, 1 }},
	{"base load at one gate", func(c *scenario) { c.callerGates = 1 }},
	{"high load, all gates killed", func(c *scenario) {
		c.loadFactor, c.events = 7.5, map[time.Duration]func(*simulation){11 * time.Second: onGates(allGates, kill)}
	}},
	{"high load, half of the gates killed", func(c *scenario) {
		c.loadFactor, c.events = 7.5, map[time.Duration]func(*simulation){11 * time.Second: onGates(secondGates, kill)}
	}},
	{"high load, a sixth of the gates cut off", func(c *scenario) {
		c.loadFactor, c.events = 7.5, map[time.Duration]func(*simulation){
			6 * time.Second:  onGates(sixthGates, func(s *simulation, i int) { s.partitioned[i] = true }),
			14 * time.Second: onGates(sixthGates, func(s *simulation, i int) { s.partitioned[i] = false }),
		}
	}},
	{"high load, a third of the updates lost", func(c *scenario) { c.loadFactor, c.loss = 7.5, 0.33 }},
	{"high load, 100 gates", func(c *scenario) { c.loadFactor, c.gates, c.callerGates = 7.5, 100, 80 }},
	{"high load, 2 gates", func(c *scenario) { c.loadFactor, c.gates, c.callerGates = 7.5, 2, 2 }},
}

func scenarioOf(limit Limit, change func(c *scenario)) scenario {
	c := scenario{
		gates: 26, callerGates: 20, limit: limit, baseLoad: 0.55, loadFactor: 1, loadStart: 8 * time.Second, loadEnd: 15 * time.Second, drawSize: promptSize, meanSize: meanPromptSize, bounds: testBounds,
		maxDelay: 20 * time.Millisecond, loss: 0.01, length: 30 * time.Second, retries: true,
	}
	change(&c)
	return c
}

var (
	largeLimit = Limit{Rate: 580000, Burst: 580000}
	smallLimit = Limit{Rate: 29000, Burst: 29000}
)

const seedsPerScenario = 3

// A workspace sends many times its usual load through all gates at once, or through one, while
// gates are killed, cut off and lose updates. The usage in any window must stay within the
// bounds, and little may be refused that an exact bucket would admit: callers would notice a
// refusal below their limit.
func TestSharedCountingHoldsBound(t *testing.T) {
	t.Parallel()
	for _, c := range scenarios {
		for _, limit := range []Limit{largeLimit, smallLimit} {
			t.Run(fmt.Sprintf("%s of %.0f", c.name, limit.Rate), func(t *testing.T) {
				t.Parallel()
				large := 0.0
				for seed := range uint64(seedsPerScenario) {
					o := simulate(scenarioOf(limit, c.change), sharedCounting, seed).evaluate()
					if o.peak > 1 {
						t.Errorf("seed %d: usage is %.3f of the bound", seed, o.peak)
					}
					if o.wronglyRefused > 0.05 {
						t.Errorf("seed %d: %.3f of what an exact bucket admits was refused", seed, o.wronglyRefused)
					}
					large += o.largeRatio / seedsPerScenario
				}
				if large < 0.5 {
					t.Errorf("large requests are admitted %.2f times as often as all", large)
				}
			})
		}
	}
}

// A workspace's limit is lowered to a fifth under load. From then on every window must stay
// within the bounds of the lower limit.
func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	t.Parallel()
	for _, limit := range []Limit{largeLimit, smallLimit} {
		const at = 11 * time.Second
		low := scaled(limit, 0.2)
		s := simulate(scenarioOf(limit, func(c *scenario) {
			c.baseLoad, c.events = 0.9, map[time.Duration]func(*simulation){at: onGates(allGates, withLimit(low))}
		}), sharedCounting, 1)
		first := slices.IndexFunc(s.admitted, func(a admission) bool { return a.at > at })
		if peak := peakOf(s.admitted[first:], low, s.bounds); peak > 1 {
			t.Errorf("limit %.0f: usage is %.3f of the bound", low.Rate, peak)
		}
	}
}

// Compares strategies for dividing a limit on the same demand: peak usage in a window relative
// to the bound, part wrongly refused, admission ratio of the largest requests, seconds until a
// refused caller is admitted, and bytes per second and gate.
func TestCompareStrategies(t *testing.T) {
	if !testing.Verbose() {
		t.Log("run with -v for the table")
	}
	for _, c := range scenarios {
		for _, limit := range []Limit{largeLimit, smallLimit} {
			if !testing.Verbose() {
				continue
			}
			line := fmt.Sprintf("| %s | %.0f |", c.name, limit.Rate)
			for _, w := range []strategy{sharedCounting, usageShares, equalShares, oneOwner} {
				o := simulate(scenarioOf(limit, c.change), w, 1).evaluate()
				line += fmt.Sprintf(" %.2f, %.3f, %.2f, %.2f s, %.1f KB |", o.peak, o.wronglyRefused, o.largeRatio, o.retryDelay, o.bytesPerGate/1000)
			}
			t.Log(line)
		}
	}
}

// The gates are partitioned into two halves, and shortly afterwards the workspace sends ten times
// its usual load to both. Until the gates notice, each half counts on the whole bucket.
func TestBurstRightAfterPartition(t *testing.T) {
	t.Parallel()
	const burst = 8 * time.Second
	for _, partition := range []time.Duration{7500 * time.Millisecond, 7760 * time.Millisecond} {
		for _, gates := range []int{8, 26} {
			for _, load := range []float64{0.55, 0.9} {
				worst := 0.0
				for seed := range uint64(4 * seedsPerScenario) {
					c := scenarioOf(Limit{Rate: 500000, Burst: 1000000}, func(c *scenario) {
						c.gates, c.callerGates, c.loadFactor, c.baseLoad = gates, gates*5/8, 9.8, load
						c.loadStart, c.loadEnd, c.length = burst, burst+6*time.Second, burst+9*time.Second
						c.events = map[time.Duration]func(*simulation){partition: onGates(secondGates, func(s *simulation, i int) { s.partitioned[i] = true })}
					})
					worst = max(worst, simulate(c, sharedCounting, seed).peak())
				}
				if worst > 1 {
					t.Errorf("partition at %s, %d gates, base load %.2f of the limit: usage is %.3f of the bound", partition, gates, load, worst)
				}
			}
		}
	}
}

// All gates are killed and restart while a workspace uses half of its limit. In the seconds after
// the restart they must refuse little that an exact bucket would admit, for any number of gates.
func TestAllGatesRestartBelowLimit(t *testing.T) {
	t.Parallel()
	const at, restart, observed = 11 * time.Second, 11800 * time.Millisecond, 3 * time.Second
	for _, gates := range []int{4, 26, 104} {
		for _, limit := range []Limit{largeLimit, smallLimit, {Rate: 3000, Burst: 68000}} {
			c := scenarioOf(limit, func(c *scenario) {
				c.gates, c.callerGates, c.length = gates, gates, restart+observed
				c.discoveryTime, c.retryWithin = 250*time.Millisecond, 600*time.Millisecond
				c.events = map[time.Duration]func(*simulation){at: onGates(allGates, kill)}
			})
			asked, refused := 0.0, 0.0
			for seed := range uint64(seedsPerScenario) {
				s, exact := simulate(c, sharedCounting, seed), simulate(c.withoutFaults(), oneOwner, seed)
				if peak := s.peak(); peak > 1 {
					t.Errorf("%d gates, %.0f: usage is %.3f of the bound", gates, limit.Rate, peak)
				}
				asked += sizeBetween(exact.admitted, restart, restart+observed)
				refused += max(sizeBetween(exact.admitted, restart, restart+observed)-sizeBetween(s.admitted, restart, restart+observed), 0)
			}
			t.Logf("%d gates, %.0f per second: %.3f of what an exact bucket admits was refused", gates, limit.Rate, refused/asked)
			if refused > 0.05*asked {
				t.Errorf("%d gates, %.0f per second: %.3f of what an exact bucket admits was refused in %s after the restart", gates, limit.Rate, refused/asked, observed)
			}
		}
	}
}

func sizeBetween(admitted []admission, from, until time.Duration) float64 {
	sum := 0.0
	for _, a := range admitted {
		if a.at > from && a.at <= until {
			sum += a.size
		}
	}
	return sum
}
