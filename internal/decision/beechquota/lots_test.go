package beechquota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fewRequests are bounds for limits of few requests a second, as servers name them.
var fewRequests = Bounds{Window: 4 * time.Second, Overage: 0.5, Slack: 3.5, RandomDraw: true}

func one(*rand.Rand) float64 { return 1 }

// fewScene is a limit of so many requests a second, asked for many times over by callers of
// all gates.
func fewScene(rate float64, gates int, hot float64, change func(c *scene)) scene {
	return sceneOf(Limit{Rate: rate, Burst: 1}, func(c *scene) {
		c.gates, c.places, c.sizes, c.mean, c.bounds, c.retries = gates, gates, one, 1, fewRequests, false
		c.usual, c.length = hot, 30*time.Second
		change(c)
	})
}

// Servers take few requests a second from all gates together, and are asked for many
// times as many through all gates at once, or through one. With equal shares of a limit
// below a request a second and gate nobody could send one, and without lots each gate
// would send one at the same moment.
func TestFewRequestsOverManyGates(t *testing.T) {
	t.Parallel()
	for _, gates := range []int{2, 4, 26, 68} {
		for _, rate := range []float64{0.3, 1.5, 12} {
			for name, change := range map[string]func(c *scene){
				"all": func(*scene) {},
				"one": func(c *scene) { c.places = 1 },
				"cut": func(c *scene) { c.events = cutSixth() },
				"killed": func(c *scene) {
					c.events = map[time.Duration]func(*simulation){11 * time.Second: each(everybody, killed)}
				},
				"lost": func(c *scene) { c.loss = 0.33 },
			} {
				t.Run(fmt.Sprintf("%s, %v a second, %d gates", name, rate, gates), func(t *testing.T) {
					t.Parallel()
					s := simulate(fewScene(rate, gates, 10+5/rate, change), counting, 1)
					used := s.given / (rate * s.length.Seconds())
					t.Logf("%s: %.2f of the bound, %.2f of the limit used", t.Name(), s.most(), used)
					if s.most() > 1 {
						t.Errorf("%.2f of what is tolerated", s.most())
					}
				})
			}
		}
	}
}

func cutSixth() map[time.Duration]func(*simulation) {
	return map[time.Duration]func(*simulation){
		6 * time.Second:  each(everySixth, func(s *simulation, i int) { s.cut[i] = true }),
		14 * time.Second: each(everySixth, func(s *simulation, i int) { s.cut[i] = false }),
	}
}

// Whatever befalls the gates, in any order, a server's limit lets no more through than is
// tolerated.
func TestNoServerIsSentMoreThanItTakes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 20).Draw(t, "rate")
		c := fewScene(rate, rapid.IntRange(1, 40).Draw(t, "gates"), rapid.Float64Range(1, 30).Draw(t, "hot"), func(c *scene) {
			c.places = rapid.IntRange(1, c.gates).Draw(t, "places")
			c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			c.length = 16 * time.Second
			c.events = make(map[time.Duration]func(*simulation))
		})
		for range rapid.IntRange(0, 3).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "at")) * time.Millisecond
			every := rapid.IntRange(1, 8).Draw(t, "every")
			picks := func(i int) bool { return i%every == 0 }
			if rapid.Bool().Draw(t, "cut") {
				c.events[at] = each(picks, func(s *simulation, i int) { s.cut[i] = !s.cut[i] })
			} else {
				c.events[at] = each(picks, killed)
			}
		}
		if o := simulate(c, counting, rapid.Uint64().Draw(t, "seed")).most(); o > 1 {
			t.Fatalf("%.3f of what is tolerated", o)
		}
	})
}
