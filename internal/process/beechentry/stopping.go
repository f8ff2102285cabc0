package beechentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechstop"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
)

const (
	stopMargin     = 600 * time.Millisecond // between the end of the process and that of the grace
	lastAnswerTime = 200 * time.Millisecond // for the answers to callers whose requests are under way at the end
	codeStopping   = "host_stopping"
)

var (
	// errStopping ends the context of a request that is under way when the process ends.
	errStopping = errors.New("the host has stopped")
	errCut      = errors.New("requests were under way at the end of the grace")
)

// beginStop decides on the course of the stop. Callers often give no deadline, so requests are taken
// without one while half of the grace is left.
func (e *Entry) beginStop() beechstop.Plan {
	grace := time.Duration(e.settings.Limits.Grace)
	plan := beechstop.New(e.clock.Now(), beechstop.Settings{Grace: grace, Notice: drainDelay, TakeAll: grace, KillMargin: stopMargin, AnswerTime: lastAnswerTime})
	e.stopPlan.Store(&plan)
	e.draining.Store(true)
	return plan
}

// refuseStopping returns the failure for a request that this process may not be able to answer before it
// ends, or nil.
func (e *Entry) refuseStopping(r *http.Request) *failure {
	plan := e.stopPlan.Load()
	if plan == nil {
		return nil
	}
	now, deadline := e.clock.Now(), time.Time{}
	if timeout, f := callerDeadline(r); f == nil && timeout > 0 {
		deadline = now.Add(timeout)
	}
	if plan.Takes(now, deadline) {
		return nil
	}
	e.counters.RefusedStopping.Add(1)
	return stoppingFailure(plan.RetryAfter(now))
}

func stoppingFailure(after time.Duration) *failure {
	return retryLater(http.StatusServiceUnavailable, codeStopping, after, "this entry host is stopping")
}

// untilEnd returns a context that ends with errStopping when requests that are under way get their last
// answers.
func (e *Entry) untilEnd(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(e.ending, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// stoppedFailure is the last answer to a job. What was sent goes on at its agent: a stream can be joined
// through another entry host, and the outcome of a request that may not be repeated is recorded there.
func (e *Entry) stoppedFailure(j *job) *failure {
	e.counters.EndedByStop.Add(1)
	e.limitLog.Warn("request ended by the stop", beechlog.RequestID(j.request.ID), beechlog.Step("drain"), beechlog.Workspace(j.workspace.Name), zap.Uint64("pieces", j.sequence))
	f := j.withRan(stoppingFailure(0))
	if f.Ran == beechwire.RanNo && j.sentTo.agent.IsValid() {
		f.Ran = beechwire.RanUnknown
	}
	if j.sequence > 0 {
		f.Ran = beechwire.RanYes
	}
	if f.Ran != beechwire.RanNo {
		f.Status, f.After = http.StatusBadGateway, 0
	}
	return f
}

// endBodyRead has a body that is being received fail when the process ends. The returned function undoes
// that.
func (e *Entry) endBodyRead(w http.ResponseWriter) func() bool {
	return context.AfterFunc(e.ending, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(0, 0)) })
}
