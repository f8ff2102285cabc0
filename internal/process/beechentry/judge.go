package beechentry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechlog"
)

// judge decides after an attempt: again, or what the caller is told. A nil
// failure with again false is a job that is over.
func (e *Entry) judge(ctx context.Context, j *job, server netip.AddrPort, result attemptResult) (again bool, f *failure) {
	if j.missesText() {
		result = e.onlyThere(j, server, result)
	}
	switch h := result.(type) {
	case completed:
		return false, nil
	case callerLeft:
		j.unfollowed = true
		return false, e.leftFailure(ctx, j)
	case stale:
		return false, j.withRan(busy(http.StatusServiceUnavailable, "configuration_changing", time.Second, "the configuration is changing"))
	case expired:
		return e.judgeExpired(j)
	case unreachable:
		return e.judgeUnreachable(j)
	case refused:
		return e.judgeRefused(ctx, j, server, h)
	case interrupted:
		return e.judgeInterrupted(ctx, j, server, h)
	default:
		return false, nil
	}
}

func (e *Entry) leftFailure(ctx context.Context, j *job) *failure {
	f := &failure{Status: http.StatusGatewayTimeout, Type: typeServer, Code: "timeout", Ran: beechwire.RanUnknown, Message: "the caller's deadline passed"}
	switch {
	case j.sequence > 0:
		f.Ran = beechwire.RanYes
	case !j.sentTo.agent.IsValid():
		f.Ran = beechwire.RanNo
	}
	if e.detach(ctx) {
		f.Status = statusClientGone
		f.Code = "caller_gone"
		f.Message = "the caller went away"
	}
	return j.withRan(f)
}

// statusClientGone is what logs show for a caller that went away; nobody
// receives it.
const statusClientGone = 499

// judgeExpired handles a generation that was to be joined and is not kept any
// more. A request without its first pieces cannot be run from the middle.
func (e *Entry) judgeExpired(j *job) (bool, *failure) {
	if j.sequence == 0 && !j.missesText() && j.writer.fresh() && j.request.Repeatable {
		return true, nil
	}
	return false, expiredFailure()
}

// onlyThere is for an answer of which the caller has a part that is not known
// here. A run anywhere else would give it the rest of another answer, so whatever
// kept this one from being joined, it can only be asked for again where it is.
func (e *Entry) onlyThere(j *job, server netip.AddrPort, result attemptResult) attemptResult {
	switch h := result.(type) {
	case refused:
		e.log.Info("answer not joined", beechlog.RequestID(j.request.ID), beechlog.Step("join"), beechlog.Peer(server), zap.String("reason", h.Reason))
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
		return expired{} // its run failed, and what it had brought is not kept
	default:
		return result
	}
}

// judgeUnreachable handles a generation whose agent cannot be asked. A request
// of which its caller has nothing yet may run anew.
func (e *Entry) judgeUnreachable(j *job) (bool, *failure) {
	if !j.missesText() && j.writer.fresh() && j.request.Repeatable {
		return true, nil
	}
	return false, unreachableFailure()
}

func unreachableFailure() *failure {
	f := busy(http.StatusServiceUnavailable, "stream_unreachable", time.Second,
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

func (e *Entry) judgeRefused(ctx context.Context, j *job, server netip.AddrPort, h refused) (bool, *failure) {
	after := time.Duration(h.AfterMillis) * time.Millisecond
	if f := finalRefusal(h.Refused, after); f != nil {
		return false, j.withRan(f)
	}
	better, _ := netip.ParseAddrPort(h.Better)
	if server.IsValid() {
		j.tried = append(j.tried, server)
	}
	hasOther := better.IsValid() || len(e.fleet.router.Choose(j.routeRequest()).Ranked) > 0
	if !hasOther {
		return false, e.refusedFailure(j, h.Refused, after)
	}
	if e.pauseForRetry(ctx, j, e.decideRetry(j, beechretry.Outcome{Ran: beechretry.RanNo, Server: server, PreferredServer: better, Rejected: true})) {
		return true, nil
	}
	return false, e.refusedFailure(j, h.Refused, after)
}

// finalRefusal is for refusals that no other server would answer otherwise.
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

// refusedFailure is what a caller is told when no server would take the job.
// Where earlier attempts ran, it must not say that nothing did.
func (e *Entry) refusedFailure(j *job, r beechwire.Refused, after time.Duration) *failure {
	var f *failure
	switch r.Reason {
	case beechwire.ReasonDeadline:
		f = busy(http.StatusServiceUnavailable, "deadline", after, "the first token would come after the caller's deadline")
	case beechwire.ReasonModel:
		f = busy(http.StatusServiceUnavailable, "no_server", after, "no backend server offers it now")
	default:
		f = busy(http.StatusServiceUnavailable, "busy", after, "every backend server that could run it is full")
	}
	return j.withRan(f)
}

// noteRan keeps the most that is known of all attempts: one that surely ran is
// not made doubtful by a later one that may have.
func (j *job) noteRan(ran string) {
	if j.ran != beechwire.RanYes {
		j.ran = ran
	}
}

// withRan keeps a refusal from saying that nothing ran where an earlier attempt
// did: the caller would send again what has partly been done, or count it as
// never begun.
func (j *job) withRan(f *failure) *failure {
	if j.ran != "" {
		f.Ran = j.ran
	}
	return f
}

func (e *Entry) judgeInterrupted(ctx context.Context, j *job, server netip.AddrPort, h interrupted) (bool, *failure) {
	j.noteRan(h.ran)
	e.numbers.Broken.Add(1)
	e.log.Warn("attempt broken", beechlog.RequestID(j.request.ID), beechlog.Attempt(j.request.Attempt), beechlog.Step("run"),
		beechlog.Peer(server), beechlog.Workspace(j.workspace.Name), zap.String("reason", h.reason), zap.Bool("crashed", h.crashed))
	if j.ended && !j.request.WantsUsage {
		return false, e.closeComplete(j)
	}
	f := &failure{
		Status: http.StatusBadGateway, Type: typeServer, Code: "server_failed", Ran: j.ran,
		Message: "the backend server did not finish its answer",
	}
	j.unfollowed = h.reason == beechwire.ReasonGone
	if h.reason == beechwire.ReasonTimeout {
		f.Status = http.StatusGatewayTimeout
		f.Code = "timeout"
		f.Message = "the caller's deadline passed"
		return false, f
	}
	if !j.canRunAgain() {
		return false, f
	}
	j.tried = append(j.tried, server)
	return e.pauseForRetry(ctx, j, e.decideRetry(j, beechretry.Outcome{Ran: beechretry.Ran(h.ran), Server: server})), f
}

// closeComplete ends an answer whose finish reason was already given: only the
// end mark of the stream was lost.
func (e *Entry) closeComplete(j *job) *failure {
	if err := j.writer.end(); err != nil {
		return e.goneCaller()
	}
	return nil
}

// canRunAgain tells whether another attempt can give the caller the rest: the
// request may be repeated, and either nothing was given yet or the text so far
// is all an engine needs.
func (j *job) canRunAgain() bool {
	if !j.request.Repeatable {
		return false
	}
	return j.writer.fresh() || j.resumable
}

// pauseForRetry waits as the budget says; false is no retry.
func (e *Entry) pauseForRetry(ctx context.Context, j *job, decision beechretry.Decision) bool {
	retry, ok := decision.(beechretry.Retry)
	if !ok {
		return false
	}
	e.numbers.Retries.Add(1)
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

// note keeps the text of a piece and whether it carried the finish reason.
func (j *job) note(data []byte) {
	chunk, err := beechbackend.ParseChunk(data)
	if err != nil {
		j.resumable = false
		return
	}
	j.text = append(j.text, chunk.Text...)
	j.ended = j.ended || chunk.Finish != ""
}

// decideRetry asks the budget about an attempt that was refused or broken.
func (e *Entry) decideRetry(j *job, outcome beechretry.Outcome) beechretry.Decision {
	outcome.Attempt = j.request.Attempt
	outcome.Repeatable = j.request.Repeatable
	outcome.Deadline = j.deadline
	return e.budget.Decide(outcome)
}
