package beechentry

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
)

type (
	// ending is how one attempt ended: whole, refused, broken, stale, gone or
	// away.
	ending interface{ ending() }

	// whole is an answer that was given to its end.
	whole struct{}

	// refused was not run.
	refused struct{ beechwire.Refused }

	// broken was begun, or may have been.
	broken struct {
		ran     string
		crashed bool
		reason  string
	}

	// stale was refused, not run, since the agent has a newer configuration.
	stale struct{}

	// gone is a generation to be joined that is not kept any more.
	gone struct{}

	// away is a caller that left.
	away struct{}
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
	case j.request.Claim != "":
		go e.tellOwner(j, &beechwire.FinishAsk{RecordKey: j.request.RecordKey, Token: j.request.Claim})
	}
	return f
}

func (e *Entry) runAttempts(ctx context.Context, j *job) *failure {
	e.budget.Sent()
	staleCount := 0
	for {
		j.request.Attempt++
		server, how := e.attempt(ctx, j)
		if _, isStale := how.(stale); isStale && staleCount < maxStale {
			staleCount++
			if f := e.readmit(ctx, j, server); f != nil {
				return j.withRan(f)
			}
			continue
		}
		again, f := e.judge(ctx, j, server, how)
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
func (e *Entry) attempt(ctx context.Context, j *job) (netip.AddrPort, ending) {
	if j.attach != nil {
		return e.joinPlaced(ctx, j)
	}
	candidate, how := e.candidate(j)
	if how != nil {
		return netip.AddrPort{}, how
	}
	return candidate.Server, e.send(ctx, j, candidate)
}

//go:noinline
func (e *Entry) joinPlaced(ctx context.Context, j *job) (netip.AddrPort, ending) {
	target := *j.attach
	j.attach = nil
	return target.agent, e.join(ctx, j, target)
}

// candidate is the server to send the job to, or why there is none.
//
//go:noinline
func (e *Entry) candidate(j *job) (*beechroute.Candidate, ending) {
	if how := e.checkSuspect(j); how != nil {
		return nil, how
	}
	if candidate := e.choose(j); candidate != nil {
		return candidate, nil
	}
	return nil, noServer()
}

func noServer() ending {
	return refused{beechwire.Refused{
		Reason: beechwire.ReasonModel, Message: "no backend server offers it", AfterMillis: time.Second.Milliseconds(),
	}}
}

// checkSuspect refuses a request that keeps crashing engines.
func (e *Entry) checkSuspect(j *job) ending {
	j.request.Alone = false
	switch v := e.suspects.Check(j.request.Fingerprint).(type) {
	case beechsuspect.Refuse:
		return refused{beechwire.Refused{Reason: beechwire.ReasonSuspect, AfterMillis: v.After.Milliseconds()}}
	case beechsuspect.Alone:
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
func (e *Entry) send(ctx context.Context, j *job, candidate *beechroute.Candidate) ending {
	client := e.fleet.client(candidate.Server)
	if client == nil {
		return refusedByDown()
	}
	defer e.fleet.router.Finished(candidate.Server)
	stream, how := e.open(ctx, j, client, candidate)
	if how != nil {
		return how
	}
	return e.follow(ctx, j, client, candidate.Server, stream)
}

//go:noinline
func refusedByDown() ending {
	return refused{beechwire.Refused{Reason: beechwire.ReasonServer}}
}

func (e *Entry) open(ctx context.Context, j *job, client *beechlink.Client, candidate *beechroute.Candidate) (beechlink.Stream, ending) {
	j.uncached = candidate.Uncached
	j.startOver()
	j.request.DeadlineMillis = j.remaining(time.Now())
	j.request.Resume = string(j.text)
	j.request.ResumeSequence = j.sequence
	e.fleet.router.Dispatched(candidate.Server, j.routeRequest(), candidate.Uncached)
	stream, err := client.Open(ctx, j.request, j.body)
	if err != nil {
		return nil, e.openFailure(ctx, err)
	}
	e.place(j, candidate.Server)
	return stream, nil
}

// openFailure tells what an error of Open means: nothing was sent.
func (e *Entry) openFailure(ctx context.Context, err error) ending {
	if ctx.Err() != nil {
		return away{}
	}
	e.log.Info("stream not opened", beechlog.Step("open"), zap.Error(err))
	return refused{beechwire.Refused{Reason: beechwire.ReasonServer, Message: "the link is down"}}
}

// follow gives a stream's replies to the caller. Where the link is lost it
// joins the same generation again, so that a cut between two hosts costs the
// caller nothing. A link that gives nothing each time it is joined is left:
// joined again and again it would keep the caller and the host's processor busy
// without end.
func (e *Entry) follow(ctx context.Context, j *job, client *beechlink.Client, server netip.AddrPort, stream beechlink.Stream) ending {
	idle := 0
	for tries := 0; ; tries++ {
		before := j.sequence
		how, lost := e.drainStream(ctx, j, server, stream)
		if _, isGone := how.(gone); isGone && tries > 0 {
			// The agent was replaced meanwhile. What it was running is lost,
			// as with a server that died.
			return e.lostEnding(ctx)
		}
		if !lost {
			return how
		}
		if idle++; j.sequence > before {
			idle = 0
		}
		if idle > maxIdleJoins {
			return e.lostEnding(ctx)
		}
		stream = e.reattach(ctx, j, client, client.Peer().Incarnation)
		if stream == nil {
			return e.lostEnding(ctx)
		}
	}
}

//go:noinline
func (e *Entry) lostEnding(ctx context.Context) ending {
	if ctx.Err() != nil {
		return away{}
	}
	return broken{ran: beechwire.RanUnknown, reason: beechwire.ReasonGone}
}

// reattach joins the job's generation again over a new connection, or returns
// nil when that fails for too long.
func (e *Entry) reattach(ctx context.Context, j *job, client *beechlink.Client, incarnation uint64) beechlink.Stream {
	e.numbers.Reattached.Add(1)
	limit := e.clock.Now().Add(reattachTime)
	for e.clock.Now().Before(limit) && ctx.Err() == nil {
		stream, err := client.Reattach(ctx, beechwire.Reattach{
			Workspace: j.workspace.Name, RequestID: j.request.ID, Incarnation: incarnation, After: j.sequence,
		})
		if err == nil {
			return stream
		}
		e.clock.Sleep(reattachPause)
	}
	return nil
}

// drainStream takes replies until the last. Lost is true where the link was
// lost before it.
func (e *Entry) drainStream(ctx context.Context, j *job, server netip.AddrPort, stream beechlink.Stream) (how ending, lost bool) {
	for {
		reply, err := stream.Next(ctx)
		if ctx.Err() != nil {
			stream.Close(e.detach(ctx))
			return away{}, false
		}
		if err != nil {
			e.logLost(j, server, err)
			stream.Close(true)
			return nil, true
		}
		if how, over := e.takeReply(j, server, reply); over {
			if _, left := how.(away); left {
				stream.Close(true)
			}
			return how, false
		}
	}
}

func (e *Entry) logLost(j *job, server netip.AddrPort, err error) {
	e.log.Warn("stream lost", beechlog.RequestID(j.request.ID), beechlog.Attempt(j.request.Attempt),
		beechlog.Step("follow"), beechlog.Peer(server), zap.Error(err))
}

// takeReply gives one reply to the caller; over is true after the last.
func (e *Entry) takeReply(j *job, server netip.AddrPort, reply beechlink.Reply) (how ending, over bool) {
	switch r := reply.(type) {
	case beechlink.HeadReply:
		j.writer.head(answerHead{
			status: r.Status, contentType: r.ContentType, headers: r.Headers,
			at: placed{agent: server, incarnation: r.Incarnation, requestID: j.request.ID},
		})
	case beechlink.DataReply:
		if err := e.take(j, r); err != nil {
			return away{}, true
		}
	case beechlink.EndReply:
		return e.finished(j, server, r.End), true
	case beechlink.RefusedReply:
		return e.refusedBy(server, r.Refused), true
	case beechlink.FailedReply:
		return e.failedBy(j, server, r.Failed), true
	}
	return nil, false
}

// detach tells whether a generation whose caller left goes on for its grace
// time: yes for a lost caller, no once the caller's own deadline has passed.
func (e *Entry) detach(ctx context.Context) bool {
	return !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// take gives one piece to the caller and notes what a resume needs.
func (e *Entry) take(j *job, r beechlink.DataReply) error {
	if j.firstToken == 0 {
		j.firstToken = max(1, e.clock.Since(j.began))
	}
	j.sequence = r.Sequence
	if j.resumable {
		j.note(r.Data.Data)
	}
	return j.writer.piece(r.Sequence, r.Data.Data)
}

// finished closes a whole answer and learns from it.
func (e *Entry) finished(j *job, server netip.AddrPort, end beechwire.End) ending {
	j.usage = end.Usage
	e.fleet.report(server, end.Load)
	e.learn(j, server, end)
	if err := e.settle(j); err != nil {
		e.log.Warn("outcome not recorded", beechlog.RequestID(j.request.ID), beechlog.Step("record"), zap.Error(err))
	}
	if err := j.writer.end(); err != nil {
		return away{}
	}
	return whole{}
}

func (e *Entry) learn(j *job, server netip.AddrPort, end beechwire.End) {
	e.suspects.Finished(j.request.Fingerprint)
	firstToken := time.Duration(end.FirstTokenMicros) * time.Microsecond
	queued := time.Duration(end.QueueMicros) * time.Microsecond
	e.health.Observe(beechhealth.Sample{
		Server: server, Model: j.target(), FirstToken: firstToken - queued, Tokens: max(0, end.Usage.Prompt-end.Usage.Cached),
	})
	if j.request.Service != "" || !end.Usage.Known {
		return
	}
	e.estimator.Correct(j.request.PromptTokens, end.Usage.Prompt)
	e.fleet.router.Learn(beechroute.Reply{
		Server:       server,
		Incarnation:  e.fleet.incarnation(server),
		Model:        j.target(),
		Levels:       j.routeLevels(),
		PromptTokens: end.Usage.Prompt,
		CachedTokens: end.Usage.Cached,
		FirstToken:   firstToken,
	})
}

func (e *Entry) refusedBy(server netip.AddrPort, r beechwire.Refused) ending {
	e.fleet.report(server, r.Load)
	e.fleet.router.Refused(server, time.Duration(r.AfterMillis)*time.Millisecond)
	switch {
	case r.Reason == beechwire.ReasonGone:
		return gone{}
	case r.Reason == beechwire.ReasonGeneration && r.Generation > e.holder.Generation():
		return stale{}
	case r.Reason == beechwire.ReasonGeneration && r.Generation == e.holder.Generation():
		return stale{}
	}
	return refused{r}
}

func (e *Entry) failedBy(j *job, server netip.AddrPort, r beechwire.Failed) ending {
	e.health.Observe(beechhealth.Sample{Server: server, Model: j.target(), Failed: true})
	if r.Crashed {
		j.request.Crashes++
		e.suspects.Merge([]beechsuspect.Record{{Fingerprint: j.request.Fingerprint, Crashes: j.request.Crashes}})
		e.fleet.dialer.Push()
	}
	return broken{ran: ranOf(r.Ran), crashed: r.Crashed, reason: r.Reason}
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

func (whole) ending()   {}
func (refused) ending() {}
func (broken) ending()  {}
func (stale) ending()   {}
func (gone) ending()    {}
func (away) ending()    {}
