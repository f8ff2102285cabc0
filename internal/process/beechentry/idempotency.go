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

// claimResult is the reply to a claim, or the error of the call.
type claimResult struct {
	answer beechwire.ClaimAnswer
	err    error
}

const (
	// claimTimeout bounds the wait for a claim. It allows for a slow reply of the
	// platform's service, and for a first request under the same key that is still
	// running.
	claimTimeout   = 5 * time.Second
	finishTimeout  = 2 * time.Second
	maxOwnersTried = 2

	// notifyTimeout is how long the owner of a key is notified again. It is longer
	// than a claim whose reply was lost may take to be recorded.
	notifyTimeout    = 30 * time.Second
	firstNotifyPause = 100 * time.Millisecond
	maxNotifyPause   = 5 * time.Second
	// maxNotifyPauseDraining is the pause beyond which a draining entry host gives
	// up notifying an owner.
	maxNotifyPauseDraining = 400 * time.Millisecond
	placementTries         = 40
	placementPause         = 50 * time.Millisecond
)

var (
	errNoOwner = errors.New("no reachable agent owns the idempotency key")
	errNoLink  = errors.New("link to the agent not up in time")
)

// prepare handles what precedes the first attempt: an answer to be joined, or a
// record of the request's idempotency key.
func (e *Entry) prepare(ctx context.Context, j *job) *failure {
	switch {
	case j.lastEventID != "":
		return e.prepareReconnect(j)
	case j.request.RecordKey == "":
		return nil
	case j.request.Repeatable:
		return e.prepareRepeatable(ctx, j)
	default:
		return e.prepareNonRepeatable(ctx, j)
	}
}

// prepareReconnect sets the job to join the generation named by an event id,
// after that event. If an engine can continue from the text alone, the
// generation is read from its start, so that the answer can be resumed on
// another server should this engine crash too; the caller receives only the
// events that it has not seen.
func (e *Entry) prepareReconnect(j *job) *failure {
	id, err := e.signer.parse(j.workspace.Name, j.lastEventID)
	if err != nil {
		return notRun(http.StatusBadRequest, typeInvalid, "invalid_event_id", "%v", err)
	}
	j.joinTarget = &generationRef{agent: id.Agent, incarnation: id.Incarnation, requestID: id.RequestID}
	j.continueAfter(id.Sequence)
	return nil
}

// continueAfter makes the caller's answer continue after the last event that it
// has.
func (j *job) continueAfter(sequence uint64) {
	if s, ok := j.writer.(*streamWriter); ok {
		s.skipThrough = sequence
	}
	if !j.resumable {
		j.sequence = sequence
	}
}

// prepareRepeatable looks up where the first request under the key is running,
// in order to join it. If that is not known the request runs on its own, which
// is safe since it is repeatable.
func (e *Entry) prepareRepeatable(ctx context.Context, j *job) *failure {
	for range placementTries {
		answer, err := e.claimKey(ctx, j)
		switch {
		case err != nil:
			e.log.Info("could not look up the idempotency key; running the request on its own", beechlog.RequestID(j.request.ID), beechlog.Step("claim"), zap.Error(err))
			return nil
		case answer.State == beechwire.StateMismatch:
			return keyReused()
		case answer.State != beechwire.StateRunning:
			return nil
		}
		if agent, err := netip.ParseAddrPort(answer.Agent); err == nil {
			e.counters.Joined.Add(1)
			j.joinTarget = &generationRef{agent: agent, requestID: answer.RequestID}
			return nil
		}
		select {
		case <-e.clock.After(placementPause):
		case <-ctx.Done():
			return e.cancelledFailure(ctx, j)
		}
	}
	return nil
}

// prepareNonRepeatable claims the key of a request that may not be repeated.
// The request runs only if the claim is granted; every other state is answered
// here.
func (e *Entry) prepareNonRepeatable(ctx context.Context, j *job) *failure {
	answer, err := e.claimKey(ctx, j)
	if err != nil {
		e.log.Warn("idempotency key not claimed", beechlog.RequestID(j.request.ID), beechlog.Step("claim"), zap.Error(err))
		return retryLater(http.StatusServiceUnavailable, "not_claimed", time.Second, "the request could not be claimed, so it was not run")
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
		return retryLater(http.StatusServiceUnavailable, "not_claimed", time.Duration(answer.AfterMillis)*time.Millisecond,
			"the request could not be claimed, so it was not run")
	default:
		return &failure{
			Status: http.StatusConflict, Type: typeServer, Code: "outcome_unknown", Ran: beechwire.RanUnknown,
			Message: "a request with this key was begun and its outcome is not known; it is not run again",
		}
	}
}

// replayRecorded sends the recorded answer of the earlier run.
func (e *Entry) replayRecorded(j *job) *failure {
	e.counters.Joined.Add(1)
	j.request.ID = j.recorded.RequestID
	j.writer.writeHead(answerHead{status: j.recorded.Status, contentType: j.recorded.ContentType})
	if err := j.writer.writePiece(1, j.recorded.Answer); err != nil {
		return e.callerGoneFailure()
	}
	if err := j.writer.end(); err != nil {
		return e.callerGoneFailure()
	}
	return nil
}

func (e *Entry) callerGoneFailure() *failure {
	return &failure{Status: statusCallerGone, Type: typeServer, Code: "caller_gone", Ran: beechwire.RanYes, Message: "the caller went away"}
}

func keyReused() *failure {
	return notRun(http.StatusUnprocessableEntity, typeInvalid, "idempotency_key_reused", "the key was used with another body")
}

// claimKey claims the request's key. The claim is followed up even if the
// caller leaves or the reply is lost: a granted claim whose token nobody holds
// would block the key for as long as records are kept.
func (e *Entry) claimKey(ctx context.Context, j *job) (beechwire.ClaimAnswer, error) {
	ask := beechwire.ClaimAsk{
		RecordKey: j.request.RecordKey, BodyHash: j.callHash, RequestID: j.request.ID, Repeatable: j.request.Repeatable,
	}
	got := make(chan claimResult) // unbuffered: a result that nobody receives is withdrawn
	e.background.Go(func() {
		claiming, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
		defer cancel()
		var c claimResult
		c.err = e.callOwner(claiming, ask.RecordKey, beechwire.MethodClaim, &ask, &c.answer)
		select {
		case got <- c:
			if c.err != nil {
				e.withdrawClaim(ask, c)
			}
		case <-ctx.Done():
			e.withdrawClaim(ask, c)
		}
	})
	select {
	case c := <-got:
		return c.answer, c.err
	case <-ctx.Done():
		return beechwire.ClaimAnswer{}, ctx.Err()
	}
}

// withdrawClaim frees the key of a claim that nobody will use. If the reply was
// lost the claim may still be on its way, so the withdrawal is sent again until
// the owner has found the claim.
func (e *Entry) withdrawClaim(ask beechwire.ClaimAsk, c claimResult) {
	finish := &beechwire.FinishAsk{RecordKey: ask.RecordKey, NotRun: true}
	var notSent *beechlink.OpenError
	switch {
	case errors.As(c.err, &notSent):
		return
	case c.err == nil && c.answer.State != beechwire.StateGranted:
		return
	case ask.Repeatable:
		finish.Token = ask.RequestID
	case c.err != nil:
		finish.RequestID = ask.RequestID
	default:
		finish.Token = c.answer.Token
	}
	e.notifyOwnerUntilRecorded(ask.RequestID, finish)
}

// notifyOwnerUntilRecorded tells the owner of a key what became of its request,
// and repeats this with growing pauses until the owner confirms or
// notifyTimeout has passed. While the outcome is not recorded, every repeat is
// told that it is unknown.
func (e *Entry) notifyOwnerUntilRecorded(requestID string, finish *beechwire.FinishAsk) {
	limit := e.clock.Now().Add(notifyTimeout)
	for pause := firstNotifyPause; ; pause = min(2*pause, maxNotifyPause) {
		err := e.notifyOwner(finish)
		if err == nil {
			return
		}
		last := e.clock.Now().Add(pause).After(limit)
		if last || e.draining.Load() && pause > maxNotifyPauseDraining {
			e.log.Warn("owner of the idempotency key not notified; gave up", beechlog.RequestID(requestID), beechlog.Step("record"), zap.Error(err))
			return
		}
		e.clock.Sleep(pause)
	}
}

// callOwner calls the agent that owns the key's shard. Another agent is called
// only if nothing was sent to the first: any agent can claim, and the
// platform's compare-and-swap decides between two that try.
func (e *Entry) callOwner(ctx context.Context, recordKey, method string, ask marshaler, reply unmarshaler) error {
	agents := e.fleet.reachable()
	shard := beechrecord.Key{Name: recordKey}.Shard(beechwire.RecordShards)
	err := errNoOwner
	for range maxOwnersTried {
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

// recordPlacement tells the owner of a repeatable request's key where the
// request is running, so that a repeat can join it.
func (e *Entry) recordPlacement(j *job, server netip.AddrPort) {
	if !j.request.Repeatable || j.request.RecordKey == "" {
		return
	}
	finish := &beechwire.FinishAsk{RecordKey: j.request.RecordKey, Token: j.request.ID, Agent: server.String()}
	requestID := j.request.ID
	e.background.Go(func() { e.notifyOwnerUntilRecorded(requestID, finish) })
}

func (e *Entry) notifyOwner(finish *beechwire.FinishAsk) error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	return e.callOwner(ctx, finish.RecordKey, beechwire.MethodFinish, finish, nil)
}

// releaseKey frees the key of a request that is known not to have run.
func (e *Entry) releaseKey(j *job) {
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
	e.notifyOwnerOrRetry(j.request.ID, &beechwire.FinishAsk{RecordKey: j.request.RecordKey, Token: token, NotRun: true})
}

// notifyOwnerOrRetry notifies the owner before the caller is answered, and
// continues in the background if that fails.
func (e *Entry) notifyOwnerOrRetry(requestID string, finish *beechwire.FinishAsk) {
	if err := e.notifyOwner(finish); err != nil {
		e.log.Info("owner of the idempotency key not notified; retrying in the background", beechlog.RequestID(requestID), beechlog.Step("record"), zap.Error(err))
		e.background.Go(func() { e.notifyOwnerUntilRecorded(requestID, finish) })
	}
}

// join relays a generation that is running, or ran, at an agent. A generation
// that was itself resumed is kept only from the point of its resumption. It is
// then joined after the last event that the caller has, and cannot be resumed a
// second time, since its earlier text is not known here.
func (e *Entry) join(ctx context.Context, j *job, target generationRef) attemptResult {
	result := e.joinAfter(ctx, j, target)
	s, streamed := j.writer.(*streamWriter)
	if _, isExpired := result.(expired); !isExpired || !streamed || s.skipThrough <= j.sequence {
		return result
	}
	j.resumable = false
	j.sequence = s.skipThrough
	return e.joinAfter(ctx, j, target)
}

func (e *Entry) joinAfter(ctx context.Context, j *job, target generationRef) attemptResult {
	j.request.ID = target.requestID
	client := e.joinClient(ctx, target.agent)
	if client == nil {
		return e.joinFailed(ctx, j, target, errNoLink)
	}
	stream, err := client.Reattach(ctx, beechwire.Reattach{
		Workspace: j.workspace.Name, RequestID: target.requestID, Incarnation: target.incarnation, After: j.sequence,
	})
	if err != nil {
		return e.joinFailed(ctx, j, target, err)
	}
	return e.relay(ctx, j, client, target.agent, stream)
}

// joinFailed is the result if the agent could not be asked. Only the agent
// itself can report that an answer is no longer kept.
func (e *Entry) joinFailed(ctx context.Context, j *job, target generationRef, err error) attemptResult {
	if ctx.Err() != nil {
		return callerGone{}
	}
	e.log.Info("could not join the answer", beechlog.RequestID(j.request.ID), beechlog.Step("join"), beechlog.Peer(target.agent), zap.Error(err))
	return unreachable{}
}

// joinClient returns a link to an agent, opening it if this entry has none yet,
// as after a restart. It returns nil if the link is not up within
// reattachTimeout.
func (e *Entry) joinClient(ctx context.Context, agent netip.AddrPort) *beechlink.Client {
	e.fleet.link(agent, "")
	client := e.fleet.client(agent)
	limit := e.clock.Now().Add(reattachTimeout)
	for client != nil && !client.Ready() {
		if ctx.Err() != nil || !e.clock.Now().Before(limit) {
			return nil
		}
		e.clock.Sleep(reattachPause)
	}
	return client
}
