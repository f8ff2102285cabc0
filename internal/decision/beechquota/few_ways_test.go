package beechquota

import "testing"

// usedLeast of a limit must be used where callers ask for more than it.
const usedLeast = 0.5

// Ways to keep a limit of few requests a second over many gates, side by side; with -v
// they are printed. What is counted together must hold the bound and use the limit where
// shares and owners do not.
func TestFewRequestsSideBySide(t *testing.T) {
	t.Parallel()
	for _, gates := range []int{4, 26, 68} {
		for _, rate := range []float64{0.3, 1.5, 12} {
			for _, w := range []struct {
				name string
				way  way
			}{{"together", counting}, {"equal shares", equalShares}, {"shares by use", sharesByUse}, {"one owner", oneOwner}} {
				all := simulate(fewScene(rate, gates, 10+5/rate, func(*scene) {}), w.way, 1)
				cut := simulate(fewScene(rate, gates, 10+5/rate, func(c *scene) { c.events = cutSixth() }), w.way, 1)
				few := simulate(fewScene(rate, gates, 1.5, func(c *scene) { c.places = 1 }), w.way, 1)
				used := func(s *simulation) float64 { return s.given / (rate * s.length.Seconds()) }
				if w.way == counting && (max(all.most(), cut.most(), few.most()) > 1 || min(used(all), used(cut), used(few)) < usedLeast) {
					t.Errorf("counted together, %d gates, %v a second: beyond the bound, or idle", gates, rate)
				}
				t.Logf("%d gates, %v a second, %s: most %.2f, used %.2f; cut: most %.2f, used %.2f; one gate: most %.2f, used %.2f",
					gates, rate, w.name, all.most(), used(all), cut.most(), used(cut), few.most(), used(few))
			}
		}
	}
}
