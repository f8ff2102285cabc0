package beechqueue

import "time"

const (
	// slowMemory is the weight of what was seen before against one more
	// sample: the last eight or so count.
	slowMemory = 0.875

	// minSample is the shortest prediction that is learned from; below it the
	// ratio says more about the engine's fixed cost than about its speed.
	minSample = 10 * time.Millisecond

	// prior is believed until something was seen: a burst at the start shares
	// the prefill among all slots at once.
	prior = 1.25

	minSlow    = 0.5
	waitMemory = 16
	maxSlow    = 16
)

// slowness is how much longer work takes than the server's own rates say: its
// prefill beside others', its whole run, a server that has slowed down and
// whose report lags. Without it the queue promises what cannot be kept, and
// work that was let wait is refused late. 0 is not known yet.
type slowness struct {
	prefill                 float64
	run                     float64
	waitTook, waitPredicted time.Duration
}

// learnWait takes the time that work waited for its start, and the time that
// was predicted. Means are compared, since the ratio of a short wait says little.
func (s *slowness) learnWait(took, predicted time.Duration) {
	s.waitTook += (took - s.waitTook) / waitMemory
	s.waitPredicted += (predicted - s.waitPredicted) / waitMemory
}

// wait is the ratio of real to predicted waits.
func (s *slowness) wait() float64 {
	if s.waitPredicted < minSample {
		return 1
	}
	return min(max(float64(s.waitTook)/float64(s.waitPredicted), minSlow), maxSlow)
}

func (s *slowness) learnPrefill(took, predicted time.Duration) {
	learn(&s.prefill, took, predicted)
}

func (s *slowness) learnRun(took, predicted time.Duration) {
	learn(&s.run, took, predicted)
}

func learn(ratio *float64, took, predicted time.Duration) {
	if predicted < minSample {
		return
	}
	seen := min(max(float64(took)/float64(predicted), minSlow), maxSlow)
	if *ratio == 0 {
		*ratio = prior
	}
	*ratio = slowMemory**ratio + (1-slowMemory)*seen
}

func stretch(d time.Duration, ratio float64) time.Duration {
	if ratio == 0 {
		ratio = prior
	}
	return time.Duration(float64(d) * ratio)
}
