// Package beechstop decides which requests a process takes between its stop signal and the end of its
// grace, when it is killed.
//
// A balancer goes on sending for a while, and callers use connections that they have kept. So a process
// that stops still takes every request at first, then those whose deadlines it can keep, and in the end
// answers whoever still waits before it closes its connections.
//
// # Usage
//
//	plan := beechstop.New(clock.Now(), beechstop.Settings{Grace: 8 * time.Second, Notice: 2500 * time.Millisecond, TakeAll: 2500 * time.Millisecond, KillMargin: 600 * time.Millisecond, AnswerTime: 200 * time.Millisecond})
//	if !plan.Takes(clock.Now(), deadline) {
//		// refuse the request; it has not run, and may be sent again after plan.RetryAfter
//	}
//	// at plan.CloseListener: accept no more connections
//	// at plan.Answer: answer the requests that are under way
//	// at plan.End: close the connections
package beechstop

import "time"

type (
	// Settings are the times of a stop.
	Settings struct {
		Grace      time.Duration // from the signal until the process is killed
		Notice     time.Duration // until the balancer has noticed that the process is not ready
		TakeAll    time.Duration // for which requests are taken whatever their deadlines, but for half of the time at most
		KillMargin time.Duration // between the end of the process and the end of the grace
		AnswerTime time.Duration // for the last answers to be written
	}

	// Plan is the course of one stop.
	Plan struct {
		RefuseLong    time.Time // from then on, requests are refused whose deadlines are after Answer
		CloseListener time.Time
		Answer        time.Time // when requests that are under way are answered
		End           time.Time // when connections are closed
	}
)

const (
	// maxMarginShare of a short grace is left after the end, and of the time before it for the last answers.
	maxMarginShare = 4
	// takeAllShare of the time until Answer has at most passed when a request is taken whose deadline is
	// later: it then has as much time left as one that came with the signal has had.
	takeAllShare = 2
)

// New returns the plan of a process that was told to stop.
func New(signal time.Time, s Settings) Plan {
	end := s.Grace - min(s.KillMargin, s.Grace/maxMarginShare)
	answer := end - min(s.AnswerTime, end/maxMarginShare)
	return Plan{
		RefuseLong:    signal.Add(min(s.TakeAll, answer/takeAllShare)),
		CloseListener: signal.Add(min(s.Notice, answer)),
		Answer:        signal.Add(answer),
		End:           signal.Add(end),
	}
}

// Takes reports whether a request is taken now. A zero deadline means none.
func (p Plan) Takes(now, deadline time.Time) bool {
	if !now.Before(p.Answer) {
		return false
	}
	return now.Before(p.RefuseLong) || !deadline.IsZero() && !deadline.After(p.Answer)
}

// Bound returns the deadline of a request that is taken: the process can receive no answer after its end.
func (p Plan) Bound(deadline time.Time) time.Time {
	if deadline.IsZero() || deadline.After(p.End) {
		return p.End
	}
	return deadline
}

// RetryAfter returns when a refused caller reaches another process. Until the listener is closed, the
// balancer may send it here again.
func (p Plan) RetryAfter(now time.Time) time.Duration { return max(p.CloseListener.Sub(now), 0) }
