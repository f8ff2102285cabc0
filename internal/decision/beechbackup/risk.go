package beechbackup

import (
	"slices"
	"time"
)

// Risk estimates how often engines crash, from the crashes of the last seconds. The zero value has seen
// none. It is not safe for concurrent use.
type Risk struct{ crashes []time.Time }

const (
	// riskWindow is the time in which crashes are counted. What makes engines crash (bad requests, a
	// release, a failing rack) mostly goes on for some seconds.
	riskWindow = 8 * time.Second
	// sameMoment is within which keepers notice what happens to several engines at once.
	sameMoment = time.Second
	// maxCrashes bounds memory.
	maxCrashes = 1024
)

// RecordCrash records that an engine has crashed.
func (r *Risk) RecordCrash(now time.Time) {
	r.crashes = append(r.crashes, now)
	if excess := len(r.crashes) - maxCrashes; excess > 0 {
		r.crashes = slices.Delete(r.crashes, 0, excess)
	}
}

// Rate returns how often each of the given number of engines crashes, per second. It is 0 while all
// crashes were of one moment: a rack without power says nothing of what follows.
func (r *Risk) Rate(engines int, now time.Time) float64 {
	r.crashes = slices.DeleteFunc(r.crashes, func(at time.Time) bool { return now.Sub(at) > riskWindow })
	if len(r.crashes) == 0 || r.crashes[len(r.crashes)-1].Sub(r.crashes[0]) <= sameMoment {
		return 0
	}
	return float64(len(r.crashes)) / float64(max(engines, 1)) / riskWindow.Seconds()
}
