package beechentry

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechlog"
)

// decideNext decides after an attempt whether to try again and otherwise what
// to tell the caller. If again is false, a nil failure means that the job is
// complete.
func (e *Entry) decideNext(ctx context.Context, j *job, server netip.AddrPort, result attemptResult) (again bool, f *failure) {
	if j.lacksEarlierText() {
		result = e.restrictToOriginalAgent(j, server, result)
	}
	switch h := result.(type) {
	case completed:
		return false, nil
	case callerGone:
		j.outcomePending = true
		return false, e.cancelledFailure(ctx, j)
	case stale:
		return false, j.withRan(retryLater(http.StatusServiceUnavailable, "configuration_changing", time.Second, "the configuration is changing"))
	case expired:
		return e.decideAfterExpired(j)
	case unreachable:
		return e.decideAfterUnreachable(j)
	case refused:
		return e.decideAfterRefused(ctx, j, server, h)
	case interrupted:
		return e.decideAfterInterrupted(ctx, j, server, h)
	default:
		return false, nil
	}
}

// cancelledFailure is the failure of a request whose caller disconnected or
// whose deadline passed.
func (e *Entry) cancelledFailure(ctx context.Context, j *job) *failure {
	if errors.Is(context.Cause(ctx), errStopping) {
		return e.stoppedFailure(j)
	}
	f := &failure{Status: http.StatusGatewayTimeout, Type: typeServer, Code: "timeout", Ran: beechwire.RanUnknown, Message: "the caller's deadline passed"}
	switch {
	case j.sequence > 0:
		f.Ran = beechwire.RanYes
	case !j.sentTo.agent.IsValid():
		f.Ran = beechwire.RanNo
	}
	if e.shouldDetach(ctx) {
		f.Status = statusCallerGone
		f.Code = "caller_gone"
		f.Message = "the caller went away"
	}
	return j.withRan(f)
}

// statusCallerGone is the status in logs for a caller that disconnected; it is
// never sent.
const statusCallerGone = 499

// decideAfterExpired handles a generation to be joined that its agent no longer
// keeps. The request may run anew only if the caller has received nothing: a
// run cannot start in the middle of an answer.
func (e *Entry) decideAfterExpired(j *job) (bool, *failure) {
	if j.sequence == 0 && !j.lacksEarlierText() && j.writer.nothingSent() && j.request.Repeatable {
		return true, nil
	}
	return false, expiredFailure()
}

// restrictToOriginalAgent adjusts the result for a caller that already has a
// part of an answer whose text is not known here. A run on another server would
// continue with a different answer, so whatever prevented the join, the rest
// can only be requested from the agent that holds the answer.
func (e *Entry) restrictToOriginalAgent(j *job, server netip.AddrPort, result attemptResult) attemptResult {
	switch h := result.(type) {
	case refused:
		e.log.Info("could not join the answer", beechlog.RequestID(j.request.ID), beechlog.Step("join"), beechlog.Peer(server), zap.String("reason", h.Reason))
		return unreachable{}
	case stale:
		return unreachable{}
	case interrupted:
		switch h.reason {
		case beechwire.ReasonGone, beechwire.ReasonLeaving, beechwire.ReasonBusy:
			return unreachable{}
		case beechwire.ReasonTimeout:
			return result
		}
		return expired{} // the run failed and its output was not kept
	default:
		return result
	}
}

// decideAfterUnreachable handles a generation whose agent cannot be reached.
// The request may run anew only if its caller has received nothing yet.
func (e *Entry) decideAfterUnreachable(j *job) (bool, *failure) {
	if !j.lacksEarlierText() && j.writer.nothingSent() && j.request.Repeatable {
		return true, nil
	}
	return false, unreachableFailure()
}

func unreachableFailure() *failure {
	f := retryLater(http.StatusServiceUnavailable, "stream_unreachable", time.Second,
		"the agent that keeps the answer cannot be reached now; ask for the rest again")
	f.Ran = beechwire.RanYes
	f.Joins = true
	return f
}

func expiredFailure() *failure {
	return &failure{
		Status: http.StatusGone, Type: typeInvalid, Code: "stream_gone", Ran: beechwire.RanUnknown,
		Message: "the answer is not kept any more; send the request again without " + headerLastEvent,
	}
}

func (e *Entry) decideAfterRefused(ctx context.Context, j *job, server netip.AddrPort, h refused) (bool, *failure) {
	after := time.Duration(h.AfterMillis) * time.Millisecond
	if f := finalRefusal(h.Refused, after); f != nil {
		return false, j.withRan(f)
	}
	better, _ := netip.ParseAddrPort(h.Better)
	if server.IsValid() {
		j.tried = append(j.tried, server)
	}
	// A server that says that the request never came there does not accept its claim any more.
	returns := h.Reason != beechwire.ReasonNever && e.fleet.rejoinTimeLeft(j.target()) > 0
	hasOther := better.IsValid() || len(e.fleet.router.Choose(j.routeRequest()).Ranked) > 0 || returns
	if !hasOther {
		return false, e.refusedFailure(j, h.Refused, after)
	}
	if e.pauseForRetry(ctx, j, e.decideRetry(j, beechretry.Outcome{Ran: beechretry.RanNo, Server: server, PreferredServer: better, Rejected: true})) {
		return true, nil
	}
	return false, e.refusedFailure(j, h.Refused, after)
}

// finalRefusal returns the failure for refusals that every other server would
// repeat, and nil for all others.
func finalRefusal(r beechwire.Refused, after time.Duration) *failure {
	switch r.Reason {
	case beechwire.ReasonSuspect:
		f := notRun(http.StatusUnprocessableEntity, typeInvalid, "request_crashes_servers",
			"each backend server that ran this request crashed; it is not run again for a while")
		f.After = after
		return f
	case beechwire.ReasonMalformed:
		return notRun(http.StatusBadRequest, typeInvalid, "malformed", "%s", r.Message)
	default:
		return nil
	}
}

// refusedFailure is the failure for a job that no server accepted. If earlier
// attempts ran, it must not claim that nothing did.
func (e *Entry) refusedFailure(j *job, r beechwire.Refused, after time.Duration) *failure {
	var f *failure
	switch r.Reason {
	case beechwire.ReasonDeadline:
		f = retryLater(http.StatusServiceUnavailable, "deadline", after, "the first token would come after the caller's deadline")
	case beechwire.ReasonModel:
		f = retryLater(http.StatusServiceUnavailable, "no_server", after, "no backend server offers it now")
	default:
		f = retryLater(http.StatusServiceUnavailable, "busy", after, "every backend server that could run it is full")
	}
	return j.withRan(f)
}

// recordRan keeps the most certain result of all attempts: a later attempt that
// may have run does not replace one that did run.
func (j *job) recordRan(ran string) {
	if j.ran != beechwire.RanYes {
		j.ran = ran
	}
}

// withRan puts the result of earlier attempts into a failure. A failure that
// claimed that nothing ran would let the caller resend a request that was
// partly executed, or count it as never started.
func (j *job) withRan(f *failure) *failure {
	if j.ran != "" {
		f.Ran = j.ran
	}
	return f
}

func (e *Entry) decideAfterInterrupted(ctx context.Context, j *job, server netip.AddrPort, h interrupted) (bool, *failure) {
	j.recordRan(h.ran)
	e.counters.Broken.Add(1)
	e.log.Warn("attempt broken", beechlog.RequestID(j.request.ID), beechlog.Attempt(j.request.Attempt), beechlog.Step("run"),
		beechlog.Peer(server), beechlog.Workspace(j.workspace.Name), zap.String("reason", h.reason), zap.Bool("crashed", h.crashed))
	if j.finishReasonSeen && !j.request.WantsUsage {
		return false, e.completeWithoutUsage(j)
	}
	f := &failure{
		Status: http.StatusBadGateway, Type: typeServer, Code: "server_failed", Ran: j.ran,
		Message: "the backend server did not finish its answer",
	}
	j.outcomePending = h.reason == beechwire.ReasonGone
	if h.reason == beechwire.ReasonTimeout {
		f.Status = http.StatusGatewayTimeout
		f.Code = "timeout"
		f.Message = "the caller's deadline passed"
		return false, f
	}
	if !j.canRetry() {
		return false, f
	}
	j.tried = append(j.tried, server)
	return e.pauseForRetry(ctx, j, e.decideRetry(j, beechretry.Outcome{Ran: beechretry.Ran(h.ran), Server: server})), f
}

// completeWithoutUsage ends an answer whose finish reason was already sent:
// only the end marker of the stream was lost.
func (e *Entry) completeWithoutUsage(j *job) *failure {
	if err := j.writer.end(); err != nil {
		return e.callerGoneFailure()
	}
	return nil
}

// canRetry reports whether another attempt can give the caller the rest: the
// request is repeatable, and either nothing was sent yet or the text so far is
// enough for an engine to continue.
func (j *job) canRetry() bool {
	if !j.request.Repeatable {
		return false
	}
	return j.writer.nothingSent() || j.resumable
}

// pauseForRetry waits for the delay that the retry budget set. It returns false
// if there is to be no retry.
func (e *Entry) pauseForRetry(ctx context.Context, j *job, decision beechretry.Decision) bool {
	retry, ok := decision.(beechretry.Retry)
	if !ok {
		return false
	}
	e.counters.Retries.Add(1)
	j.preferred = retry.Server
	if retry.Delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-e.clock.After(retry.Delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// recordText keeps the text of a piece and whether it carried the finish
// reason.
func (j *job) recordText(data []byte) {
	chunk, err := beechbackend.ParseChunk(data)
	if err != nil {
		j.resumable = false
		return
	}
	j.text = append(j.text, chunk.Text...)
	j.finishReasonSeen = j.finishReasonSeen || chunk.Finish != ""
}

// decideRetry asks the retry budget about an attempt that was refused or
// interrupted.
func (e *Entry) decideRetry(j *job, outcome beechretry.Outcome) beechretry.Decision {
	outcome.Attempt = j.request.Attempt
	outcome.Repeatable = j.request.Repeatable
	outcome.Deadline = j.deadline
	return e.budget.Decide(outcome)
}
