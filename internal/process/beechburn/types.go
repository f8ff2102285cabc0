package beechburn

import "time"

// How a request ended, and whether it spends the error budget.
const (
	Served    Result = iota // the caller got its complete answer
	Refused                 // rejected for lack of capacity: spends the budget
	Failed                  // started and not finished, or outcome unknown: spends the budget
	Limited                 // over the workspace's own limits: excluded
	Invalid                 // the caller's error: excluded
	Cancelled               // the caller disconnected: excluded
)

// OtherWorkspaces is the name under which workspaces beyond the limit are
// counted together.
const OtherWorkspaces = "(other)"

// Defaults of Settings fields that are zero.
const (
	DefaultWorkspaces = 10_000
	DefaultHistograms = 512
)

type (
	// Result is how a request ended.
	Result int

	// Objectives are the service-level objectives of the deployment. A share is
	// the fraction of requests that must meet the objective, such as 0.95. A share
	// or a target of 0 disables the objective.
	Objectives struct {
		ServedShare     float64       `json:"served_share"`
		FirstToken      time.Duration `json:"first_token_nanos"`
		FirstTokenShare float64       `json:"first_token_share"`
		Total           time.Duration `json:"total_nanos"`
		TotalShare      float64       `json:"total_share"`
	}

	// Settings are the objectives and the limits of memory.
	Settings struct {
		Objectives Objectives
		Workspaces int // workspaces counted separately
		Histograms int // workspaces with percentiles
	}

	// Outcome is the outcome of one request. FirstToken is 0 for requests without
	// one, such as a plain service's call. Wasted is the number of prompt tokens
	// that were computed although a live engine held them.
	Outcome struct {
		Workspace  string
		Result     Result
		FirstToken time.Duration
		Total      time.Duration
		Prompt     int
		Cached     int
		Wasted     int
	}

	// Counts are sums over outcomes.
	Counts struct {
		Served    uint64 `json:"served,omitempty"`
		Refused   uint64 `json:"refused,omitempty"`
		Failed    uint64 `json:"failed,omitempty"`
		Excluded  uint64 `json:"excluded,omitempty"`   // limited, invalid or cancelled
		WithFirst uint64 `json:"with_first,omitempty"` // served with a first token
		LateFirst uint64 `json:"late_first,omitempty"`
		LateTotal uint64 `json:"late_total,omitempty"`
		Prompt    uint64 `json:"prompt_tokens,omitempty"`
		Cached    uint64 `json:"cached_tokens,omitempty"`
		Wasted    uint64 `json:"wasted_tokens,omitempty"`
	}
)

// add returns the sum of both.
func (c Counts) add(o Counts) Counts {
	c.Served += o.Served
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Excluded += o.Excluded
	c.WithFirst += o.WithFirst
	c.LateFirst += o.LateFirst
	c.LateTotal += o.LateTotal
	c.Prompt += o.Prompt
	c.Cached += o.Cached
	c.Wasted += o.Wasted
	return c
}

// count returns the counts of one outcome.
func (o Objectives) count(v Outcome) Counts {
	c := Counts{
		Prompt: nonNegative(v.Prompt),
		Cached: nonNegative(v.Cached),
		Wasted: nonNegative(v.Wasted),
	}
	switch v.Result {
	case Served:
		c.Served = 1
		c.WithFirst = boolToCount(v.FirstToken > 0)
		c.LateFirst = boolToCount(o.FirstToken > 0 && v.FirstToken > o.FirstToken)
		c.LateTotal = boolToCount(o.Total > 0 && v.Total > o.Total)
	case Refused:
		c.Refused = 1
	case Failed:
		c.Failed = 1
	default:
		c.Excluded = 1
	}
	return c
}

// nonNegative converts a count. A negative count, which only a bug could
// produce, becomes 0 instead of a huge number.
func nonNegative(n int) uint64 {
	return uint64(max(n, 0))
}

func boolToCount(condition bool) uint64 {
	if condition {
		return 1
	}
	return 0
}
