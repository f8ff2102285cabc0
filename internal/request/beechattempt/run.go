package beechattempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// execution is the state of one call across its attempts.
	execution struct {
		dispatcher *Dispatcher
		call       *beechcall.Call
		out        Responder
		callerCtx  context.Context
		started    time.Time

		triedServers    []string          // by ID
		attempts        int               // with any outcome
		partWaits       int               // waits for a prompt part that another request was prefilling
		admitted        bool              // admission has let it pass
		limitedAttempts int               // attempts not sent because the server was at its limit
		retryAfter      time.Duration     // if all servers are at their limits or back off: when one accepts requests
		maybeExecuted   int               // attempts without a good answer that may have been executed
		notExecuted     int               // attempts that were certainly not executed
		choice          beechplace.Choice // of the last attempt
		firstByte       time.Duration     // since the start
		sentAt          time.Time         // of the last attempt
		begunAt         time.Time         // first event of the last attempt; zero: none yet
		heardAt         time.Time         // last data from a server
		ends            []attemptEnd
		startRecorded   bool // the last attempt's answer has begun and gone on
		traits          *beechpoison.Request
		onTrial         bool        // of a blamed trait
		departed        atomic.Bool // the caller was seen to have disconnected
		departure       departureWatch
		serverError     *response // a server's error response, forwarded if no better answer comes
		stream          streamState
		backup          runBackup
		stop            stopCause // of the verdict noRetry
	}

	response struct {
		status int
		header http.Header
		body   []byte
	}

	// verdict is what follows an attempt.
	verdict int

	// stopCause is why a call is not tried again, for logs and metrics.
	stopCause string
)

const (
	finished verdict = iota // the caller has its answer or has disconnected
	tryAgain                // on another server
	noRetry                 // reject the call or abort its stream
)

const (
	stopAttempts      stopCause = "attempts used up"     // the bound of the route or of rejected attempts
	stopBudget        stopCause = "retry budget spent"   // this gate may retry no more to the service now
	stopDeadline      stopCause = "no time left"         // the deadline has passed, or would before the retry
	stopNotRepeatable stopCause = "not repeatable"       // it may have been executed
	stopOtherAnswer   stopCause = "stream not continued" // the answer is not the rest of the stream
	stopLimit         stopCause = reasonAtLimits
	stopStatus        stopCause = "status not proven" // the server's status says not executed, without its word
	stopOrigin        stopCause = "origin not known"  // the software version of the stream's beginning is not known
	stopBackup        stopCause = "not gone on with"  // the run was lost, and so was its backup or the time for it
)

const (
	// maxAttempts bounds attempts that were not executed: each costs the caller a
	// round trip, and after five rejections another server is unlikely to accept.
	maxAttempts = 5
	// A call waits for a server to become available for its objective divided by
	// serverWaitDivisor, but at least minServerWait.
	serverWaitDivisor = 10
	minServerWait     = 20 * time.Millisecond
	serverWaitPoll    = 10 * time.Millisecond
	// maxPartWaits bounds the waits for prompt parts: servers that go away meanwhile
	// would otherwise keep a call waiting again and again.
	maxPartWaits = 2
	// maxLimitedAttempts bounds how often a chosen server reaches its limit before the
	// call is sent: many gates may compete for the same remaining requests.
	maxLimitedAttempts = 4
	// defaultRetryAfter is when a rejected caller may retry: an engine loads weights
	// in half a second.
	defaultRetryAfter = 300 * time.Millisecond
	// A resumable stream may be silent for pauseFactor times its route's longest pause,
	// but at least minPauseTimeout.
	pauseFactor      = 4
	minPauseTimeout  = 800 * time.Millisecond
	maxAnswerBytes   = 16 << 20
	reasonAtLimits   = "servers at their limits"
	reasonBackingOff = "servers asked to back off"
	reasonPoison     = "servers crash on it"
	// settleTime is how long an answer must have gone on for its server to have survived its
	// beginning: the first events may be on their way before it crashes.
	settleTime = 250 * time.Millisecond
	// maxProbeWait bounds the wait of a retry for the probe of the server that broke off: a crashed
	// one refuses connections within a round trip, and one that is cut off is not worth the time.
	maxProbeWait = 50 * time.Millisecond
)

var (
	errFirstByteTimeout = errors.New("no first byte within the route's time-out")
	errWeightsExpire    = errors.New("the server's weights expire before the request can start")
	errAnswerTooLong    = errors.New("answer exceeds 16 MiB")
)

func (r *execution) serve(ctx context.Context) string {
	r.dispatcher.budget.RecordRequest(r.call.Service)
	for {
		if r.callerLeft() {
			return r.outcome()
		}
		if refuse, refused := r.refusedAsPoison(); refused {
			r.retryAfter = refuse.After
			return r.giveUp(ctx, reasonPoison, r.poisonFields(refuse)...)
		}
		choice, ok := r.choose(ctx)
		if !ok && choice.RetryAfter > 0 {
			r.retryAfter = choice.RetryAfter
			if choice.BackingOff {
				return r.giveUp(ctx, reasonBackingOff)
			}
			return r.giveUp(ctx, reasonAtLimits)
		}
		if !ok {
			return r.giveUp(ctx, "no server may be used")
		}
		if r.attempts == 0 && r.dispatcher.timeouts.expectedTooLate(r.call.Route.Name, milliseconds(choice.Expected), milliseconds(choice.QueueTime), r.call.Route.Objective, r.dispatcher.clock.Now()) {
			r.countTooLate(choice)
			return r.giveUp(ctx, "no server would answer in time")
		}
		choice, short := r.admit(choice)
		if short != nil {
			return r.refuseForRoom(ctx, short)
		}
		switch r.attempt(ctx, choice) {
		case finished:
			return r.outcome()
		case noRetry:
			if r.retryAfter > 0 {
				return r.giveUp(ctx, reasonAtLimits)
			}
			return r.giveUp(ctx, "no more tries")
		case tryAgain:
		}
	}
}

func (r *execution) outcome() string {
	if r.departed.Load() || isDone(r.callerCtx) {
		return OutcomeLeft
	}
	return outcomeAnswered
}

// callerLeft looks whether the caller has disconnected. The context may end later than that.
func (r *execution) callerLeft() bool {
	if isDone(r.callerCtx) || r.out.Departed() {
		r.departed.Store(true)
		r.departure.notice()
		return true
	}
	return false
}

// attemptReset records that the attempt was withdrawn, if that was for its caller's departure.
func (r *execution) attemptReset(told bool) {
	r.callerLeft()
	r.departure.reset(told)
}

func (r *execution) progress() Progress {
	switch {
	case r.attempts == 0:
		return NotSent
	case r.firstByte == 0:
		return Sent
	}
	return Answered
}

// choose returns a server. If none may be used it waits for a short time, since an engine
// that loads weights is soon available again and a rejected caller takes longer to retry.
// It does not wait if all servers are at their limits or back off for longer than that.
func (r *execution) choose(ctx context.Context) (beechplace.Choice, bool) {
	wait := max(r.call.Route.Objective/serverWaitDivisor, minServerWait)
	until := r.dispatcher.clock.Now().Add(wait)
	if r.backup.continues {
		return r.backup.engine.Continuation(r.backup.source), true
	}
	for {
		choice, ok := r.dispatcher.placer.Choose(r.call, r.triedServers)
		if now := r.dispatcher.clock.Now(); ok || now.Add(choice.RetryAfter).After(until) || isDone(ctx) || r.callerLeft() {
			return choice, ok && !isDone(ctx)
		}
		select {
		case <-r.dispatcher.clock.After(serverWaitPoll):
		case <-ctx.Done():
		}
	}
}

// attempt sends the call to one server and forwards the answer to the caller.
func (r *execution) attempt(ctx context.Context, choice beechplace.Choice) verdict {
	placement := r.dispatcher.placer.StartAttempt(r.call, choice)
	r.choice = choice
	if choice.Wait > 0 && r.partWaits < maxPartWaits && !r.waitForPart(ctx, choice) {
		placement.Done(beechplace.Cancelled)
		return tryAgain
	}
	if !r.dispatcher.placer.StillUsable(r.call, choice) {
		placement.Done(beechplace.Cancelled)
		if r.backup.continues {
			return r.backupGivenUp(beechbackup.EngineLost)
		}
		return tryAgain
	}
	if !placement.AcquireLimit() {
		placement.Done(beechplace.Cancelled)
		if r.limitedAttempts++; r.limitedAttempts < maxLimitedAttempts {
			return tryAgain
		}
		r.retryAfter = defaultRetryAfter
		return r.noRetry(stopLimit)
	}
	r.attempts++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := r.newWatchdog(cancel, choice, placement)
	defer watch.stop()
	sent := r.dispatcher.clock.Now()
	r.sentAt, r.begunAt, r.startRecorded = sent, time.Time{}, false
	answer, err := r.dispatcher.backend.Send(ctx, beechcall.Attempt{
		Call: r.call, Server: choice.Server, Weights: choice.Weights, Salt: choice.Salt,
		Urgency: r.call.Urgency(), Fetch: choice.Fetch, Save: choice.Save, LastEventID: r.stream.lastEventID,
		Copy: r.backup.copyName(),
		Withdrawn: func() bool {
			if r.callerLeft() || !r.dispatcher.placer.StillUsable(r.call, choice) {
				return true
			}
			_, refused := r.refusedAsPoison()
			return refused
		},
		Reset: r.attemptReset,
	})
	r.continuationSent(err)
	if err != nil {
		return r.handleFailure(choice, placement, watch, err)
	}
	defer answer.Body.Close()
	placement.ObserveLimit(answer.Limit)
	placement.ObserveLoad(answer.Load)
	if answer.Load.Slowness > 0 {
		r.dispatcher.admission.Enable(r.call.Service)
	}
	r.observeBackoff(placement, answer.Backoff)
	r.observeLeaving(placement, answer.Leaving)
	r.dispatcher.placer.ObserveVersion(choice.Server.ID, r.call.Model, answer.Weights)
	if r.call.Route.Stream && answer.Status == http.StatusOK {
		return r.forwardStream(choice, placement, watch, answer, sent)
	}
	return r.forwardWhole(choice, placement, watch, answer, sent)
}

// observeBackoff records that the server asked for no requests for a time.
func (r *execution) observeBackoff(placement *beechplace.Attempt, after time.Duration) {
	if after <= 0 {
		return
	}
	remaining, reported := placement.ObserveBackoff(after)
	r.logAttempt("asked to back off", r.choice, zap.Duration("after", after), zap.Duration("remaining", remaining), zap.Bool("reported", reported))
}

// observeLeaving records that the server said that it leaves.
func (r *execution) observeLeaving(placement *beechplace.Attempt, leaving bool) {
	if leaving && placement.ObserveLeaving() {
		r.logAttempt("answered by a leaving server", r.choice)
	}
}

// waitForPart waits for a prompt part that is being prefilled for another request. It returns
// false if the call ends meanwhile.
func (r *execution) waitForPart(ctx context.Context, choice beechplace.Choice) bool {
	r.partWaits++
	select {
	case <-r.dispatcher.clock.After(choice.Wait):
	case <-ctx.Done():
	}
	return !isDone(ctx)
}

// forwardWhole reads an answer that is not a stream to its end before the caller receives
// any of it, so that an incomplete one can be replaced by a retry.
func (r *execution) forwardWhole(choice beechplace.Choice, placement *beechplace.Attempt, watch *watchdog, answer *beechcall.Answer, sent time.Time) verdict {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
	case len(body) > maxAnswerBytes:
		err = errAnswerTooLong
	case r.serverGone(choice, answer):
		err = errServerGone
	}
	if err != nil {
		return r.handleFailure(choice, placement, watch, beechcall.OutcomeUnknown{Peer: choice.Server.Address, Step: "read the answer's body", Err: err})
	}
	watch.stop()
	if !r.stream.started {
		r.firstByte = r.dispatcher.clock.Since(r.started)
	}
	serverError := answer.Status >= http.StatusInternalServerError
	if serverError {
		placement.Done(beechplace.Errored)
		r.ended(endServerError)
	} else {
		placement.Done(beechplace.Answered)
		r.ended(r.wholeAnswerEnd())
	}
	r.dispatcher.timeouts.observe(r.call.Route.Name, r.dispatcher.clock.Since(sent), 0, r.dispatcher.clock.Now())
	r.dispatcher.observer.ObserveAttempt(choice.Server, r.call.Model, r.dispatcher.clock.Since(sent), choice.PrefillTokens, serverError)
	if serverError && r.repeatable() && answer.Status != http.StatusGatewayTimeout {
		r.maybeExecuted++
		r.triedServers = append(r.triedServers, choice.Server.ID)
		r.serverError = &response{answer.Status, answer.Header, body}
		if r.maybeExecuted < r.call.Route.MaxAttempts && !r.callerLeft() && r.takeRetry(beechretry.RanYes, choice, false) {
			r.logAttempt("retried", choice, zap.Int("status", answer.Status))
			return tryAgain
		}
	}
	if r.stream.started {
		r.logAttempt("answered with another response", choice, zap.Int("status", answer.Status))
		return r.noRetry(stopOtherAnswer) // not a continuation of the events that the caller has
	}
	r.dispatcher.suspects.RecordSuccess(r.call.Fingerprint())
	if answer.Status < http.StatusMultipleChoices {
		r.recordStart()
	}
	if r.call.Route.RetryPolicy == beechcall.AtMostOnce && promisesNotRun(answer.Status) {
		// The server has not said that it did not run the request, but the status would say so
		// to the caller, who would send it again.
		r.maybeExecuted++
		r.logAttempt("answered with a status that it does not prove", choice, zap.Int("status", answer.Status))
		return r.noRetry(stopStatus)
	}
	r.out.Respond(answer.Status, answer.Header, body)
	return finished
}

// wholeAnswerEnd returns what ends an attempt that a server has answered with no stream.
func (r *execution) wholeAnswerEnd() endCause {
	if r.stream.started {
		return endOtherAnswer
	}
	return endAnswered
}

// promisesNotRun reports whether a status tells callers that their request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleFailure decides what follows an attempt without a complete answer.
func (r *execution) handleFailure(choice beechplace.Choice, placement *beechplace.Attempt, watch *watchdog, err error) verdict {
	watch.stop()
	var notExecuted beechcall.NotExecuted
	if errors.As(err, &notExecuted) && !notExecuted.Replaced {
		placement.ObserveLimit(notExecuted.Limit)
		placement.ObserveLoad(notExecuted.Load)
		r.observeBackoff(placement, notExecuted.Backoff)
		r.observeLeaving(placement, notExecuted.Leaving)
	}
	if errors.Is(err, beechcall.ErrWithdrawn) {
		return r.handleWithdrawn(placement)
	}
	if r.callerLeft() {
		placement.Done(beechplace.Cancelled)
		r.ended(endCallerLeft)
		return finished
	}
	r.triedServers = append(r.triedServers, choice.Server.ID)
	if r.backup.continues {
		return r.continuationFailed(choice, placement, err)
	}
	var notSent beechcall.NotSent
	switch {
	case errors.As(err, &notSent):
		r.notExecuted++
		placement.Done(beechplace.Unreachable)
		r.ended(endNotSent)
		r.logAttempt("not sent", choice, zap.Error(err))
		if r.attempts < maxAttempts {
			return tryAgain
		}
		return r.noRetry(stopAttempts)
	case errors.As(err, &notExecuted):
		r.notExecuted++
		placement.Done(beechplace.Rejected)
		r.ended(endTurnedAway)
		r.dispatcher.placer.ObserveRejection(choice.Server.ID, notExecuted, r.call.Model)
		r.logAttempt("turned away", choice, zap.Int("status", notExecuted.Status), zap.Bool("replaced", notExecuted.Replaced), zap.Bool("other weights", notExecuted.WeightsDiffer))
		if r.attempts >= maxAttempts {
			return r.noRetry(stopAttempts)
		}
		return r.retry(beechretry.RanNo, choice, true)
	}
	r.maybeExecuted++
	r.onTrial = false
	cause := r.failureCause(watch, err)
	r.logAttempt("failed", choice, zap.Error(err), zap.Bool("patience", watch.hasRetry()), zap.String("endedBy", string(cause)), zap.Duration("silence", r.silence()))
	r.ended(cause)
	if watch.hasRetry() {
		placement.Done(beechplace.Failed)
		r.dispatcher.observer.ObserveAttempt(choice.Server, r.call.Model, 0, choice.PrefillTokens, true)
		return tryAgain
	}
	var probed *probe
	if watch.startMissed() || errors.Is(err, errOtherSoftware) {
		placement.Done(beechplace.Cancelled)
	} else if r.dispatcher.clock.Now().Before(r.call.Deadline) {
		placement.Done(beechplace.Failed)
		if !errors.Is(err, errServerGone) {
			probed = r.answerBroken(choice)
		}
		r.dispatcher.observer.ObserveAttempt(choice.Server, r.call.Model, 0, choice.PrefillTokens, true)
	} else {
		placement.Done(beechplace.Cancelled)
		return r.noRetry(stopDeadline)
	}
	switch {
	case r.call.Origin != nil && r.call.Origin.Software == "":
		return r.noRetry(stopOrigin)
	case !r.repeatable():
		return r.continueAtBackup(choice, probed, errors.Is(err, errServerGone))
	case r.maybeExecuted >= r.call.Route.MaxAttempts:
		return r.noRetry(stopAttempts)
	}
	r.awaitProbe(probed)
	return r.retry(beechretry.RanUnknown, choice, false)
}

// failureCause returns what ended an attempt that may have been executed and has no whole answer.
func (r *execution) failureCause(watch *watchdog, err error) endCause {
	switch {
	case watch.hasRetry():
		return endSilent
	case watch.startMissed():
		return endWeights
	case errors.Is(err, errOtherSoftware):
		return endSoftware
	case !r.dispatcher.clock.Now().Before(r.call.Deadline):
		return endDeadline
	case errors.Is(err, errServerGone):
		return endServerGone
	}
	return endBroken
}

// awaitProbe waits until it is known whether the server crashed. A retry that is sent before may
// crash the next one.
func (r *execution) awaitProbe(probed *probe) {
	if probed == nil {
		return
	}
	select {
	case <-probed.done:
	case <-r.dispatcher.clock.After(maxProbeWait):
	}
}

// serverGone reports whether the server of an answer that ended with its connection has crashed, so
// that the answer may not be whole. One that leaves may finish its answers while it refuses connections.
func (r *execution) serverGone(choice beechplace.Choice, answer *beechcall.Answer) bool {
	if !answer.Unframed || answer.Leaving {
		return false
	}
	probed := r.answerBroken(choice)
	<-probed.done
	return probed.refused
}

// answerBroken reports that the server may have crashed.
func (r *execution) answerBroken(choice beechplace.Choice) *probe {
	now := r.dispatcher.clock.Now()
	begun := !r.begunAt.IsZero() && now.Sub(r.begunAt) >= settleTime
	return r.dispatcher.crashes.answerBroken(brokenAnswer{call: r.call, request: r.poisonTraits(), server: choice.Server.ID, begun: begun, at: now}, choice.Server.Address)
}

// handleWithdrawn decides what follows an attempt that was not sent, for a reason on this side.
func (r *execution) handleWithdrawn(placement *beechplace.Attempt) verdict {
	placement.Done(beechplace.Withdrawn)
	r.ended(endWithdrawn)
	r.attempts--
	switch {
	case r.callerLeft():
		return finished
	case !r.dispatcher.clock.Now().Before(r.call.Deadline):
		return r.noRetry(stopDeadline)
	case r.backup.continues:
		return r.backupGivenUp(beechbackup.EngineLost)
	}
	return tryAgain
}

// noRetry records why the call is not tried again.
func (r *execution) noRetry(cause stopCause) verdict {
	r.stop = cause
	return noRetry
}

// retry takes a retry from the budget if it has one left.
func (r *execution) retry(ran beechretry.Ran, choice beechplace.Choice, rejected bool) verdict {
	switch d := r.decideRetry(ran, choice, rejected).(type) {
	case beechretry.Retry:
		return tryAgain
	case beechretry.GiveUp:
		if !d.Exhausted {
			return r.noRetry(stopDeadline)
		}
	}
	return r.noRetry(stopBudget)
}

// repeatable reports whether a call that may have been executed may be sent again. A stream
// that has started goes on only if it can be resumed after its last event.
func (r *execution) repeatable() bool {
	switch r.call.Route.RetryPolicy {
	case beechcall.Repeatable:
		return !r.stream.started
	case beechcall.Resumable:
		return !r.stream.started || (r.stream.lastEventID != "" && r.call.Origin.Software != "")
	}
	return false
}

// takeRetry takes a retry from the budget, and reports whether one was left.
func (r *execution) takeRetry(ran beechretry.Ran, choice beechplace.Choice, rejected bool) bool {
	_, ok := r.decideRetry(ran, choice, rejected).(beechretry.Retry)
	return ok
}

func (r *execution) decideRetry(ran beechretry.Ran, choice beechplace.Choice, rejected bool) beechretry.Decision {
	return r.dispatcher.budget.Decide(r.call.Service, beechretry.Outcome{
		Attempt: 1, Ran: ran, Repeatable: r.repeatable(), Deadline: r.call.Deadline,
		Server: choice.Server.Address, Rejected: rejected,
	})
}

// giveUp ends a call that gets no further attempt, and returns the outcome.
func (r *execution) giveUp(ctx context.Context, reason string, details ...zap.Field) string {
	if r.callerLeft() {
		return OutcomeLeft
	}
	fields := []zap.Field{
		zap.String("request", r.call.ID), zap.String("route", r.call.Route.Name), zap.String("reason", reason),
		zap.Int("sends", r.attempts), zap.Int("ran", r.maybeExecuted), zap.Duration("took", r.dispatcher.clock.Since(r.started)),
	}
	if r.stop != "" {
		fields = append(fields, zap.String("cause", string(r.stop)))
	}
	fields = append(append(fields, r.endFields()...), details...)
	switch {
	case r.stream.started:
		r.countBroken()
		r.dispatcher.log.Warn("stream broken off", fields...)
		r.out.AbortStream()
		return "broken"
	case r.serverError != nil:
		r.out.Respond(r.serverError.status, r.serverError.header, r.serverError.body)
		return "answered"
	case r.maybeExecuted == 0:
		after := r.timeToReturn(reason)
		r.dispatcher.log.Warn("request refused", append(fields, zap.Duration("after", after), zap.Bool("again", r.call.CameBack))...)
		r.out.Reject(NotExecuted{RetryAfter: after, Reason: reason})
		return "refused"
	case isDone(ctx) || !r.dispatcher.clock.Now().Before(r.call.Deadline):
		r.dispatcher.log.Warn("request overdue", fields...)
		r.out.Reject(DeadlineExceeded{})
		return "overdue"
	}
	r.dispatcher.log.Warn("request failed", fields...)
	r.out.Reject(OutcomeUnknown{Reason: reason})
	return "failed"
}

// timeToReturn returns when the caller of a refused call may come back.
func (r *execution) timeToReturn(reason string) time.Duration {
	switch {
	case reason == reasonPoison:
		return r.retryAfter
	case r.retryAfter > 0:
		return r.dispatcher.placer.RetryAfter(r.call.Service, r.retryAfter)
	}
	if r.dispatcher.returns != nil {
		if after, ok := r.dispatcher.returns.After(r.call); ok {
			return after
		}
	}
	return min(jitter(defaultRetryAfter), max(r.call.TimeLeft(r.dispatcher.clock.Now())/3, 0))
}

func (r *execution) logAttempt(what string, choice beechplace.Choice, fields ...zap.Field) {
	r.dispatcher.log.Info("attempt "+what, append(fields,
		zap.String("request", r.call.ID), zap.String("server", choice.Server.ID), zap.Stringer("peer", choice.Server.Address),
		zap.Uint64("weights", choice.Weights), zap.Int("sends", r.attempts), zap.Float64("cost", choice.Cost))...)
}

// milliseconds converts milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// isDone reports whether a context has ended. It never blocks, whereas Err of a fake
// clock's context may.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// lastEventID returns the ID of the last event in data that has one.
func lastEventID(data []byte) (string, bool) {
	at := bytes.LastIndex(data, []byte("id:"))
	for at > 0 && data[at-1] != '\n' {
		at = bytes.LastIndex(data[:at], []byte("id:"))
	}
	if at < 0 {
		return "", false
	}
	line := data[at+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line)), true
}
