package beechgate

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// slowThreshold is the pace from which on an engine is listed as slow.
	slowThreshold = 1.2
	maxSlowListed = 8 // slow engines that are listed at most
)

// slowEngines returns the pace of the slowest engines that are notably slower than the median.
func slowEngines(paces map[string]float64) map[string]float64 {
	ids := slices.SortedFunc(maps.Keys(paces), func(x, y string) int { return cmp.Compare(paces[y], paces[x]) })
	slow := make(map[string]float64)
	for _, id := range ids[:min(len(ids), maxSlowListed)] {
		if paces[id] > slowThreshold {
			slow[id] = math.Round(paces[id]*100) / 100
		}
	}
	return slow
}
