package beechagent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechqueue"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/state/beechrecord"
)

const recordTimeout = 2 * time.Second

// run processes one request from the queue to the last reply of its generation,
// which it always sets. Its stack frame exists as long as the request runs, so
// variables that only the start needs are in the separate function start.
func (a *Agent) run(ctx context.Context, g *generation, body []byte, deadline time.Time) {
	levels := indexLevels(g.request.Levels)
	a.index.AddWaiting(g.request.Salt, levels)
	defer a.index.RemoveWaiting(g.request.Salt, levels)
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	t := a.start(ctx, g, deadline, abort)
	if t == nil {
		return
	}
	last := t.execute(ctx, body)
	a.complete(t, last)
}

// start waits until the queue lets the request run. If the request is refused, it
// finishes the generation and returns nil.
func (a *Agent) start(ctx context.Context, g *generation, deadline time.Time, abort context.CancelCauseFunc) *attempt {
	id := a.lastRequestID.Add(1)
	refuse, err := a.scheduler.acquire(ctx, a.queueRequest(&g.request, id, deadline))
	switch {
	case refuse != nil:
		a.finishGeneration(g, a.refusal(refusalReason(refuse.Reason), refuse.RetryAfter, "the queue refused it: %s", refuse.Reason))
		return nil
	case err != nil:
		a.finishGeneration(g, a.refusal(beechwire.ReasonCancelled, 0, "given up while it waited"))
		return nil
	}
	if reply := a.admitBackoff(); reply != nil {
		a.scheduler.finish(id, beechqueue.Usage{})
		a.finishGeneration(g, reply)
		return nil
	}
	if reply := a.admitPoison(&g.request); reply != nil {
		a.scheduler.finish(id, beechqueue.Usage{})
		a.finishGeneration(g, reply)
		return nil
	}
	report, alive := a.backend.last()
	if !alive {
		// The server crashed while the request waited. If the request were sent
		// now, it would fail and be suspected of having caused that crash.
		a.scheduler.finish(id, beechqueue.Usage{})
		a.finishGeneration(g, a.refusal(beechwire.ReasonServer, shortRetryDelay, "the backend server does not answer"))
		return nil
	}
	t := &attempt{agent: a, generation: g, id: id, incarnation: report.Incarnation, startedAt: a.clock.Now(), abort: abort}
	t.markProgress()
	a.running.add(id, newRun(t))
	return t
}

func (a *Agent) complete(t *attempt, last beechlink.Reply) {
	a.running.remove(t.id)
	a.scheduler.finish(t.id, beechqueue.Usage{Known: t.usageKnown, Prompt: t.usage.Prompt, Cached: t.usage.Cached, Output: t.usage.Output})
	a.finishGeneration(t.generation, last)
	a.answers.release(t.held)
	a.recordIfUnattached(t.generation)
}

// recordIfUnattached records the outcome if no stream is attached to the
// generation, so that no entry host will record it.
func (a *Agent) recordIfUnattached(g *generation) {
	if g.unattached() {
		a.record(g)
	}
}

// finishGeneration sets the last reply of a generation. Only complete answers are
// retained for callers that reconnect. A refusal proves that the request was not
// run, so its claim token may be used again.
func (a *Agent) finishGeneration(g *generation, last beechlink.Reply) {
	switch last.(type) {
	case beechlink.EndReply:
	case beechlink.RefusedReply:
		a.usedClaims.release(g.request.Claim)
		a.generations.remove(g)
	default:
		a.generations.remove(g)
	}
	g.finish(last, a.clock.Now())
}

func refusalReason(r beechqueue.Reason) string {
	if r == beechqueue.ReasonDeadline {
		return beechwire.ReasonDeadline
	}
	return beechwire.ReasonBusy
}

// record stores the outcome of a request that may not be repeated. Normally the
// entry host does this before it sends the answer to its caller. The agent does it
// if the entry host is lost, since a repeated request would otherwise get "unknown"
// although this agent knows the outcome.
func (a *Agent) record(g *generation) {
	r := &g.request
	status, contentType, body, ended := g.completeAnswer()
	if r.Claim == "" || !ended {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	outcome := beechrecord.Ran{Status: status, ContentType: contentType, Body: body}
	if err := a.finishWithinBudget(ctx, beechrecord.Key{Name: r.RecordKey}, r.Claim, outcome); err != nil {
		a.log.Warn("outcome not recorded", beechlog.RequestID(r.ID), beechlog.Step("record"), zap.Error(err))
	}
}
