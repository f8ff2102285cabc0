package beechquota

import "testing"

// Ways to keep a limit of few requests a second over many gates, side by side.
// go test -v -run FewRequestsSideBySide prints them.
func TestFewRequestsSideBySide(t *testing.T) {
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
				t.Logf("%d gates, %v a second, %s: most %.2f, used %.2f; cut: most %.2f, used %.2f; one gate: most %.2f, used %.2f",
					gates, rate, w.name, all.most(), used(all), cut.most(), used(cut), few.most(), used(few))
			}
		}
	}
}
