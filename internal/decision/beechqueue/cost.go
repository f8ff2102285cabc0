package beechqueue

import (
	"math"
	"time"
)

const (
	// maxTokens bounds every token count. A larger count is an error of its sender,
	// and sums of counts must not overflow.
	maxTokens = 1 << 24

	// maxLevels bounds the prefix chain; deeper levels are ignored.
	maxLevels = 64

	maxWeight = 1000

	// stallSlack is added to twice the predicted prefill time to get the time after
	// which a prefill counts as stalled.
	stallSlack = 500 * time.Millisecond

	// runTimeSamples is the number of runs that the moving average of run times
	// spans.
	runTimeSamples = 8
)

// sanitize brings all fields of a request into valid ranges: counts from 0 to
// maxTokens, strictly growing levels, and no more cached than prompt tokens.
func sanitize(r Request) Request {
	r.Priority = min(max(r.Priority, 0), classCount-1)
	r.PromptTokens = clampTokens(r.PromptTokens)
	r.OutputTokens = max(clampTokens(r.OutputTokens), 1)
	r.Levels = sanitizeLevels(r.Levels)
	if n := len(r.Levels); n > 0 {
		r.PromptTokens = max(r.PromptTokens, r.Levels[n-1].Tokens)
	}
	r.CachedTokens = min(clampTokens(r.CachedTokens), r.PromptTokens)
	return r
}

// sanitizeLevels cuts the chain at the first level that does not grow, exceeds
// maxTokens or repeats a key.
func sanitizeLevels(levels []Level) []Level {
	levels = levels[:min(len(levels), maxLevels)]
	previous := 0
	for i, l := range levels {
		if l.Tokens <= previous || l.Tokens > maxTokens || containsKey(levels[:i], l.Key) {
			return levels[:i]
		}
		previous = l.Tokens
	}
	return levels
}

func containsKey(levels []Level, k Key) bool {
	for _, l := range levels {
		if l.Key == k {
			return true
		}
	}
	return false
}

func clampTokens(n int) int { return min(max(n, 0), maxTokens) }

// sanitizeLoad replaces negative values by 0, which means unknown, and bounds
// excessive ones.
func sanitizeLoad(l Load) Load {
	l.Slots = max(l.Slots, 0)
	l.PrefillRate = clampTokens(l.PrefillRate)
	l.TokenTime = min(max(l.TokenTime, 0), time.Minute)
	return l
}

// uncached returns the number of prompt tokens that the engine has to compute.
func (it *item) uncached() int { return it.PromptTokens - it.CachedTokens }

// cost returns the estimated server time of an item, in tokens of prefill.
func (q *Queue) cost(it *item) int64 {
	return q.tokenCost(it.uncached(), it.OutputTokens)
}

// usageCost returns the cost of the usage that the server reported.
func (q *Queue) usageCost(u Usage) int64 {
	prompt := clampTokens(u.Prompt)
	cached := min(clampTokens(u.Cached), prompt)
	return q.tokenCost(prompt-cached, clampTokens(u.Output))
}

// tokenCost converts output tokens to tokens of prefill by the capacity that they
// occupy: an output token occupies one slot for TokenTime, during which the whole
// server could prefill TokenTime * PrefillRate tokens.
func (q *Queue) tokenCost(uncached, output int) int64 {
	perOutput := 1.0
	if q.load.PrefillRate > 0 && q.load.TokenTime > 0 && q.load.Slots > 0 {
		perOutput = q.load.TokenTime.Seconds() * float64(q.load.PrefillRate) / float64(q.load.Slots)
	}
	c := float64(uncached) + float64(output)*perOutput
	return int64(min(max(c, 1), math.MaxInt32))
}

// expectedOutput returns how many tokens the item is likely to generate. Callers
// state their maximum. Taken literally, it would make every full server look
// blocked for minutes, and requests with a deadline would be refused unnecessarily.
func (q *Queue) expectedOutput(it *item) float64 {
	return float64(it.OutputTokens) * q.statsOf(it.Workspace).outputRatio
}
