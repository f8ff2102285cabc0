package beechentry

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechsocket"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechlog"
)

type (
	// attemptResult is how one attempt ended: completed, refused, interrupted,
	// stale, expired, unreachable or callerGone.
	attemptResult interface{ attemptResult() }

	// completed: the whole answer was sent to the caller.
	completed struct{}

	// refused: the agent did not run the request.
	refused struct{ beechwire.Refused }

	// interrupted: the request started, or may have started, and did not finish.
	interrupted struct {
		ran     string
		crashed bool
		reason  string
	}

	// stale: refused without running, since the agent has a newer
	// configuration.
	stale struct{}

	// expired: the generation to be joined is no longer kept by its agent.
	expired struct{}

	// unreachable: the agent of the generation to be joined cannot be reached now.
	// The generation may still be kept there.
	unreachable struct{}

	// callerGone: the caller disconnected or its deadline passed.
	callerGone struct{}
)

const (
	// reattachTimeout bounds the wait for a lost link before the answer is sought
	// elsewhere. An agent that is alive reconnects within it.
	reattachTimeout    = 1200 * time.Millisecond
	reattachPause      = 20 * time.Millisecond
	maxEmptyReattaches = 3
	maxStaleRetries    = 5
)

// execute runs attempts until one gives the whole answer. Otherwise it returns
// the failure to report to the caller.
func (e *Entry) execute(ctx context.Context, j *job) *failure {
	if f := e.prepare(ctx, j); f != nil {
		return f
	}
	if j.recorded != nil {
		return e.replayRecorded(j)
	}
	f := e.runAttempts(ctx, j)
	switch {
	case f == nil:
	case f.Ran == beechwire.RanNo:
		e.releaseKey(j)
	case j.request.Claim == "":
	case j.outcomePending && j.sentTo.agent.IsValid():
		// The caller's error response is still written through j.writer;
		// recordOutcomeLater replaces the writer, so it gets a copy of the job.
		followed := *j
		followed.body, followed.prompt = nil, nil // their memory is given back with the request
		e.background.Go(func() { e.recordOutcomeLater(&followed) })
	default:
		e.background.Go(func() { e.recordUnknownOutcome(j) })
	}
	return f
}

func (e *Entry) runAttempts(ctx context.Context, j *job) *failure {
	e.budget.RecordRequest()
	staleCount := 0
	for {
		j.request.Attempt++
		server, result := e.attempt(ctx, j)
		if _, isStale := result.(stale); isStale && staleCount < maxStaleRetries {
			staleCount++
			if f := e.refreshConfiguration(ctx, j, server); f != nil {
				return j.withRan(f)
			}
			continue
		}
		again, f := e.decideNext(ctx, j, server, result)
		if !again {
			return f
		}
	}
}

// attempt sends the job to one server, or joins the generation in j.joinTarget.
//
// The steps before it are in functions that are not inlined, because this frame
// and those below it stay on the stack of every open stream. A few hundred
// bytes more make the runtime keep a stack of 16 KB instead of 8 KB for each
// stream, since it halves a stack only while less than a quarter of it is in
// use.
func (e *Entry) attempt(ctx context.Context, j *job) (netip.AddrPort, attemptResult) {
	if j.joinTarget != nil {
		return e.joinGeneration(ctx, j)
	}
	candidate, result := e.candidate(ctx, j)
	if result != nil {
		return netip.AddrPort{}, result
	}
	return candidate.Server, e.send(ctx, j, candidate)
}

//go:noinline
func (e *Entry) joinGeneration(ctx context.Context, j *job) (netip.AddrPort, attemptResult) {
	target := *j.joinTarget
	j.joinTarget = nil
	j.sentTo = target
	return target.agent, e.join(ctx, j, target)
}

// candidate returns the server to send the job to, or the result if there is
// none.
//
//go:noinline
func (e *Entry) candidate(ctx context.Context, j *job) (*beechroute.Candidate, attemptResult) {
	if result := e.checkSuspect(j); result != nil {
		return nil, result
	}
	candidate := e.awaitCandidate(ctx, j)
	if candidate == nil && e.changesTarget(j) {
		candidate = e.awaitCandidate(ctx, j)
	}
	if candidate == nil {
		return nil, noServer()
	}
	return candidate, nil
}

// changesTarget resolves the model of a job anew of which nothing has been received, and reports whether
// it asks for other weights now: those that it asked for may have been replaced while it waited.
func (e *Entry) changesTarget(j *job) bool {
	if j.prompt == nil || j.sequence > 0 || j.lastEventID != "" || !j.writer.nothingSent() {
		return false
	}
	before := j.target()
	return e.renew(j) == nil && j.target() != before
}

func noServer() attemptResult {
	return refused{beechwire.Refused{
		Reason: beechwire.ReasonModel, Message: "no backend server offers it", AfterMillis: time.Second.Milliseconds(),
	}}
}

// checkSuspect refuses a request that keeps crashing engines, or marks it to
// run alone.
func (e *Entry) checkSuspect(j *job) attemptResult {
	j.request.Alone = false
	switch v := e.suspects.Check(j.request.Fingerprint, e.poison.Explained(j.request.Fingerprint)).(type) {
	case beechsuspect.Refuse:
		return refused{beechwire.Refused{Reason: beechwire.ReasonSuspect, AfterMillis: v.After.Milliseconds()}}
	case beechsuspect.Isolate:
		j.request.Alone = true
		j.request.Crashes = e.knownCrashes(j.request.Fingerprint)
	}
	return e.checkPoison(j)
}

// poisonTurns is the number of turns among which entry hosts are spread that may begin a trial.
const poisonTurns = 4

// poisonTurn spreads the trials of entry hosts, which do not know one another.
func (e *Entry) poisonTurn(key uint64) int { return int((key ^ e.incarnation) % poisonTurns) }

// checkPoison refuses a request that has something on which servers crash, or lets it run alone as a
// trial of whether they still do.
func (e *Entry) checkPoison(j *job) attemptResult {
	j.request.Trial = false
	switch v := e.poison.Check(beechconvert.PoisonRequest(&j.request)).(type) {
	case beechpoison.Refuse:
		e.log.Warn("request refused, servers crash on something that it shares with others", beechlog.Step("dispatch"), zap.String("request_id", j.request.ID),
			zap.String("trait", strconv.FormatUint(v.Key, 16)), zap.Duration("after", v.After))
		return refused{beechwire.Refused{Reason: beechwire.ReasonSuspect, AfterMillis: v.After.Milliseconds()}}
	case beechpoison.Trial:
		if !e.poison.BeginTrial(v) {
			return refused{beechwire.Refused{Reason: beechwire.ReasonSuspect, AfterMillis: time.Second.Milliseconds()}}
		}
		j.request.Trial, j.request.Alone = true, true
	}
	return nil
}

func (e *Entry) knownCrashes(fingerprint uint64) int {
	for _, r := range e.suspects.List() {
		if r.Fingerprint == fingerprint && !r.Cleared {
			return r.Crashes
		}
	}
	return 0
}

// choose returns the best ranked server whose link is up, or nil. The server
// that an earlier refusal recommended is preferred.
func (e *Entry) choose(j *job) *beechroute.Candidate {
	choice := e.fleet.router.Choose(j.routeRequest())
	if len(choice.Ranked) == 0 && len(j.tried) > 0 {
		j.tried = nil
		choice = e.fleet.router.Choose(j.routeRequest())
	}
	j.minUncached = minUncachedTokens(choice.Ranked)
	var best *beechroute.Candidate
	for i := range choice.Ranked {
		c := &choice.Ranked[i]
		switch {
		case !e.usable(c.Server):
		case c.Server == j.preferred:
			return c
		case best == nil:
			best = c
		}
	}
	return best
}

func (e *Entry) usable(server netip.AddrPort) bool {
	client := e.fleet.client(server)
	return client != nil && client.Ready()
}

func minUncachedTokens(ranked []beechroute.Candidate) int {
	if len(ranked) == 0 {
		return 0
	}
	least := ranked[0].Uncached
	for _, c := range ranked[1:] {
		least = min(least, c.Uncached)
	}
	return least
}

// send opens a stream to the server and relays the answer.
func (e *Entry) send(ctx context.Context, j *job, candidate *beechroute.Candidate) attemptResult {
	client := e.fleet.client(candidate.Server)
	if client == nil {
		return refusedLinkDown()
	}
	defer e.fleet.router.RecordFinish(candidate.Server)
	stream, result := e.open(ctx, j, client, candidate)
	if result != nil {
		return result
	}
	return e.relay(ctx, j, client, candidate.Server, stream)
}

//go:noinline
func refusedLinkDown() attemptResult {
	return refused{beechwire.Refused{Reason: beechwire.ReasonServer}}
}

func (e *Entry) open(ctx context.Context, j *job, client *beechlink.Client, candidate *beechroute.Candidate) (beechlink.Stream, attemptResult) {
	if ctx.Err() != nil || beechsocket.Departed(ctx) {
		return nil, callerGone{}
	}
	j.resetForAttempt()
	j.request.DeadlineMillis = j.remaining(time.Now())
	j.request.Resume = string(j.text)
	j.request.ResumeSequence = j.sequence
	e.fleet.router.RecordDispatch(candidate.Server, j.routeRequest(), candidate.Uncached)
	stream, err := client.Open(ctx, j.request, j.body)
	if err != nil {
		return nil, e.openFailure(ctx, err)
	}
	j.sentTo = generationRef{agent: candidate.Server, incarnation: stream.Peer().Incarnation, requestID: j.request.ID}
	e.recordPlacement(j, candidate.Server)
	return stream, nil
}

// openFailure converts an error of Open, after which nothing was sent.
func (e *Entry) openFailure(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		return callerGone{}
	}
	e.log.Info("could not open a stream to the agent", beechlog.Step("open"), zap.Error(err))
	return refused{beechwire.Refused{Reason: beechwire.ReasonServer, Message: "the link is down"}}
}

func (completed) attemptResult()   {}
func (refused) attemptResult()     {}
func (interrupted) attemptResult() {}
func (stale) attemptResult()       {}
func (expired) attemptResult()     {}
func (unreachable) attemptResult() {}
func (callerGone) attemptResult()  {}
