package beechattempt

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsurvival"
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
		current         *exchange // the attempt under way, or the last one
		hedging         hedging
		onTrial         bool        // of a blamed trait
		departed        atomic.Bool // the caller was seen to have disconnected
		departure       departureWatch
		serverError     *response // a server's error response, forwarded if no better answer comes
		stream          streamState
		backup          runBackup
		stop            stopCause // of the verdict noRetry
	}

	// exchange is an attempt at one server.
	exchange struct {
		call      *beechcall.Call
		choice    beechplace.Choice
		placement *beechplace.Attempt
		number    int // of the attempts of its call
		sent      time.Time
		listAge   time.Duration // since the list of servers was proved, when it was sent
		start     *startLimit
		activity  *activity
		withdraw  context.CancelCauseFunc
		answer    *beechcall.Answer // nil until it has begun
		share     *answerShare      // nil once what it holds belongs to another
		read      []byte            // whole body that a hedge has read
		events    *eventBuffer      // what a hedge has read of a stream
		readErr   error             // after that
		pending   int               // bytes of a stream that formed no event when it ended
	}

	response struct {
		status int
		header http.Header
		body   []byte
		share  *answerShare
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
	hedgeWon                // it goes on with the hedge that has won
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

var errWeightsExpire = errors.New("the server's weights expire before the request can start")

func (r *execution) serve(ctx context.Context) string {
	r.dispatcher.budget.RecordRequest(r.call.Service)
	defer func() { r.keepServerError(nil) }()
	defer r.hedging.close()
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
		case tryAgain, hedgeWon:
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
		return r.backup.engine.Continuation(r.call), true
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

// attempt sends the call to one server, and to others while that one is silent, and forwards the first
// answer to the caller.
func (r *execution) attempt(ctx context.Context, choice beechplace.Choice) verdict {
	v := r.sendTo(ctx, choice)
	for v == hedgeWon {
		v = r.forwardHedge(ctx)
	}
	return v
}

// sendTo sends the call to one server and forwards its answer to the caller.
func (r *execution) sendTo(ctx context.Context, choice beechplace.Choice) verdict {
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
	withdrawable, withdraw := context.WithCancelCause(ctx)
	defer withdraw(nil)
	x := &exchange{
		call: r.call, choice: choice, placement: placement, number: r.attempts, sent: r.dispatcher.clock.Now(), withdraw: withdraw,
		start: newStartLimit(r.dispatcher.clock, choice.FirstByteTimeout, withdraw), activity: r.dispatcher.activities.begin(choice.Server.ID),
		share: r.dispatcher.memory.share(),
	}
	defer x.releaseShare()
	defer r.dispatcher.activities.end(x.activity)
	defer x.start.stop()
	r.dispatcher.recordListAge(x)
	r.beginExchange(ctx, x, r.dispatcher.timeouts.firstByte(r.call.Route.Name, r.call.Route.Objective))
	r.hedging.wait()
	answer, err := r.dispatcher.backend.Send(withdrawable, beechcall.Attempt{
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
	r.hedging.pause(false)
	r.continuationSent(err)
	if err != nil {
		return r.handleFailure(x, err)
	}
	defer answer.Body.Close()
	x.answer = answer
	r.dispatcher.observeAnswer(x)
	return r.forward(x)
}

// beginExchange makes an exchange the attempt under way.
func (r *execution) beginExchange(ctx context.Context, x *exchange, timeout time.Duration) {
	r.current, r.choice = x, x.choice
	r.sentAt, r.begunAt, r.startRecorded = x.sent, time.Time{}, false
	r.hedging.begin(ctx, r, x, timeout)
}

// forwardHedge forwards the answer of the hedge that has won.
func (r *execution) forwardHedge(ctx context.Context) verdict {
	x := r.hedging.takeWinner()
	defer x.releaseShare()
	defer r.dispatcher.activities.end(x.activity)
	defer x.withdraw(nil)
	defer x.answer.Body.Close()
	r.beginExchange(ctx, x, r.pauseTimeout())
	r.heardAt = r.dispatcher.clock.Now()
	if r.callerLeft() {
		x.placement.Done(beechplace.Cancelled)
		r.ended(endCallerLeft)
		return finished
	}
	return r.forward(x)
}

// forward forwards the answer of an exchange.
func (r *execution) forward(x *exchange) verdict {
	if r.call.Route.Stream && x.answer.Status == http.StatusOK {
		return r.forwardStream(x)
	}
	return r.forwardWhole(x)
}

// loseToHedge ends the attempt under way, which was silent until a hedge had won.
func (r *execution) loseToHedge(x *exchange) verdict {
	x.start.stop()
	if r.callerLeft() {
		x.placement.Done(beechplace.Cancelled)
		r.ended(endCallerLeft)
		return hedgeWon
	}
	r.triedServers = append(r.triedServers, x.choice.Server.ID)
	r.maybeExecuted++
	r.onTrial = false
	x.placement.Done(beechplace.Failed)
	r.dispatcher.observer.ObserveAttempt(x.choice.Server, r.call.Model, 0, x.choice.PrefillTokens, true)
	r.dispatcher.ends.silences.Add(string(silenceWon), 1)
	r.dispatcher.logAttempt("failed", x, zap.Error(errHedgeWon), zap.String("endedBy", string(endSilent)), zap.Duration("silence", r.silence()))
	r.ended(endSilent)
	return hedgeWon
}

// observeAnswer records what the head of an answer tells of its server.
func (d *Dispatcher) observeAnswer(x *exchange) {
	answer := x.answer
	x.placement.ObserveLimit(answer.Limit)
	x.placement.ObserveLoad(answer.Load)
	if answer.Load.Slowness > 0 {
		d.admission.Enable(x.call.Service)
	}
	d.observeBackoff(x, answer.Backoff)
	d.observeLeaving(x, answer.Leaving)
	d.placer.ObserveVersion(x.choice.Server.ID, x.call.Model, answer.Weights)
}

// observeRejection records what the head of an answer tells of a server that has not executed a request.
func (d *Dispatcher) observeRejection(x *exchange, rejection beechcall.NotExecuted) {
	if rejection.Replaced {
		return
	}
	x.placement.ObserveLimit(rejection.Limit)
	x.placement.ObserveLoad(rejection.Load)
	d.observeBackoff(x, rejection.Backoff)
	d.observeLeaving(x, rejection.Leaving)
}

// endRejected ends an attempt that its server has not executed.
func (d *Dispatcher) endRejected(x *exchange, rejection beechcall.NotExecuted) {
	x.placement.Done(beechplace.Rejected)
	d.placer.ObserveRejection(x.choice.Server.ID, rejection, x.call.Model)
	d.logAttempt("turned away", x, zap.Int("status", rejection.Status), zap.Bool("replaced", rejection.Replaced), zap.String("answeredBy", rejection.ActualID),
		zap.Bool("other weights", rejection.WeightsDiffer), zap.Bool("unmarked", rejection.Unmarked),
		zap.Int("connection", rejection.Connection.Number), zap.Int("exchanges", rejection.Connection.Exchanges), zap.Int("discarded", rejection.Connection.Discarded))
}

// observeBackoff records that the server asked for no requests for a time.
func (d *Dispatcher) observeBackoff(x *exchange, after time.Duration) {
	if after <= 0 {
		return
	}
	remaining, reported := x.placement.ObserveBackoff(after)
	d.logAttempt("asked to back off", x, zap.Duration("after", after), zap.Duration("remaining", remaining), zap.Bool("reported", reported))
}

// observeLeaving records that the server said that it leaves.
func (d *Dispatcher) observeLeaving(x *exchange, leaving bool) {
	if leaving && x.placement.ObserveLeaving() {
		d.logAttempt("answered by a leaving server", x)
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
func (r *execution) forwardWhole(x *exchange) verdict {
	body, err := x.read, x.readErr
	if body == nil {
		body, err = r.readWhole(x)
	}
	if err != nil {
		return r.handleFailure(x, beechcall.OutcomeUnknown{Peer: x.choice.Server.Address, Step: "read the answer's body", Err: err})
	}
	x.start.stop()
	if r.hedging.won() {
		return r.loseToHedge(x)
	}
	choice, placement, answer, sent := x.choice, x.placement, x.answer, x.sent
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
		r.keepServerError(x.serverError(body))
		if r.hedging.await() {
			return hedgeWon
		}
		if r.executions() < r.call.Route.MaxAttempts && !r.callerLeft() && r.takeRetry(beechretry.RanYes, choice, false) {
			r.dispatcher.logAttempt("retried", x, zap.Int("status", answer.Status))
			return tryAgain
		}
	}
	if r.stream.started {
		if r.hedging.await() {
			return hedgeWon
		}
		r.dispatcher.logAttempt("answered with another response", x, zap.Int("status", answer.Status))
		return r.noRetry(stopOtherAnswer) // not a continuation of the events that the caller has
	}
	if !r.hedging.dropHedges() {
		return hedgeWon
	}
	r.dispatcher.suspects.RecordSuccess(r.call.Fingerprint())
	if answer.Status < http.StatusMultipleChoices {
		r.recordStart()
	}
	if r.call.Route.RetryPolicy == beechcall.AtMostOnce && promisesNotRun(answer.Status) {
		// The server has not said that it did not run the request, but the status would say so
		// to the caller, who would send it again.
		r.maybeExecuted++
		r.dispatcher.logAttempt("answered with a status that it does not prove", x, zap.Int("status", answer.Status))
		return r.noRetry(stopStatus)
	}
	r.out.Respond(answer.Status, answer.Header, body)
	return finished
}

// serverError returns an error response of a server, which holds what the exchange held.
func (x *exchange) serverError(body []byte) *response {
	share := x.share
	x.share = nil
	return &response{status: x.answer.Status, header: x.answer.Header, body: body, share: share}
}

// keepServerError keeps a server's error response for a caller that gets nothing better, instead of the one
// before.
func (r *execution) keepServerError(e *response) {
	r.serverError.release()
	r.serverError = e
}

func (e *response) release() {
	if e != nil {
		e.share.release()
	}
}

// releaseShare gives back what the exchange's answer holds.
func (x *exchange) releaseShare() { x.share.release() }

// readWhole reads the body of an answer that is not a stream.
func (r *execution) readWhole(x *exchange) ([]byte, error) {
	r.hedging.wait()
	body, err := readBody(x.answer.Body, x.share)
	r.hedging.pause(err == nil)
	if err == nil {
		err = r.unframedEnd(x)
	}
	return body, err
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
func (r *execution) handleFailure(x *exchange, err error) verdict {
	x.start.stop()
	notExecuted, rejected := rejectionOf(err)
	if rejected {
		r.dispatcher.observeRejection(x, notExecuted)
	}
	if r.hedging.won() {
		return r.loseToHedge(x)
	}
	if isWithdrawn(err) {
		return r.handleWithdrawn(x)
	}
	if r.callerLeft() {
		x.placement.Done(beechplace.Cancelled)
		r.ended(endCallerLeft)
		return finished
	}
	r.triedServers = append(r.triedServers, x.choice.Server.ID)
	if r.backup.continues {
		return r.continuationFailed(x, err)
	}
	next := r.nextAfterRejection
	switch {
	case isNotSent(err):
		r.notExecuted++
		x.placement.Done(beechplace.Unreachable)
		r.ended(endNotSent)
		r.dispatcher.logAttempt("not sent", x, zap.Error(err))
		next = r.nextAfterNotSent
	case rejected:
		r.notExecuted++
		r.dispatcher.endRejected(x, notExecuted)
		r.ended(endTurnedAway)
	default:
		next = r.recordFailure(x, err)
	}
	if r.hedging.await() {
		return hedgeWon
	}
	if r.callerLeft() {
		return finished
	}
	return next()
}

// rejectionOf returns the rejection if an attempt has failed with one. What OutcomeUnknown wraps is none.
func rejectionOf(err error) (rejection beechcall.NotExecuted, ok bool) {
	var failure beechcall.Failure
	if errors.As(err, &failure) {
		rejection, ok = failure.(beechcall.NotExecuted)
	}
	return rejection, ok
}

// isNotSent reports whether an attempt has failed before anything reached the server.
func isNotSent(err error) bool {
	var failure beechcall.Failure
	if !errors.As(err, &failure) {
		return false
	}
	_, ok := failure.(beechcall.NotSent)
	return ok
}

// isWithdrawn reports whether an attempt was not sent for a reason on this side.
func isWithdrawn(err error) bool { return isNotSent(err) && errors.Is(err, beechcall.ErrWithdrawn) }

// nextAfterNotSent decides what follows an attempt of which nothing has reached its server.
func (r *execution) nextAfterNotSent() verdict {
	if r.attempts < maxAttempts {
		return tryAgain
	}
	return r.noRetry(stopAttempts)
}

// nextAfterRejection decides what follows an attempt that its server has not executed.
func (r *execution) nextAfterRejection() verdict {
	if r.attempts >= maxAttempts {
		return r.noRetry(stopAttempts)
	}
	return r.retry(beechretry.RanNo, r.choice, true)
}

// recordFailure records an attempt that may have been executed and has no whole answer, and returns what
// decides what follows it.
func (r *execution) recordFailure(x *exchange, err error) func() verdict {
	r.maybeExecuted++
	r.onTrial = false
	cause := r.failureCause(x, err)
	r.dispatcher.logAttempt("failed", x, zap.Error(err), zap.String("endedBy", string(cause)), zap.Duration("silence", r.silence()), zap.Int("pending", x.pending))
	r.ended(cause)
	var probed *probe
	switch {
	case cause == endWeights || cause == endSoftware || cause == endMemory:
		x.placement.Done(beechplace.Cancelled)
	case cause == endDeadline:
		x.placement.Done(beechplace.Cancelled)
		return func() verdict { return r.noRetry(stopDeadline) }
	default:
		x.placement.Done(beechplace.Failed)
		if cause != endServerGone && cause != endMalformed {
			probed = r.answerBroken(x.choice)
		}
		r.dispatcher.observer.ObserveAttempt(x.choice.Server, r.call.Model, 0, x.choice.PrefillTokens, true)
	}
	return func() verdict { return r.nextAfterFailure(x, probed) }
}

// nextAfterFailure decides what follows an attempt that may have been executed.
func (r *execution) nextAfterFailure(x *exchange, probed *probe) verdict {
	switch {
	case r.call.Origin != nil && r.call.Origin.Software == "":
		return r.noRetry(stopOrigin)
	case !r.repeatable():
		return r.continueAtBackup(x.choice, probed)
	case r.executions() >= r.call.Route.MaxAttempts:
		return r.noRetry(stopAttempts)
	}
	r.awaitProbe(probed)
	return r.retry(beechretry.RanUnknown, x.choice, false)
}

// executions returns the number of attempts without a good answer that may have been executed.
func (r *execution) executions() int {
	unended := r.hedging.unended() // adds to maybeExecuted
	return r.maybeExecuted + unended
}

// failureCause returns what ended an attempt that may have been executed and has no whole answer.
func (r *execution) failureCause(x *exchange, err error) endCause {
	switch {
	case x.start.missed():
		return endWeights
	case errors.Is(err, errOtherSoftware):
		return endSoftware
	case !r.dispatcher.clock.Now().Before(r.call.Deadline):
		return endDeadline
	case errors.Is(err, beechsurvival.ErrExited):
		return endServerGone
	case errors.Is(err, beechcall.ErrMalformed):
		return endMalformed
	case errors.Is(err, errAnswerMemory):
		return endMemory
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

// unframedEnd returns an error if an answer has ended with its connection and its server is not known
// to have survived that, so that the answer may not be whole.
func (r *execution) unframedEnd(x *exchange) error {
	err := r.dispatcher.unframedEnd(x)
	if errors.Is(err, beechsurvival.ErrExited) {
		r.answerBroken(x.choice)
	}
	return err
}

func (d *Dispatcher) unframedEnd(x *exchange) error {
	if !x.answer.Unframed {
		return nil
	}
	server := x.choice.Server
	return d.survivals.Check(server.Address, beechsurvival.Lifetime{ID: server.ID, Born: server.Born}, x.call.Deadline)
}

// answerBroken reports that the server may have crashed.
func (r *execution) answerBroken(choice beechplace.Choice) *probe {
	now := r.dispatcher.clock.Now()
	begun := !r.begunAt.IsZero() && now.Sub(r.begunAt) >= settleTime
	return r.dispatcher.crashes.answerBroken(brokenAnswer{call: r.call, request: r.poisonTraits(), server: choice.Server.ID, begun: begun, at: now}, choice.Server.Address)
}

// handleWithdrawn decides what follows an attempt that was not sent, for a reason on this side.
func (r *execution) handleWithdrawn(x *exchange) verdict {
	x.placement.Done(beechplace.Withdrawn)
	r.ended(endWithdrawn)
	r.attempts--
	if r.hedging.await() {
		return hedgeWon
	}
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
		zap.Int("sends", r.attempts), zap.Int("ran", r.executions()), zap.Duration("took", r.dispatcher.clock.Since(r.started)),
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
	case r.executions() == 0:
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

func (d *Dispatcher) logAttempt(what string, x *exchange, fields ...zap.Field) {
	d.log.Info("attempt "+what, append(fields,
		zap.String("request", x.call.ID), zap.String("server", x.choice.Server.ID), zap.Stringer("peer", x.choice.Server.Address),
		zap.Uint64("born", x.choice.Server.Born), zap.Uint64("weights", x.choice.Weights), zap.Int("sends", x.number), zap.Float64("cost", x.choice.Cost), zap.Duration("listAge", x.listAge))...)
}

// recordListAge records how old the proof of the list of servers is as an attempt is sent.
func (d *Dispatcher) recordListAge(x *exchange) {
	x.listAge = d.placer.ListAge()
	d.observer.ObserveSend(x.call, x.choice.Server, x.listAge)
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
