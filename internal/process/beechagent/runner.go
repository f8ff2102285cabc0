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

// run takes one request from the queue to its last reply. It always sets one.
// The frames below stay on the stack of every running request, so what only
// the start needs is in begins.
func (a *Agent) run(ctx context.Context, g *generation, body []byte, deadline time.Time) {
	levels := indexLevels(g.request.Levels)
	a.index.Queued(g.request.Salt, levels)
	defer a.index.Left(g.request.Salt, levels)
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	t := a.begins(ctx, g, deadline, abort)
	if t == nil {
		return
	}
	last := t.execute(ctx, body)
	a.ends(t, last)
}

// begins waits until the queue lets the request run. It returns nil for one
// that was refused, after telling so.
func (a *Agent) begins(ctx context.Context, g *generation, deadline time.Time, abort context.CancelCauseFunc) *attempt {
	id := a.work.Add(1)
	refuse, err := a.scheduler.acquire(ctx, a.workOf(&g.request, id, deadline))
	switch {
	case refuse != nil:
		a.close(g, a.refusal(queueReason(refuse.Reason), refuse.RetryAfter, "the queue refused it: %s", refuse.Reason))
		return nil
	case err != nil:
		a.close(g, a.refusal(beechwire.ReasonCancelled, 0, "given up while it waited"))
		return nil
	}
	report, alive := a.view.last()
	if !alive {
		// The server died while this waited. Sent now it would be broken by a
		// crash that it had no part in, and be taken for the cause.
		a.scheduler.finish(id, beechqueue.Usage{})
		a.close(g, a.refusal(beechwire.ReasonServer, retrySoon, "the backend server does not answer"))
		return nil
	}
	t := &attempt{agent: a, generation: g, id: id, incarnation: report.Incarnation, began: a.clock.Now(), abort: abort}
	t.move()
	a.running.add(id, run{
		fingerprint: g.request.Fingerprint,
		model:       modelKey(g.request.Model, g.request.Weights),
		incarnation: report.Incarnation,
		attempt:     t,
	})
	return t
}

func (a *Agent) ends(t *attempt, last beechlink.Reply) {
	a.running.remove(t.id)
	a.scheduler.finish(t.id, beechqueue.Usage{Known: t.usageKnown, Prompt: t.usage.Prompt, Cached: t.usage.Cached, Output: t.usage.Output})
	a.close(t.generation, last)
	a.recordIfAlone(t.generation)
}

// recordIfAlone records the outcome where no entry host has the answer, or is
// being given it.
func (a *Agent) recordIfAlone(g *generation) {
	if g.alone() {
		a.record(g)
	}
}

// close gives a generation its last reply. Only a whole answer is kept for
// callers that reconnect. A refusal proves that the request was not run, so
// its token may be used again.
func (a *Agent) close(g *generation, last beechlink.Reply) {
	switch last.(type) {
	case beechlink.EndReply:
	case beechlink.RefusedReply:
		a.used.release(g.request.Claim)
		a.library.remove(g)
	default:
		a.library.remove(g)
	}
	g.finish(last, a.clock.Now())
}

func queueReason(r beechqueue.Reason) string {
	if r == beechqueue.ReasonDeadline {
		return beechwire.ReasonDeadline
	}
	return beechwire.ReasonBusy
}

// record writes the outcome of a request that may not be repeated. The entry
// host does so before its caller sees the answer; this is for an entry host
// that is gone, since a repeat would otherwise be told that the outcome is
// unknown although this agent knows it.
func (a *Agent) record(g *generation) {
	r := &g.request
	status, contentType, body, ended := g.whole()
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
