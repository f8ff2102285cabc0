package beechqueue

import "time"

const (
	// maxHabits bounds the workspaces whose habits are remembered.
	maxHabits = 1024

	// habitMemory is the weight of what was seen before against one more
	// sample: about the last eight count.
	habitMemory = 0.875

	// maxOutput bounds a ratio of output against its estimate.
	maxOutput = 4.0

	// turnMemory is how long the rate of a workspace's turns is believed. An
	// older one tells of a crowd that has gone.
	turnMemory = 10 * time.Second

	// A workspace with backlog requests waiting asks for more than it gets, and
	// others that come later will pass it. Its predictions are held against a
	// deadline with this margin. In saturation at twice capacity, 30 seeds, the
	// share of refusals told late was 0.16% with 1.0 and 0.02% to 0.03% with
	// 1.4, at the same useful work; with 1.6 useful work falls in the worst
	// seed.
	backlog       = 2
	backlogMargin = 1.4
)

// habit is what the queue has learned of a workspace.
type habit struct {
	output   float64 // real output against the estimate
	turnCost float64 // started after waiting, lately
	turnTime float64 // seconds that this took
	turnAt   time.Time
}

func (q *Queue) habit(workspace string) habit {
	if h, ok := q.habits.Peek(workspace); ok {
		return *h
	}
	return habit{output: 1}
}

// learning gives the workspace's habit to change.
func (q *Queue) learning(workspace string) *habit {
	if h, ok := q.habits.Get(workspace); ok {
		return h
	}
	h := &habit{output: 1}
	q.habits.Add(workspace, h)
	return h
}

// learnOutput remembers how a workspace's outputs compare with their estimates.
func (q *Queue) learnOutput(it *item, u Usage) {
	if !u.Known || u.Output <= 0 {
		return
	}
	seen := min(float64(cleanTokens(u.Output))/float64(it.OutputTokens), maxOutput)
	h := q.learning(it.Workspace)
	h.output = habitMemory*h.output + (1-habitMemory)*seen
}

// learnTurn remembers at what rate a workspace that waits gets its turns.
func (q *Queue) learnTurn(it *item) {
	h := q.learning(it.Workspace)
	since := it.arrived
	if h.turnAt.After(since) {
		since = h.turnAt
	}
	if q.now.Sub(h.turnAt) > turnMemory {
		h.turnCost, h.turnTime = 0, 0
	}
	h.turnAt = q.now
	h.turnCost = habitMemory*h.turnCost + float64(it.cost)
	h.turnTime = habitMemory*h.turnTime + q.now.Sub(since).Seconds()
}

// turnWait predicts when an item of a workspace with a backlog has its turn,
// at the rate of the last ones. What waits now does not show how many of the
// others come and go meanwhile; the rate of one's own turns does.
func (q *Queue) turnWait(it *item) time.Duration {
	f := q.classes[it.Priority].flows[it.Workspace]
	h := q.habit(it.Workspace)
	if !f.hasBacklog() || h.turnCost <= 0 || q.now.Sub(h.turnAt) > turnMemory {
		return 0
	}
	return time.Duration(float64(f.cost+it.cost) * h.turnTime / h.turnCost * float64(time.Second))
}

// sure is the prediction that is held against a deadline.
func (q *Queue) sure(it *item, first time.Duration) time.Duration {
	if q.classes[it.Priority].flows[it.Workspace].hasBacklog() {
		return stretch(first, backlogMargin)
	}
	return first
}

func (f *flow) hasBacklog() bool { return f != nil && len(f.items) >= backlog }
