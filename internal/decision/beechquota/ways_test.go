package beechquota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// scenes are what happens to a workspace and the gates that its callers come to. The
// figures of a scene are for a large limit; each is played with a small one too.
var scenes = []struct {
	name   string
	change func(c *scene)
}{
	{"usual", func(*scene) {}},
	{"hot by 7.5", func(c *scene) { c.hot = 7.5 }},
	{"hot by 30", func(c *scene) { c.hot = 30 }},
	{"hot at one gate", func(c *scene) { c.hot, c.places = 7.5, 1 }},
	{"usual at one gate", func(c *scene) { c.places = 1 }},
	{"hot, all gates killed", func(c *scene) {
		c.hot, c.events = 7.5, map[time.Duration]func(*simulation){11 * time.Second: each(everybody, killed)}
	}},
	{"hot, half of the gates killed", func(c *scene) {
		c.hot, c.events = 7.5, map[time.Duration]func(*simulation){11 * time.Second: each(everySecond, killed)}
	}},
	{"hot, a sixth of the gates cut off", func(c *scene) {
		c.hot, c.events = 7.5, map[time.Duration]func(*simulation){
			6 * time.Second:  each(everySixth, func(s *simulation, i int) { s.cut[i] = true }),
			14 * time.Second: each(everySixth, func(s *simulation, i int) { s.cut[i] = false }),
		}
	}},
	{"hot, a third of the words lost", func(c *scene) { c.hot, c.loss = 7.5, 0.33 }},
	{"hot, 100 gates", func(c *scene) { c.hot, c.gates, c.places = 7.5, 100, 80 }},
	{"hot, 2 gates", func(c *scene) { c.hot, c.gates, c.places = 7.5, 2, 2 }},
}

func sceneOf(limit Limit, change func(c *scene)) scene {
	c := scene{
		gates: 26, places: 20, limit: limit, usual: 0.55, hot: 1, from: 8 * time.Second, until: 15 * time.Second, sizes: prompts, mean: promptMean, bounds: testBounds,
		far: 20 * time.Millisecond, loss: 0.01, length: 30 * time.Second, retries: true,
	}
	change(&c)
	return c
}

var (
	largeLimit = Limit{Rate: 580000, Burst: 580000}
	smallLimit = Limit{Rate: 29000, Burst: 29000}
)

// seeds that each scene is played with.
const seeds = 3

// A workspace sends many times its usual through all gates at once, or through one, while
// gates are killed, cut off and lose words. In no window it may use more than the
// operators tolerate, and what an exact bucket would let in must not be refused: of
// that a caller would notice a refusal below his limit.
func TestCountingTogetherHoldsTheBound(t *testing.T) {
	t.Parallel()
	for _, c := range scenes {
		for _, limit := range []Limit{largeLimit, smallLimit} {
			t.Run(fmt.Sprintf("%s of %.0f", c.name, limit.Rate), func(t *testing.T) {
				t.Parallel()
				large := 0.0
				for seed := range uint64(seeds) {
					o := simulate(sceneOf(limit, c.change), counting, seed).outcome()
					if o.over > 1 {
						t.Errorf("seed %d: %.3f of what is tolerated", seed, o.over)
					}
					if o.unowed > 0.05 {
						t.Errorf("seed %d: %.3f of what is owed is refused", seed, o.unowed)
					}
					large += o.large / seeds
				}
				if large < 0.5 {
					t.Errorf("the largest are let in %.2f times as often as all", large)
				}
			})
		}
	}
}

// Operators lower a workspace's limit to a fifth in the middle of its work. From then on
// no window holds more than the lower limit allows, but for what is tolerated.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	t.Parallel()
	for _, limit := range []Limit{largeLimit, smallLimit} {
		const at = 11 * time.Second
		low := part(limit, 0.2)
		s := simulate(sceneOf(limit, func(c *scene) {
			c.usual, c.events = 0.9, map[time.Duration]func(*simulation){at: each(everybody, limited(low))}
		}), counting, 1)
		first := slices.IndexFunc(s.admitted, func(a admission) bool { return a.at > at })
		if most := mostOf(s.admitted[first:], low, s.bounds); most > 1 {
			t.Errorf("limit %.0f: %.3f of what is tolerated", low.Rate, most)
		}
	}
}

// The ways of dividing a limit side by side, on the same demand: most in a window
// against what is tolerated, refused though owed, the largest against all, seconds
// until a refused caller is in, bytes a second and gate.
func TestWaysSideBySide(t *testing.T) {
	if !testing.Verbose() {
		t.Log("run with -v for the table")
	}
	for _, c := range scenes {
		for _, limit := range []Limit{largeLimit, smallLimit} {
			if !testing.Verbose() {
				continue
			}
			line := fmt.Sprintf("| %s | %.0f |", c.name, limit.Rate)
			for _, w := range []way{counting, sharesByUse, equalShares, oneOwner} {
				o := simulate(sceneOf(limit, c.change), w, 1).outcome()
				line += fmt.Sprintf(" %.2f, %.3f, %.2f, %.2f s, %.1f KB |", o.over, o.unowed, o.large, o.until, o.perGate/1000)
			}
			t.Log(line)
		}
	}
}

// The gates are cut into two halves, and shortly after it the workspace sends ten times
// its usual to both. Until they notice, each half believes in the whole bucket.
func TestRushRightAfterACut(t *testing.T) {
	t.Parallel()
	const rush = 8 * time.Second
	for _, cut := range []time.Duration{7500 * time.Millisecond, 7760 * time.Millisecond} {
		for _, gates := range []int{8, 26} {
			for _, usual := range []float64{0.55, 0.9} {
				worst := 0.0
				for seed := range uint64(4 * seeds) {
					c := sceneOf(Limit{Rate: 500000, Burst: 1000000}, func(c *scene) {
						c.gates, c.places, c.hot, c.usual = gates, gates*5/8, 9.8, usual
						c.from, c.until, c.length = rush, rush+6*time.Second, rush+9*time.Second
						c.events = map[time.Duration]func(*simulation){cut: each(everySecond, func(s *simulation, i int) { s.cut[i] = true })}
					})
					worst = max(worst, simulate(c, counting, seed).most())
				}
				if worst > 1 {
					t.Errorf("cut at %s, %d gates, usually %.2f of the limit: %.3f of what is tolerated", cut, gates, usual, worst)
				}
			}
		}
	}
}

// All gates are killed and start again while a workspace asks for half of its limit. What
// an exact bucket lets in is not refused then for seconds, however many gates there are.
func TestAllGatesKilledBelowTheLimit(t *testing.T) {
	t.Parallel()
	const at, back, look = 11 * time.Second, 11800 * time.Millisecond, 3 * time.Second
	for _, gates := range []int{4, 26, 104} {
		for _, limit := range []Limit{largeLimit, smallLimit, {Rate: 3000, Burst: 68000}} {
			c := sceneOf(limit, func(c *scene) {
				c.gates, c.places, c.length = gates, gates, back+look
				c.meet, c.insist = 250*time.Millisecond, 600*time.Millisecond
				c.events = map[time.Duration]func(*simulation){at: each(everybody, killed)}
			})
			asked, refused := 0.0, 0.0
			for seed := range uint64(seeds) {
				s, exact := simulate(c, counting, seed), simulate(c.calm(), oneOwner, seed)
				if over := s.most(); over > 1 {
					t.Errorf("%d gates, %.0f: %.3f of what is tolerated", gates, limit.Rate, over)
				}
				asked += between(exact.admitted, back, back+look)
				refused += max(between(exact.admitted, back, back+look)-between(s.admitted, back, back+look), 0)
			}
			t.Logf("%d gates, %.0f a second: %.3f of what is owed is refused", gates, limit.Rate, refused/asked)
			if refused > 0.05*asked {
				t.Errorf("%d gates, %.0f a second: %.3f of what is owed is refused in %s after the start", gates, limit.Rate, refused/asked, look)
			}
		}
	}
}

func between(admitted []admission, from, until time.Duration) float64 {
	sum := 0.0
	for _, a := range admitted {
		if a.at > from && a.at <= until {
			sum += a.size
		}
	}
	return sum
}
