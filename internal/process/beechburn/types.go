package beechburn

import "time"

// How a request ended, as far as an objective is concerned.
const (
	Served    Result = iota // the caller got its whole answer
	Refused                 // turned away for want of room: spends the allowance
	Failed                  // begun and not finished, or outcome unknown: spends it
	Limited                 // beyond the workspace's own limits: not counted
	Invalid                 // the caller's error: not counted
	Cancelled               // the caller went away: not counted
)

// OtherWorkspaces is the name under which workspaces beyond the limit are
// counted together.
const OtherWorkspaces = "(other)"

// What a Settings field of zero stands for.
const (
	DefaultWorkspaces = 10_000
	DefaultHistograms = 512
)

type (
	// Result is how a request ended.
	Result int

	// Objectives are what the deployment promises. A share is the part of
	// requests that must keep to it, as 0.95; 0 or a target of 0 switches one off.
	Objectives struct {
		ServedShare     float64       `json:"served_share"`
		FirstToken      time.Duration `json:"first_token_nanos"`
		FirstTokenShare float64       `json:"first_token_share"`
		Total           time.Duration `json:"total_nanos"`
		TotalShare      float64       `json:"total_share"`
	}

	// Settings are the objectives and the bounds of memory.
	Settings struct {
		Objectives Objectives
		Workspaces int // workspaces counted apart
		Histograms int // workspaces with percentiles
	}

	// Outcome is one request. FirstToken is 0 for what has none, as a plain
	// service's call. Wasted is prompt tokens that were computed although a
	// live engine held them.
	Outcome struct {
		Workspace  string
		Result     Result
		FirstToken time.Duration
		Total      time.Duration
		Prompt     int
		Cached     int
		Wasted     int
	}

	// Counts add up outcomes.
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

// add is the sum of both.
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

// count is what one outcome adds.
func (o Objectives) count(v Outcome) Counts {
	c := Counts{
		Prompt: natural(v.Prompt),
		Cached: natural(v.Cached),
		Wasted: natural(v.Wasted),
	}
	switch v.Result {
	case Served:
		c.Served = 1
		c.WithFirst = one(v.FirstToken > 0)
		c.LateFirst = one(o.FirstToken > 0 && v.FirstToken > o.FirstToken)
		c.LateTotal = one(o.Total > 0 && v.Total > o.Total)
	case Refused:
		c.Refused = 1
	case Failed:
		c.Failed = 1
	default:
		c.Excluded = 1
	}
	return c
}

// natural keeps a negative count, which only a fault could make, from turning
// into a huge one.
func natural(n int) uint64 {
	return uint64(max(n, 0))
}

func one(condition bool) uint64 {
	if condition {
		return 1
	}
	return 0
}
