package beechqueue

import "time"

const (
	// ratioDecay is the weight of the previous ratio against one new sample, so
	// that about the last eight samples count.
	ratioDecay = 0.875

	// minPrediction is the shortest predicted time that is compared. For shorter
	// ones the ratio reflects the engine's fixed cost rather than its speed.
	minPrediction = 10 * time.Millisecond

	// initialRatio is used until there is a sample. It is above 1 because in an
	// initial burst all slots share the prefill rate at once.
	initialRatio = 1.25

	minRatio    = 0.5
	waitSamples = 16 // spanned by the moving averages of waits
	maxRatio    = 16
)

// slowdown tracks how much longer requests take than the server's reported rates
// predict, because prefills share the server, or because the server has slowed down
// and its load report lags. Without it the queue would accept requests that it
// cannot serve in time, and refuse them after they have waited. A ratio of 0 is not
// known yet.
type slowdown struct {
	prefillRatio                float64
	runRatio                    float64
	meanWait, meanPredictedWait time.Duration
}

// recordWait records the actual and the predicted wait of a started request.
// Averages are compared because the ratio of a single short wait is not meaningful.
func (s *slowdown) recordWait(took, predicted time.Duration) {
	s.meanWait += (took - s.meanWait) / waitSamples
	s.meanPredictedWait += (predicted - s.meanPredictedWait) / waitSamples
}

// waitRatio returns the ratio of actual to predicted waits.
func (s *slowdown) waitRatio() float64 {
	if s.meanPredictedWait < minPrediction {
		return 1
	}
	return min(max(float64(s.meanWait)/float64(s.meanPredictedWait), minRatio), maxRatio)
}

func (s *slowdown) recordPrefill(took, predicted time.Duration) {
	updateRatio(&s.prefillRatio, took, predicted)
}

func (s *slowdown) recordRun(took, predicted time.Duration) {
	updateRatio(&s.runRatio, took, predicted)
}

// updateRatio includes a sample in the moving average of a ratio.
func updateRatio(ratio *float64, took, predicted time.Duration) {
	if predicted < minPrediction {
		return
	}
	seen := min(max(float64(took)/float64(predicted), minRatio), maxRatio)
	if *ratio == 0 {
		*ratio = initialRatio
	}
	*ratio = ratioDecay**ratio + (1-ratioDecay)*seen
}

// scale multiplies a predicted duration by a ratio, or by initialRatio if it is
// unknown.
func scale(d time.Duration, ratio float64) time.Duration {
	if ratio == 0 {
		ratio = initialRatio
	}
	return time.Duration(float64(d) * ratio)
}
