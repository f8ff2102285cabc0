package beechagent

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechqueue"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

const (
	engineKind      = beechmanifest.KindEngine
	shortRetryDelay = time.Second
	pullTimeout     = time.Second
)

// refusal builds the reply for a request that was not run and counts it.
func (a *Agent) refusal(reason string, after time.Duration, format string, arguments ...any) beechlink.RefusedReply {
	a.counters.Refused.Add(1)
	return beechlink.RefusedReply{Refused: beechwire.Refused{
		Reason:      reason,
		Message:     fmt.Sprintf(format, arguments...),
		AfterMillis: after.Milliseconds(),
		Generation:  a.holder.Generation(),
		Load:        a.wireLoad(),
	}}
}

// admit checks a request against the current configuration and the state of the
// server. It returns nil if the request may be offered to the queue, and the
// reply to send otherwise.
func (a *Agent) admit(ctx context.Context, peer beechlink.Peer, r *beechwire.Request, body []byte) beechlink.Reply {
	if a.leaving.Load() {
		return a.refusal(beechwire.ReasonLeaving, shortRetryDelay, "backend server is leaving")
	}
	if reply := a.admitBackoff(); reply != nil {
		return reply
	}
	if len(body) != r.BodyBytes {
		return a.refusal(beechwire.ReasonMalformed, 0, "body has %d bytes, %d were announced", len(body), r.BodyBytes)
	}
	if sum := sha256.Sum256(body); len(r.BodyHash) > 0 && string(sum[:]) != string(r.BodyHash) {
		return a.refusal(beechwire.ReasonMalformed, 0, "body does not match its hash")
	}
	if reply := a.admitGeneration(ctx, peer, r); reply != nil {
		return reply
	}
	if reply := a.admitModel(r); reply != nil {
		return reply
	}
	return a.admitSuspect(r)
}

// admitBackoff refuses a request while the backend server has asked for none.
func (a *Agent) admitBackoff() beechlink.Reply {
	if remaining := a.backoff.Remaining(a.backendName()); remaining > 0 {
		return a.refusal(beechwire.ReasonBusy, remaining, "the backend server has asked for no requests")
	}
	return nil
}

// backendName names the backend server in the tracker of backoffs.
func (a *Agent) backendName() string { return a.settings.Backend.String() }

// admitGeneration compares the configuration generation under which the entry
// host admitted the request with the agent's own. If the entry host's is newer,
// the agent pulls it first. If it is older, the request is refused, and the
// refusal carries the newer generation, which the entry host then pulls. A
// resumed stream may keep the generation it started with, as long as the weights
// it started with are still loaded.
func (a *Agent) admitGeneration(ctx context.Context, peer beechlink.Peer, r *beechwire.Request) beechlink.Reply {
	if r.Generation > a.holder.Generation() {
		pulling, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		a.pullFrom(pulling, peer)
	}
	have := a.holder.Generation()
	if r.Generation > have {
		return a.refusal(beechwire.ReasonGeneration, shortRetryDelay, "agent has only generation %d", have)
	}
	if r.Generation < have && r.ResumeSequence == 0 {
		return a.refusal(beechwire.ReasonGeneration, 0, "generation %d is in force", have)
	}
	return nil
}

func (a *Agent) admitModel(r *beechwire.Request) beechlink.Reply {
	pool := a.pool()
	if pool == nil {
		return a.refusal(beechwire.ReasonModel, shortRetryDelay, "pool %s is not in the configuration", a.settings.Pool)
	}
	if r.Service != "" {
		return a.admitService(pool, r)
	}
	if model := modelKey(r.Model, r.Weights); !a.backend.serves(model) {
		return a.refusal(beechwire.ReasonModel, shortRetryDelay, "%s is not loaded", model)
	}
	return nil
}

func (a *Agent) admitService(pool *beechmanifest.Pool, r *beechwire.Request) beechlink.Reply {
	if pool.Service != r.Service {
		return a.refusal(beechwire.ReasonModel, 0, "service %s is not served here", r.Service)
	}
	if _, alive := a.backend.last(); !alive {
		return a.refusal(beechwire.ReasonBusy, shortRetryDelay, "service %s does not answer", r.Service)
	}
	if !r.Repeatable && r.Claim == "" {
		return a.refusal(beechwire.ReasonClaim, 0, "no token to run")
	}
	return nil
}

// admitSuspect refuses or isolates requests that were running when an engine
// crashed, since they may have caused the crash.
func (a *Agent) admitSuspect(r *beechwire.Request) beechlink.Reply {
	if r.Crashes > 0 {
		a.suspects.RecordAttempt(r.Fingerprint, r.Crashes)
	}
	switch v := a.suspects.Check(r.Fingerprint, a.poison.Explained(r.Fingerprint)).(type) {
	case beechsuspect.Refuse:
		return a.refusal(beechwire.ReasonSuspect, v.After, "the request was running each time an engine crashed")
	case beechsuspect.Isolate:
		r.Alone = true
	}
	return nil
}

// admitPoison refuses requests that have something on which servers crash. It is called when a request
// may run, since that may have become known while it waited.
func (a *Agent) admitPoison(r *beechwire.Request) beechlink.Reply {
	if r.Trial {
		return nil
	}
	switch v := a.poison.Check(beechconvert.PoisonRequest(r)).(type) {
	case beechpoison.Refuse:
		return a.refusal(beechwire.ReasonSuspect, v.After, "servers crash on something that the request shares with others")
	case beechpoison.Trial:
		if !a.poison.BeginTrial(v) {
			return a.refusal(beechwire.ReasonSuspect, shortRetryDelay, "another request tries whether servers still crash on it")
		}
	}
	return nil
}

// queueRequest converts a request to the type used by the queue.
func (a *Agent) queueRequest(r *beechwire.Request, id uint64, deadline time.Time) beechqueue.Request {
	levels := make([]beechqueue.Level, 0, len(r.Levels))
	for _, l := range r.Levels {
		levels = append(levels, beechqueue.Level{Key: levelKey(l), Tokens: l.Tokens})
	}
	cached, _ := a.index.CachedTokens(r.Salt, indexLevels(r.Levels))
	return beechqueue.Request{
		ID:           id,
		Workspace:    r.Workspace,
		Priority:     r.Priority,
		Levels:       levels,
		PromptTokens: r.PromptTokens,
		CachedTokens: min(cached, r.PromptTokens),
		OutputTokens: r.OutputTokens,
		Deadline:     deadline,
		Suspect:      r.Alone,
	}
}

func modelKey(model, weights string) string { return model + "@" + weights }
