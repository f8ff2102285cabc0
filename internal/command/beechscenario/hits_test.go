package beechscenario

import (
	"fmt"
	"math"
	"strconv"
)

// minHitAnswers is the minimum number of responses for a hit rate.
const minHitAnswers = 50

// commandHits implements hits NAME: stores under the name the prefix hit rate of
// the calls that ended since the previous hits command.
func commandHits(d *deployment, arguments []string) error {
	if len(arguments) != 1 {
		return usage("hits NAME")
	}
	calls := d.endedCalls()
	var prompt, cached, answers int
	for _, c := range calls[min(d.hitsCounted, len(calls)):] {
		c.mu.Lock()
		if c.prompt > 0 {
			prompt += c.prompt
			cached += c.cached
			answers++
		}
		c.mu.Unlock()
	}
	d.hitsCounted = len(calls)
	if answers < minHitAnswers {
		return fmt.Errorf("too few responses for a hit rate: %d", answers)
	}
	if d.hits == nil {
		d.hits = map[string]float64{}
	}
	d.hits[arguments[0]] = 100 * float64(cached) / float64(prompt)
	d.t.Logf("hit rate %s: %.1f%% of %d answers", arguments[0], d.hits[arguments[0]], answers)
	return nil
}

// commandHitsWithin implements hitswithin POINTS BEFORE AFTER: checks that the
// second hit rate is at most POINTS percentage points below the first.
func commandHitsWithin(d *deployment, arguments []string) error {
	if len(arguments) != 3 {
		return usage("hitswithin POINTS BEFORE AFTER")
	}
	points, err := strconv.ParseFloat(arguments[0], 64)
	if err != nil {
		return err
	}
	before, known := d.hits[arguments[1]]
	after, alsoKnown := d.hits[arguments[2]]
	if !known || !alsoKnown {
		return fmt.Errorf("no hit rate %s or %s", arguments[1], arguments[2])
	}
	if math.IsNaN(before-after) || before-after > points {
		return fmt.Errorf("hit rate fell from %.1f%% to %.1f%%", before, after)
	}
	return nil
}
