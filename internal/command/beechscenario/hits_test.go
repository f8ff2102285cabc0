package beechscenario

import (
	"fmt"
	"math"
	"strconv"
)

// fewestPrompts is how many answers a hit rate must rest on.
const fewestPrompts = 50

// hits NAME: the prefix hit rate of the calls that ended since the last hits is
// kept under the name.
func commandHits(w *world, arguments []string) error {
	if len(arguments) != 1 {
		return usage("hits NAME")
	}
	calls := w.allCalls()
	var prompt, cached, answers int
	for _, c := range calls[min(w.counted, len(calls)):] {
		c.mu.Lock()
		if c.prompt > 0 {
			prompt += c.prompt
			cached += c.cached
			answers++
		}
		c.mu.Unlock()
	}
	w.counted = len(calls)
	if answers < fewestPrompts {
		return fmt.Errorf("only %d answers for a hit rate", answers)
	}
	if w.hits == nil {
		w.hits = map[string]float64{}
	}
	w.hits[arguments[0]] = 100 * float64(cached) / float64(prompt)
	w.t.Logf("hit rate %s: %.1f%% of %d answers", arguments[0], w.hits[arguments[0]], answers)
	return nil
}

// hitswithin POINTS BEFORE AFTER: the second hit rate is at most so many points
// behind the first.
func commandHitsWithin(w *world, arguments []string) error {
	if len(arguments) != 3 {
		return usage("hitswithin POINTS BEFORE AFTER")
	}
	points, err := strconv.ParseFloat(arguments[0], 64)
	if err != nil {
		return err
	}
	before, known := w.hits[arguments[1]]
	after, alsoKnown := w.hits[arguments[2]]
	if !known || !alsoKnown {
		return fmt.Errorf("no hit rate %s or %s", arguments[1], arguments[2])
	}
	if math.IsNaN(before-after) || before-after > points {
		return fmt.Errorf("hit rate fell from %.1f%% to %.1f%%", before, after)
	}
	return nil
}
