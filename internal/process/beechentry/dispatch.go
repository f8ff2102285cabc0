package beechentry

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
)

type (
	// attemptResult is how one attempt ended: completed, refused, interrupted,
	// stale, expired, unreachable or callerLeft.
	attemptResult interface{ attemptResult() }

	// completed is an answer that was given to its end.
	completed struct{}

	// refused was not run.
	refused struct{ beechwire.Refused }

	// interrupted was begun, or may have been.
	interrupted struct {
		ran     string
		crashed bool
		reason  string
	}

	// stale was refused, not run, since the agent has a newer configuration.
	stale struct{}

	// expired is a generation to be joined that is not kept any more.
	expired struct{}

	// unreachable is a generation to be joined whose agent cannot be asked now.
	// It may well be kept there.
	unreachable struct{}

	// callerLeft is a caller that went away.
	callerLeft struct{}
)

const (
	// reattachTime is how long a lost link is waited for before the answer is
	// sought elsewhere. An agent that is alive is linked again within it.
	reattachTime  = 1200 * time.Millisecond
	reattachPause = 20 * time.Millisecond
	maxIdleJoins  = 3
	maxStale      = 5
)

// execute runs a job's attempts until one gives the whole answer. What it
// returns is what the caller is told instead.
func (e *Entry) execute(ctx context.Context, j *job) *failure {
	if f := e.prepare(ctx, j); f != nil {
		return f
	}
	if j.recorded != nil {
		return e.writeRecorded(j)
	}
	f := e.runAttempts(ctx, j)
	switch {
	case f == nil:
	case f.Ran == beechwire.RanNo:
		e.giveBack(j)
	case j.request.Claim == "":
	case j.unfollowed && j.sentTo.agent.IsValid():
		// The caller's answer is still written from j: without a copy the error
		// that it is due would go to the writer that nobody reads.
		later := *j
		e.background.Go(func() { e.settleLater(&later) })
	default:
		e.background.Go(func() { e.abandon(j) })
	}
	return f
}

func (e *Entry) runAttempts(ctx context.Context, j *job) *failure {
	e.budget.RecordRequest()
	staleCount := 0
	for {
		j.request.Attempt++
		server, result := e.attempt(ctx, j)
		if _, isStale := result.(stale); isStale && staleCount < maxStale {
			staleCount++
			if f := e.readmit(ctx, j, server); f != nil {
				return j.withRan(f)
			}
			continue
		}
		again, f := e.judge(ctx, j, server, result)
		if !again {
			return f
		}
	}
}

// attempt sends the job to one server, or joins the generation it is to join.
// What comes before is in functions of its own: this frame and those below it
// stay on the stack of every open stream. With some hundred bytes more on them
// the runtime keeps 16 KB for each stream's stack where 8 KB are enough, since
// it halves a stack only while less than a quarter of it is in use.
func (e *Entry) attempt(ctx context.Context, j *job) (netip.AddrPort, attemptResult) {
	if j.attach != nil {
		return e.joinPlaced(ctx, j)
	}
	candidate, result := e.candidate(j)
	if result != nil {
		return netip.AddrPort{}, result
	}
	return candidate.Server, e.send(ctx, j, candidate)
}

//go:noinline
func (e *Entry) joinPlaced(ctx context.Context, j *job) (netip.AddrPort, attemptResult) {
	target := *j.attach
	j.attach = nil
	j.sentTo = target
	return target.agent, e.join(ctx, j, target)
}

// candidate is the server to send the job to, or why there is none.
//
//go:noinline
func (e *Entry) candidate(j *job) (*beechroute.Candidate, attemptResult) {
	if result := e.checkSuspect(j); result != nil {
		return nil, result
	}
	if candidate := e.choose(j); candidate != nil {
		return candidate, nil
	}
	return nil, noServer()
}

func noServer() attemptResult {
	return refused{beechwire.Refused{
		Reason: beechwire.ReasonModel, Message: "no backend server offers it", AfterMillis: time.Second.Milliseconds(),
	}}
}

// checkSuspect refuses a request that keeps crashing engines.
func (e *Entry) checkSuspect(j *job) attemptResult {
	j.request.Alone = false
	switch v := e.suspects.Check(j.request.Fingerprint).(type) {
	case beechsuspect.Refuse:
		return refused{beechwire.Refused{Reason: beechwire.ReasonSuspect, AfterMillis: v.After.Milliseconds()}}
	case beechsuspect.Isolate:
		j.request.Alone = true
		j.request.Crashes = e.knownCrashes(j.request.Fingerprint)
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

// choose takes the best ranked server whose link is up, or nil. A refusal's
// hint goes first.
func (e *Entry) choose(j *job) *beechroute.Candidate {
	choice := e.fleet.router.Choose(j.routeRequest())
	if len(choice.Ranked) == 0 && len(j.tried) > 0 {
		j.tried = nil
		choice = e.fleet.router.Choose(j.routeRequest())
	}
	j.reachable = leastUncached(choice.Ranked)
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

func leastUncached(ranked []beechroute.Candidate) int {
	if len(ranked) == 0 {
		return 0
	}
	least := ranked[0].Uncached
	for _, c := range ranked[1:] {
		least = min(least, c.Uncached)
	}
	return least
}

// send opens a stream to the server and follows it.
func (e *Entry) send(ctx context.Context, j *job, candidate *beechroute.Candidate) attemptResult {
	client := e.fleet.client(candidate.Server)
	if client == nil {
		return refusedByDown()
	}
	defer e.fleet.router.RecordFinish(candidate.Server)
	stream, result := e.open(ctx, j, client, candidate)
	if result != nil {
		return result
	}
	return e.follow(ctx, j, client, candidate.Server, stream)
}

//go:noinline
func refusedByDown() attemptResult {
	return refused{beechwire.Refused{Reason: beechwire.ReasonServer}}
}

func (e *Entry) open(ctx context.Context, j *job, client *beechlink.Client, candidate *beechroute.Candidate) (beechlink.Stream, attemptResult) {
	j.startOver()
	j.request.DeadlineMillis = j.remaining(time.Now())
	j.request.Resume = string(j.text)
	j.request.ResumeSequence = j.sequence
	e.fleet.router.RecordDispatch(candidate.Server, j.routeRequest(), candidate.Uncached)
	stream, err := client.Open(ctx, j.request, j.body)
	if err != nil {
		return nil, e.openFailure(ctx, err)
	}
	j.sentTo = placed{agent: candidate.Server, incarnation: stream.Peer().Incarnation, requestID: j.request.ID}
	e.place(j, candidate.Server)
	return stream, nil
}

// openFailure tells what an error of Open means: nothing was sent.
func (e *Entry) openFailure(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		return callerLeft{}
	}
	e.log.Info("stream not opened", beechlog.Step("open"), zap.Error(err))
	return refused{beechwire.Refused{Reason: beechwire.ReasonServer, Message: "the link is down"}}
}

func (completed) attemptResult()   {}
func (refused) attemptResult()     {}
func (interrupted) attemptResult() {}
func (stale) attemptResult()       {}
func (expired) attemptResult()     {}
func (unreachable) attemptResult() {}
func (callerLeft) attemptResult()  {}
