package beechquota

import "testing"

// minUsed is the fraction of a limit that must be used when callers ask for more than the limit.
const minUsed = 0.5

// Compares strategies for a limit of a few requests per second over many gates, printed with -v.
// Shared counting must stay within the bounds and use the limit, where shares and a single owner
// do not.
func TestCompareStrategiesAtLowRate(t *testing.T) {
	t.Parallel()
	for _, gates := range []int{4, 26, 68} {
		for _, rate := range []float64{0.3, 1.5, 12} {
			for _, c := range []struct {
				name     string
				strategy strategy
			}{{"shared counting", sharedCounting}, {"equal shares", equalShares}, {"usage shares", usageShares}, {"one owner", oneOwner}} {
				all := simulate(lowRateScenario(rate, gates, 10+5/rate, func(*scenario) {}), c.strategy, 1)
				partitioned := simulate(lowRateScenario(rate, gates, 10+5/rate, func(s *scenario) { s.events = partitionSixth() }), c.strategy, 1)
				single := simulate(lowRateScenario(rate, gates, 1.5, func(s *scenario) { s.callerGates = 1 }), c.strategy, 1)
				used := func(s *simulation) float64 { return s.admittedSize / (rate * s.length.Seconds()) }
				if c.strategy == sharedCounting && (max(all.peak(), partitioned.peak(), single.peak()) > 1 || min(used(all), used(partitioned), used(single)) < minUsed) {
					t.Errorf("shared counting, %d gates, %v per second: peak %.2f of the bound, used %.2f of the limit", gates, rate,
						max(all.peak(), partitioned.peak(), single.peak()), min(used(all), used(partitioned), used(single)))
				}
				t.Logf("%d gates, %v per second, %s: peak %.2f, used %.2f; partition: peak %.2f, used %.2f; one gate: peak %.2f, used %.2f",
					gates, rate, c.name, all.peak(), used(all), partitioned.peak(), used(partitioned), single.peak(), used(single))
			}
		}
	}
}
