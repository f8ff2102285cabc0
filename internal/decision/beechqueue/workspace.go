package beechqueue

import "time"

const (
	// maxWorkspaces bounds the number of workspaces with recorded statistics.
	maxWorkspaces = 1024

	// statsDecay is the weight of the previous average against one new sample, so
	// that about the last eight samples count.
	statsDecay = 0.875

	// maxOutputRatio bounds the ratio of actual to estimated output.
	maxOutputRatio = 4.0

	// startRateLifetime is how long a workspace's rate of starts is used. An older
	// rate describes a load that is gone.
	startRateLifetime = 10 * time.Second

	// A workspace with backlogSize requests waiting offers more load than it is
	// served, and later requests of others will overtake it. Its predictions are
	// multiplied by backlogMargin before they are compared with a deadline. Under
	// saturation at twice the capacity, over 30 seeds, 0.16% of all refusals hit
	// requests that were already waiting with a margin of 1.0, and 0.02% to 0.03%
	// with 1.4, at the same useful work. With 1.6 useful work falls in the worst
	// seed.
	backlogSize   = 2
	backlogMargin = 1.4
)

// stats holds what is recorded of a workspace.
type stats struct {
	outputRatio float64 // actual against estimated output
	startedCost float64 // decayed sum of the costs started after waiting
	startedTime float64 // seconds that these starts took, decayed likewise
	lastStart   time.Time
}

// statsOf returns a copy of a workspace's statistics, or the defaults.
func (q *Queue) statsOf(workspace string) stats {
	if s, ok := q.workspaceStats.Peek(workspace); ok {
		return *s
	}
	return stats{outputRatio: 1}
}

// mutableStats returns a workspace's statistics for an update, created if missing.
func (q *Queue) mutableStats(workspace string) *stats {
	if s, ok := q.workspaceStats.Get(workspace); ok {
		return s
	}
	s := &stats{outputRatio: 1}
	q.workspaceStats.Add(workspace, s)
	return s
}

// recordOutput updates the ratio of actual to estimated output of a workspace.
func (q *Queue) recordOutput(it *item, u Usage) {
	if !u.Known || u.Output <= 0 {
		return
	}
	seen := min(float64(clampTokens(u.Output))/float64(it.OutputTokens), maxOutputRatio)
	s := q.mutableStats(it.Workspace)
	s.outputRatio = statsDecay*s.outputRatio + (1-statsDecay)*seen
}

// recordStart updates the rate at which the waiting requests of a workspace start.
func (q *Queue) recordStart(it *item) {
	s := q.mutableStats(it.Workspace)
	since := it.arrivedAt
	if s.lastStart.After(since) {
		since = s.lastStart
	}
	if q.now.Sub(s.lastStart) > startRateLifetime {
		s.startedCost, s.startedTime = 0, 0
	}
	s.lastStart = q.now
	s.startedCost = statsDecay*s.startedCost + float64(it.cost)
	s.startedTime = statsDecay*s.startedTime + q.now.Sub(since).Seconds()
}

// backlogWait predicts the wait of an item whose workspace has a backlog, from the
// rate of the workspace's recent starts. The current queue does not show how many
// requests of others will arrive and be served meanwhile; this rate does.
func (q *Queue) backlogWait(it *item) time.Duration {
	f := q.classes[it.Priority].flows[it.Workspace]
	s := q.statsOf(it.Workspace)
	if !f.hasBacklog() || s.startedCost <= 0 || q.now.Sub(s.lastStart) > startRateLifetime {
		return 0
	}
	return time.Duration(float64(f.cost+it.cost) * s.startedTime / s.startedCost * float64(time.Second))
}

// withMargin returns the prediction that is compared with a deadline.
func (q *Queue) withMargin(it *item, first time.Duration) time.Duration {
	if q.classes[it.Priority].flows[it.Workspace].hasBacklog() {
		return scale(first, backlogMargin)
	}
	return first
}

func (f *flow) hasBacklog() bool { return f != nil && len(f.items) >= backlogSize }
