package beechqueue

import (
	"math"
	"time"
)

const (
	// maxTokens bounds every count that is told; more is a fault of the
	// sender, and sums of such counts must not overflow.
	maxTokens = 1 << 24

	// maxLevels bounds a chain; deeper levels are passed over.
	maxLevels = 64

	maxWeight = 1000

	// hangSlack is how much longer than twice its own time a prefill may take
	// before it counts as hanging.
	hangSlack = 500 * time.Millisecond

	// runMemory is how many runs the mean time of a run goes back.
	runMemory = 8
)

// clean gives every field of work a value that can be reckoned with: counts
// from 0 to maxTokens, levels that grow, no more cached than there is.
func clean(w Request) Request {
	w.Priority = min(max(w.Priority, 0), classCount-1)
	w.PromptTokens = cleanTokens(w.PromptTokens)
	w.OutputTokens = max(cleanTokens(w.OutputTokens), 1)
	w.Levels = cleanLevels(w.Levels)
	if n := len(w.Levels); n > 0 {
		w.PromptTokens = max(w.PromptTokens, w.Levels[n-1].Tokens)
	}
	w.CachedTokens = min(cleanTokens(w.CachedTokens), w.PromptTokens)
	return w
}

// cleanLevels cuts the chain at the first level that does not grow, that is
// absurd, or that is told twice.
func cleanLevels(levels []Level) []Level {
	levels = levels[:min(len(levels), maxLevels)]
	before := 0
	for i, l := range levels {
		if l.Tokens <= before || l.Tokens > maxTokens || repeated(levels[:i], l.Key) {
			return levels[:i]
		}
		before = l.Tokens
	}
	return levels
}

func repeated(levels []Level, k Key) bool {
	for _, l := range levels {
		if l.Key == k {
			return true
		}
	}
	return false
}

func cleanTokens(n int) int { return min(max(n, 0), maxTokens) }

// cleanLoad lets figures that are not known be 0 and bounds absurd ones.
func cleanLoad(l Load) Load {
	l.Slots = max(l.Slots, 0)
	l.PrefillRate = cleanTokens(l.PrefillRate)
	l.TokenTime = min(max(l.TokenTime, 0), time.Minute)
	return l
}

// uncached is the prompt that the engine has to compute.
func (it *item) uncached() int { return it.PromptTokens - it.CachedTokens }

// cost is the share of the server that the item is reckoned to take, in tokens
// of prefill.
func (q *Queue) cost(it *item) int64 {
	return q.tokenCost(it.uncached(), it.OutputTokens)
}

// usageCost is the same of what the server said it took.
func (q *Queue) usageCost(u Usage) int64 {
	prompt := cleanTokens(u.Prompt)
	cached := min(cleanTokens(u.Cached), prompt)
	return q.tokenCost(prompt-cached, cleanTokens(u.Output))
}

// tokenCost weighs output against prefill by what they keep busy: an output
// token holds one of the slots for TokenTime, in which the whole server could
// prefill TokenTime times PrefillRate tokens.
func (q *Queue) tokenCost(uncached, output int) int64 {
	perOutput := 1.0
	if q.load.PrefillRate > 0 && q.load.TokenTime > 0 && q.load.Slots > 0 {
		perOutput = q.load.TokenTime.Seconds() * float64(q.load.PrefillRate) / float64(q.load.Slots)
	}
	c := float64(uncached) + float64(output)*perOutput
	return int64(min(max(c, 1), math.MaxInt32))
}

// output is how many tokens the item is likely to give. Callers name their
// maximum; taken at its word it would make every full server look blocked for
// minutes, and work with a deadline would be refused without need.
func (q *Queue) output(it *item) float64 {
	return float64(it.OutputTokens) * q.habit(it.Workspace).output
}
