package beechentry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// finished closes a whole answer and learns from it.
func (e *Entry) finished(j *job, server netip.AddrPort, end beechwire.End) attemptResult {
	j.usage = end.Usage
	e.fleet.report(server, end.Load)
	e.learn(j, server, end)
	e.settle(j)
	if err := j.writer.end(); err != nil {
		return callerLeft{}
	}
	return completed{}
}

func (e *Entry) learn(j *job, server netip.AddrPort, end beechwire.End) {
	e.suspects.RecordSuccess(j.request.Fingerprint)
	firstToken := time.Duration(end.FirstTokenMicros) * time.Microsecond
	queued := time.Duration(end.QueueMicros) * time.Microsecond
	e.health.Observe(beechhealth.Sample{
		Server: server, Model: j.target(), FirstToken: firstToken - queued, Tokens: max(0, end.Usage.Prompt-end.Usage.Cached),
	})
	if j.request.Service != "" || !end.Usage.Known {
		return
	}
	e.estimator.Correct(j.request.PromptTokens, end.Usage.Prompt)
	e.fleet.router.RecordReply(beechroute.Reply{
		Server:       server,
		Incarnation:  e.fleet.incarnation(server),
		Model:        j.target(),
		Levels:       j.routeLevels(),
		PromptTokens: end.Usage.Prompt,
		CachedTokens: end.Usage.Cached,
		FirstToken:   firstToken,
	})
}

func (e *Entry) refusedBy(server netip.AddrPort, r beechwire.Refused) attemptResult {
	e.fleet.report(server, r.Load)
	e.fleet.router.RecordRefusal(server, time.Duration(r.AfterMillis)*time.Millisecond)
	switch {
	case r.Reason == beechwire.ReasonGone:
		return expired{}
	case r.Reason == beechwire.ReasonGeneration && r.Generation > e.holder.Generation():
		return stale{}
	case r.Reason == beechwire.ReasonGeneration && r.Generation == e.holder.Generation():
		return stale{}
	}
	return refused{r}
}

func (e *Entry) failedBy(j *job, server netip.AddrPort, r beechwire.Failed) attemptResult {
	if r.Reason != beechwire.ReasonLeaving && r.Reason != beechwire.ReasonBusy { // of a join that was not taken
		e.health.Observe(beechhealth.Sample{Server: server, Model: j.target(), Failed: true})
	}
	if r.Crashed {
		j.request.Crashes++
		e.suspects.Merge([]beechsuspect.Record{{Fingerprint: j.request.Fingerprint, Crashes: j.request.Crashes}})
		e.fleet.dialer.PushHeartbeat()
	}
	return interrupted{ran: ranOf(r.Ran), crashed: r.Crashed, reason: r.Reason}
}

// readmit brings a job that was refused as stale under the newer
// configuration. Nothing of it ran.
func (e *Entry) readmit(ctx context.Context, j *job, agent netip.AddrPort) *failure {
	pulling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.pull(pulling, agent)
	configuration := e.holder.Current()
	workspace, known := configuration.Workspace(j.workspace.Name)
	if !known {
		return notRun(http.StatusUnauthorized, typeKey, "invalid_api_key", "the workspace was removed")
	}
	j.configuration = configuration
	j.workspace = workspace
	j.request.Generation = configuration.Generation
	if j.prompt == nil {
		return nil
	}
	return e.resolveModel(j)
}
