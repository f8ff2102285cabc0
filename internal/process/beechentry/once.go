package beechentry

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/state/beechrecord"
)

// claimed is what came of a claim.
type claimed struct {
	answer beechwire.ClaimAnswer
	err    error
}

const (
	// claimTimeout bounds the wait for a claim; it covers the platform's
	// service answering slowly, and a first request under the key that runs.
	claimTimeout  = 5 * time.Second
	finishTimeout = 2 * time.Second
	ownersTried   = 2

	// tellLimit is longer than a claim that was lost on its way may take to be
	// recorded.
	tellLimit     = 30 * time.Second
	tellPause     = 100 * time.Millisecond
	tellMostPause = 5 * time.Second
	// leavingMostPause ends what is told in vain while an entry host stops.
	leavingMostPause = 400 * time.Millisecond
	placementTries   = 40
	placementPause   = 50 * time.Millisecond
)

var (
	errNoOwner = errors.New("no agent can be reached")
	errNoLink  = errors.New("no link to the agent came up in time")
)

// prepare settles what was before the first attempt: an answer to be joined,
// or a record of the request's idempotency key.
func (e *Entry) prepare(ctx context.Context, j *job) *failure {
	switch {
	case j.lastEventID != "":
		return e.prepareReconnect(j)
	case j.request.RecordKey == "":
		return nil
	case j.request.Repeatable:
		return e.prepareRepeat(ctx, j)
	default:
		return e.prepareOnce(ctx, j)
	}
}

// prepareReconnect joins the generation that an event id names, from the event
// after it. Where the text so far is all that an engine needs, the generation
// is read from its start, so that the answer can be resumed elsewhere should
// this engine die too; the caller gets only what it has not seen.
func (e *Entry) prepareReconnect(j *job) *failure {
	id, err := e.signer.parse(j.workspace.Name, j.lastEventID)
	if err != nil {
		return notRun(http.StatusBadRequest, typeInvalid, "invalid_event_id", "%v", err)
	}
	j.attach = &placed{agent: id.Agent, incarnation: id.Incarnation, requestID: id.RequestID}
	j.skip(id.Sequence)
	return nil
}

// skip makes the caller's answer go on after what it has.
func (j *job) skip(sequence uint64) {
	if s, ok := j.writer.(*streamWriter); ok {
		s.skip = sequence
	}
	if !j.resumable {
		j.sequence = sequence
	}
}

// prepareRepeat finds where the first request under the key runs. Without an
// answer the request runs for itself, which it may.
func (e *Entry) prepareRepeat(ctx context.Context, j *job) *failure {
	for range placementTries {
		answer, err := e.askClaim(ctx, j)
		switch {
		case err != nil:
			e.log.Info("repeat not looked up", beechlog.RequestID(j.request.ID), beechlog.Step("claim"), zap.Error(err))
			return nil
		case answer.State == beechwire.StateMismatch:
			return keyReused()
		case answer.State != beechwire.StateRunning:
			return nil
		}
		if agent, err := netip.ParseAddrPort(answer.Agent); err == nil {
			e.numbers.Joined.Add(1)
			j.attach = &placed{agent: agent, requestID: answer.RequestID}
			return nil
		}
		select {
		case <-e.clock.After(placementPause):
		case <-ctx.Done():
			return e.leftFailure(ctx, j)
		}
	}
	return nil
}

// prepareOnce claims a request that may not be repeated. Only a granted claim
// lets it run; everything else is answered here.
func (e *Entry) prepareOnce(ctx context.Context, j *job) *failure {
	answer, err := e.askClaim(ctx, j)
	if err != nil {
		e.log.Warn("not claimed", beechlog.RequestID(j.request.ID), beechlog.Step("claim"), zap.Error(err))
		return busy(http.StatusServiceUnavailable, "not_claimed", time.Second, "the request could not be claimed, so it was not run")
	}
	switch answer.State {
	case beechwire.StateGranted:
		j.request.Claim = answer.Token
		return nil
	case beechwire.StateDone:
		j.recorded = &answer
		return nil
	case beechwire.StateMismatch:
		return keyReused()
	case beechwire.StateRefused:
		return busy(http.StatusServiceUnavailable, "not_claimed", time.Duration(answer.AfterMillis)*time.Millisecond,
			"the request could not be claimed, so it was not run")
	default:
		return &failure{
			Status: http.StatusConflict, Type: typeServer, Code: "outcome_unknown", Ran: beechwire.RanUnknown,
			Message: "a request with this key was begun and its outcome is not known; it is not run again",
		}
	}
}

// writeRecorded gives the outcome of the run that there was.
func (e *Entry) writeRecorded(j *job) *failure {
	e.numbers.Joined.Add(1)
	j.request.ID = j.recorded.RequestID
	j.writer.head(answerHead{status: j.recorded.Status, contentType: j.recorded.ContentType})
	if err := j.writer.piece(1, j.recorded.Answer); err != nil {
		return e.goneCaller()
	}
	if err := j.writer.end(); err != nil {
		return e.goneCaller()
	}
	return nil
}

func (e *Entry) goneCaller() *failure {
	return &failure{Status: statusClientGone, Type: typeServer, Code: "caller_gone", Ran: beechwire.RanYes, Message: "the caller went away"}
}

func keyReused() *failure {
	return notRun(http.StatusUnprocessableEntity, typeInvalid, "idempotency_key_reused", "the key was used with another body")
}

// askClaim claims the request's key. The claim goes on where its caller leaves
// or its answer is lost: a token that nobody has would keep the key for as long
// as records are kept.
func (e *Entry) askClaim(ctx context.Context, j *job) (beechwire.ClaimAnswer, error) {
	ask := beechwire.ClaimAsk{
		RecordKey: j.request.RecordKey, BodyHash: j.callSum, RequestID: j.request.ID, Repeatable: j.request.Repeatable,
	}
	got := make(chan claimed) // no room: an answer that is not taken is given back
	e.background.Go(func() {
		claiming, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
		defer cancel()
		var c claimed
		c.err = e.callOwner(claiming, ask.RecordKey, beechwire.MethodClaim, &ask, &c.answer)
		select {
		case got <- c:
			if c.err != nil {
				e.withdraw(ask, c)
			}
		case <-ctx.Done():
			e.withdraw(ask, c)
		}
	})
	select {
	case c := <-got:
		return c.answer, c.err
	case <-ctx.Done():
		return beechwire.ClaimAnswer{}, ctx.Err()
	}
}

// withdraw frees the key of a claim that nobody will use. Where its answer was
// lost the claim may still be on its way, so that it is asked for until found.
func (e *Entry) withdraw(ask beechwire.ClaimAsk, c claimed) {
	word := &beechwire.FinishAsk{RecordKey: ask.RecordKey, NotRun: true}
	var notSent *beechlink.OpenError
	switch {
	case errors.As(c.err, &notSent):
		return
	case c.err == nil && c.answer.State != beechwire.StateGranted:
		return
	case ask.Repeatable:
		word.Token = ask.RequestID
	case c.err != nil:
		word.RequestID = ask.RequestID
	default:
		word.Token = c.answer.Token
	}
	e.keepTelling(ask.RequestID, word)
}

// keepTelling tells the owner of a key what became of its request, again and
// again for a while until it has taken it in. What nobody records, every repeat
// would be told is unknown.
func (e *Entry) keepTelling(requestID string, word *beechwire.FinishAsk) {
	limit := e.clock.Now().Add(tellLimit)
	for pause := tellPause; ; pause = min(2*pause, tellMostPause) {
		err := e.tellOwner(word)
		if err == nil {
			return
		}
		last := e.clock.Now().Add(pause).After(limit)
		if last || e.leaving.Load() && pause > leavingMostPause {
			e.log.Warn("record not told", beechlog.RequestID(requestID), beechlog.Step("record"), zap.Error(err))
			return
		}
		e.clock.Sleep(pause)
	}
}

// callOwner asks the agent that owns the key's shard. Another agent is asked
// only where nothing was sent to the first: any agent can claim, and the
// platform's compare-and-swap decides between two that try.
func (e *Entry) callOwner(ctx context.Context, recordKey, method string, ask marshaler, reply unmarshaler) error {
	agents := e.fleet.reachable()
	shard := beechrecord.Key{Name: recordKey}.Shard(beechwire.RecordShards)
	err := errNoOwner
	for range ownersTried {
		owner := beechrecord.Owner(shard, agents)
		if !owner.IsValid() {
			return err
		}
		err = e.fleet.call(ctx, owner, method, ask, reply)
		var notSent *beechlink.OpenError
		if !errors.As(err, &notSent) {
			return err
		}
		agents = without(agents, owner)
	}
	return err
}

func without(agents []netip.AddrPort, gone netip.AddrPort) []netip.AddrPort {
	var left []netip.AddrPort
	for _, a := range agents {
		if a != gone {
			left = append(left, a)
		}
	}
	return left
}

// place tells the owner of a repeatable request's key where it runs, so that a
// repeat can join it.
func (e *Entry) place(j *job, server netip.AddrPort) {
	if !j.request.Repeatable || j.request.RecordKey == "" {
		return
	}
	word := &beechwire.FinishAsk{RecordKey: j.request.RecordKey, Token: j.request.ID, Agent: server.String()}
	requestID := j.request.ID
	e.background.Go(func() { e.keepTelling(requestID, word) })
}

func (e *Entry) tellOwner(word *beechwire.FinishAsk) error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	return e.callOwner(ctx, word.RecordKey, beechwire.MethodFinish, word, nil)
}

// giveBack frees the key of a request that was proved not run.
func (e *Entry) giveBack(j *job) {
	if j.request.RecordKey == "" {
		return
	}
	token := j.request.Claim
	if j.request.Repeatable {
		token = j.request.ID
	}
	if token == "" {
		return
	}
	e.tellOrKeepTelling(j.request.ID, &beechwire.FinishAsk{RecordKey: j.request.RecordKey, Token: token, NotRun: true})
}

// tellOrKeepTelling tells the owner before the caller is answered, and goes on in
// the background where that fails.
func (e *Entry) tellOrKeepTelling(requestID string, word *beechwire.FinishAsk) {
	if err := e.tellOwner(word); err != nil {
		e.log.Info("record not told yet", beechlog.RequestID(requestID), beechlog.Step("record"), zap.Error(err))
		e.background.Go(func() { e.keepTelling(requestID, word) })
	}
}

// join follows a generation that runs, or ran, at an agent. One that was itself
// resumed is kept only from where it was; then it is joined after the event that
// the caller has, and cannot be resumed once more, since its earlier text is not
// known here.
func (e *Entry) join(ctx context.Context, j *job, target placed) attemptResult {
	result := e.joinAfter(ctx, j, target)
	s, streamed := j.writer.(*streamWriter)
	if _, isExpired := result.(expired); !isExpired || !streamed || s.skip <= j.sequence {
		return result
	}
	j.resumable = false
	j.sequence = s.skip
	return e.joinAfter(ctx, j, target)
}

func (e *Entry) joinAfter(ctx context.Context, j *job, target placed) attemptResult {
	j.request.ID = target.requestID
	client := e.joinClient(ctx, target.agent)
	if client == nil {
		return e.notJoined(ctx, j, target, errNoLink)
	}
	stream, err := client.Reattach(ctx, beechwire.Reattach{
		Workspace: j.workspace.Name, RequestID: target.requestID, Incarnation: target.incarnation, After: j.sequence,
	})
	if err != nil {
		return e.notJoined(ctx, j, target, err)
	}
	return e.follow(ctx, j, client, target.agent, stream)
}

// notJoined is the result where the agent could not be asked. Only its own word
// makes an answer gone.
func (e *Entry) notJoined(ctx context.Context, j *job, target placed, err error) attemptResult {
	if ctx.Err() != nil {
		return callerLeft{}
	}
	e.log.Info("answer not joined", beechlog.RequestID(j.request.ID), beechlog.Step("join"), beechlog.Peer(target.agent), zap.Error(err))
	return unreachable{}
}

// joinClient gives a link to an agent that this entry may not have linked yet,
// as after a restart.
func (e *Entry) joinClient(ctx context.Context, agent netip.AddrPort) *beechlink.Client {
	e.fleet.link(agent, "")
	client := e.fleet.client(agent)
	limit := e.clock.Now().Add(reattachTime)
	for client != nil && !client.Ready() {
		if ctx.Err() != nil || !e.clock.Now().Before(limit) {
			return nil
		}
		e.clock.Sleep(reattachPause)
	}
	return client
}
