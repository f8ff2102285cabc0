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

// completeAnswer ends the caller's answer and updates the statistics with the
// reply.
func (e *Entry) completeAnswer(j *job, server netip.AddrPort, end beechwire.End) attemptResult {
	j.usage = end.Usage
	e.fleet.recordLoad(server, end.Load)
	e.recordReply(j, server, end)
	e.recordOutcome(j)
	if err := j.writer.end(); err != nil {
		return callerGone{}
	}
	return completed{}
}

// recordReply updates suspects, server health, the token estimate and the router
// with a complete answer.
func (e *Entry) recordReply(j *job, server netip.AddrPort, end beechwire.End) {
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

// classifyRefusal records the load and the refusal, and returns the result of
// the attempt.
func (e *Entry) classifyRefusal(server netip.AddrPort, r beechwire.Refused) attemptResult {
	e.fleet.recordLoad(server, r.Load)
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

// recordFailure records the failure, and a crash if there was one, and returns
// the result of the attempt.
func (e *Entry) recordFailure(j *job, server netip.AddrPort, r beechwire.Failed) attemptResult {
	if r.Reason != beechwire.ReasonLeaving && r.Reason != beechwire.ReasonBusy { // these refuse a join; the server did not fail
		e.health.Observe(beechhealth.Sample{Server: server, Model: j.target(), Failed: true})
	}
	if r.Crashed {
		j.request.Crashes++
		e.suspects.Merge([]beechsuspect.Record{{Fingerprint: j.request.Fingerprint, Crashes: j.request.Crashes}})
		e.fleet.dialer.PushHeartbeat()
	}
	return interrupted{ran: parseRan(r.Ran), crashed: r.Crashed, reason: r.Reason}
}

// refreshConfiguration fetches the agent's configuration and applies it to a
// job that was refused as stale. Nothing of the job ran.
func (e *Entry) refreshConfiguration(ctx context.Context, j *job, agent netip.AddrPort) *failure {
	pulling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.pull(pulling, agent)
	return e.renew(j)
}

// renew applies the configuration in force to a job of which nothing ran.
func (e *Entry) renew(j *job) *failure {
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
