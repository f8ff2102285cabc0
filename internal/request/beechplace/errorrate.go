package beechplace

import (
	"math"
	"time"
)

// errorRate estimates the share of a server's recent answers that are errors. A server that
// fails at once has no load and is therefore the cheapest; without this cost, it receives
// most requests, while the servers that work stand idle.
type errorRate struct {
	share     float64
	updatedAt time.Time
}

const (
	errorSampleWeight = 0.25
	// errorHalfLife lets a server that works again receive requests soon.
	errorHalfLife = time.Second
	// minErrorShare is treated as none, so that servers of equal cost share requests again.
	minErrorShare = 0.05
	// costlyErrorShare is above the share of a single recent error, which may be the fault of its
	// request and would move other callers away from their cached prompts.
	costlyErrorShare = 0.3
)

// at returns the estimated share, which halves over errorHalfLife without answers.
func (e *errorRate) at(now time.Time) float64 {
	share := e.share * math.Exp2(-float64(now.Sub(e.updatedAt))/float64(errorHalfLife))
	if share < minErrorShare {
		return 0
	}
	return share
}

// costly returns the share that costs a server requests.
func (e *errorRate) costly(now time.Time) float64 {
	if share := e.at(now); share >= costlyErrorShare {
		return share
	}
	return 0
}

func (e *errorRate) record(failed bool, now time.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	share := e.at(now)
	e.share, e.updatedAt = share+errorSampleWeight*(sample-share), now
}
