package beechattempt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// hedging sends a call to another server while the one that it waits for is silent. The first attempt
	// stays open; whichever has whole events next, or a whole answer, goes on, and the others are
	// withdrawn then. Silence alone ends nothing.
	//
	// The execution's goroutine is blocked by its attempt meanwhile. The timer and the hedges may read the
	// execution while it waits, holding the lock; what they have to tell it, it takes when it goes on.
	hedging struct {
		execution *execution
		ctx       context.Context // of the call
		enabled   bool            // the call may be hedged; only for the execution, like alone
		alone     bool            // no hedge is under way or has won, nor is one sent until the execution waits

		mu        sync.Mutex
		closed    bool
		waiting   bool                    // the execution waits for data
		broken    bool                    // its attempt has ended without it, and it waits for the hedges
		withdraw  context.CancelCauseFunc // of its attempt
		activity  *activity               // of its attempt's server
		overdue   bool                    // its attempt was silent for longer than the time-out
		restart   bool                    // the time-out counts anew from when the execution waits again
		since     time.Time               // of the silence
		timeout   time.Duration
		due       time.Time // when the next hedge may be sent
		delay     time.Duration
		reason    silenceAction // why no hedge was sent
		withdrawn int           // hedges in a row that were withdrawn before they were sent
		timer     clockwork.Timer
		timerAt   time.Time // when the timer runs; zero: it is not set
		underway  []*hedge  // those that were withdrawn included, until they have ended
		winner    *exchange
		changed   chan struct{} // gets a value when a hedge has won or ended
		news      hedgeNews
	}

	// hedgeNews is what the execution has not taken yet.
	hedgeNews struct {
		sent          int // attempts, less those that were withdrawn before they were sent
		maybeExecuted int
		notExecuted   int
		failed        []string // servers
		ends          []attemptEnd
		serverError   *response
	}

	// hedge is an attempt beside another one.
	hedge struct {
		exchange

		hedging     *hedging
		lastEventID string
		begun       bool // the caller has the beginning of the stream
		decidedAt   time.Time
		overdue     bool // guarded by hedging.mu
		dropped     bool // guarded by hedging.mu
	}

	// silenceAction is what is done about a silent attempt.
	silenceAction string
)

const (
	silenceHedged     silenceAction = "sent to another server too"
	silenceNoServer   silenceAction = "waited for: no other server"
	silenceNoBudget   silenceAction = "waited for: " + silenceAction(stopBudget)
	silenceNoAttempts silenceAction = "waited for: " + silenceAction(stopAttempts)
	silenceBlamed     silenceAction = "waited for: " + reasonPoison
	silenceEnding     silenceAction = "ends"
	silenceWon        silenceAction = "went on at another server"
	silenceOver       silenceAction = "went on"

	// lookAgain is the first delay until it is looked again for a server, a retry or an attempt that a
	// hedge needs; it doubles with each look.
	lookAgain = 100 * time.Millisecond
	// maxWithdrawnDoublings bounds the delay after hedges that were withdrawn before they were sent: each
	// has taken a retry from the budget.
	maxWithdrawnDoublings = 4
	// maxTimerDelay is how late a timer may run. Beyond it the process stood still, and data that has
	// come meanwhile is read first.
	maxTimerDelay = 100 * time.Millisecond
	// quietShare is the share of a stream's time-out after which a server without any data of its streams gets no
	// hedge: servers that fall silent at once have not reached their time-outs when the first one does.
	quietShare = 0.5
)

var (
	errHedgeWon     = errors.New("another server has gone on")
	errHedgeDropped = errors.New("the first server has gone on")
	errServerFailed = errors.New("the server's answer is an error")
	errCallEnded    = errors.New("the call has ended")
)

// begin starts the time-out of an attempt.
func (h *hedging) begin(ctx context.Context, r *execution, x *exchange, timeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.execution == nil {
		h.execution, h.ctx, h.changed = r, ctx, make(chan struct{}, 1)
	}
	h.setOverdue(false)
	h.withdraw, h.activity = x.withdraw, x.activity
	h.alone, h.broken, h.restart, h.timeout = true, false, true, timeout
}

// wait records that the execution is about to wait for data.
func (h *hedging) wait() {
	r := h.execution
	now := r.dispatcher.clock.Now()
	if !r.begunAt.IsZero() {
		r.dispatcher.activities.beginReading(h.activity, now)
	}
	if h.enabled = r.repeatable(); !h.enabled {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = true
	if h.restart {
		h.restart, h.since, h.delay, h.reason = false, now, 0, ""
		h.due = now.Add(h.timeout)
	}
	h.setTimer(now)
}

// pause records that the execution no longer waits, and whether that is since events or a whole answer have come.
func (h *hedging) pause(heard bool) {
	r := h.execution
	if !r.begunAt.IsZero() {
		h.activity.reading.Add(-1)
	}
	if heard {
		r.heardAt = r.dispatcher.clock.Now()
		r.dispatcher.activities.heard(h.activity, r.heardAt)
	}
	if !h.enabled {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = false
	h.takeNews()
	h.alone = h.winner == nil && len(h.underway) == 0
	if heard {
		h.restart, h.timeout = true, r.pauseTimeout()
		h.countOver()
	}
}

// dropHedges withdraws the hedges, as the attempt has gone on. It returns false if one of them was first.
func (h *hedging) dropHedges() bool {
	if h.alone {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		return false
	}
	if h.drop() {
		d := h.execution.dispatcher
		d.logAttempt("went on", h.execution.current, zap.Duration("silence", d.clock.Since(h.since)))
	}
	return true
}

// countOver counts a silence that is over. The caller holds the lock.
func (h *hedging) countOver() {
	if h.overdue {
		h.setOverdue(false)
		h.execution.dispatcher.ends.silences.Add(string(silenceOver), 1)
	}
}

// takeWinner returns the hedge that has won, if there is one.
func (h *hedging) takeWinner() *exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.winner
	h.winner = nil
	return w
}

// won reports whether a hedge has won.
func (h *hedging) won() bool {
	if h.alone {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner != nil
}

// await waits, after the attempt has ended without an answer, until a hedge has won or none is left, and
// reports whether one has won.
func (h *hedging) await() bool {
	if h.alone {
		return false
	}
	for {
		h.mu.Lock()
		h.takeNews()
		h.setOverdue(false)
		left := slices.ContainsFunc(h.underway, func(x *hedge) bool { return !x.dropped })
		h.broken = true
		h.waiting = left && h.winner == nil
		won, done := h.winner != nil, !h.waiting
		if !done {
			h.setTimer(h.execution.dispatcher.clock.Now())
		}
		h.mu.Unlock()
		if done {
			return won
		}
		select {
		case <-h.changed:
		case <-h.ctx.Done():
			h.mu.Lock()
			h.drop()
			h.mu.Unlock()
		}
	}
}

// close ends all hedges.
func (h *hedging) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.execution == nil {
		return
	}
	h.closed, h.waiting = true, false
	h.setOverdue(false)
	h.drop()
	h.takeNews()
	if w := h.winner; w != nil { // it was first when the caller had just left
		h.winner = nil
		defer w.releaseShare()
		w.withdraw(errCallEnded)
		_ = w.answer.Body.Close()
		w.placement.Done(beechplace.Cancelled)
		h.execution.dispatcher.activities.end(w.activity)
	}
	if h.timer != nil {
		h.timer.Stop()
	}
}

// unended returns the number of hedges that have not ended, each of which may have been executed. The others
// are known to the execution then.
func (h *hedging) unended() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeNews()
	return len(h.underway)
}

// drop withdraws all hedges, and reports whether there were any. The caller holds the lock.
func (h *hedging) drop() bool {
	dropped := false
	for _, x := range h.underway {
		if !x.dropped {
			x.dropped, dropped = true, true
			x.withdraw(errHedgeDropped)
		}
	}
	return dropped
}

// takeNews gives the news to the execution. The caller holds the lock and is the execution's goroutine.
func (h *hedging) takeNews() {
	n := &h.news
	if n.sent == 0 && len(n.ends) == 0 {
		return
	}
	r := h.execution
	r.attempts += n.sent
	r.maybeExecuted += n.maybeExecuted
	r.notExecuted += n.notExecuted
	r.triedServers = append(r.triedServers, n.failed...)
	r.ends = append(r.ends, n.ends...)
	if n.serverError != nil {
		r.keepServerError(n.serverError)
	}
	h.news = hedgeNews{}
}

// setTimer has the timer run when the next hedge is due, or earlier. The caller holds the lock.
func (h *hedging) setTimer(now time.Time) {
	if !h.timerAt.IsZero() && !h.due.Before(h.timerAt) {
		return
	}
	after := max(h.due.Sub(now), 0)
	h.timerAt = h.due
	if h.timer == nil {
		h.timer = h.execution.dispatcher.clock.AfterFunc(after, h.onTimer)
		return
	}
	h.timer.Reset(after)
}

// onTimer sends a hedge if the time-out has passed.
func (h *hedging) onTimer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.execution.dispatcher.clock.Now()
	if h.closed || now.Before(h.timerAt) {
		return
	}
	h.timerAt = time.Time{}
	switch late := now.Sub(h.due); {
	case !h.waiting || h.winner != nil:
		return // wait sets it again
	case late > maxTimerDelay:
		h.due = now.Add(lookAgain)
	case late >= 0:
		h.onSilence(now)
	}
	h.setTimer(now)
}

// onSilence sends a hedge, or records why not. The caller holds the lock.
func (h *hedging) onSilence(now time.Time) {
	r := h.execution
	h.setOverdue(!h.broken)
	for _, x := range h.underway {
		x.setOverdue(!x.dropped && now.Sub(x.decidedAt) >= h.timeout)
	}
	done := h.hedge()
	if done == silenceHedged {
		h.due, h.delay = now.Add(h.timeout), 0
	} else {
		h.delay = min(max(2*h.delay, lookAgain), max(h.timeout, lookAgain))
		h.due = now.Add(h.delay)
	}
	if done != h.reason || done == silenceHedged {
		h.reason = done
		r.dispatcher.ends.silent(r.dispatcher, r.call.ID, now.Sub(h.since), r.current.placement.ServerState(), done)
	}
}

// setOverdue records whether the attempt is silent for longer than its time-out. The caller holds the lock.
func (h *hedging) setOverdue(overdue bool) {
	if h.overdue == overdue {
		return
	}
	h.overdue = overdue
	h.activity.setOverdue(overdue)
}

func (x *hedge) setOverdue(overdue bool) {
	if x.overdue != overdue {
		x.overdue = overdue
		x.activity.setOverdue(overdue)
	}
}

func (a *activity) setOverdue(overdue bool) {
	if overdue {
		a.overdue.Add(1)
		return
	}
	a.overdue.Add(-1)
}

// hedge sends the call to another server, if there is one, a retry and an attempt for it. The caller holds
// the lock.
func (h *hedging) hedge() silenceAction {
	r, d, call := h.execution, h.execution.dispatcher, *h.execution.call
	executing := len(h.underway)
	if !h.broken {
		executing++
	}
	switch {
	case isDone(h.ctx) || r.callerLeft():
		return silenceEnding
	case r.maybeExecuted+h.news.maybeExecuted+executing >= call.Route.MaxAttempts, r.attempts+h.news.sent >= maxAttempts:
		return silenceNoAttempts
	case d.blamed(&call):
		return silenceBlamed
	}
	choice, ok := d.placer.Choose(&call, h.excluded())
	if !ok {
		return silenceNoServer
	}
	if !r.takeRetry(beechretry.RanUnknown, r.choice, false) {
		return silenceNoBudget
	}
	ctx, cancel := context.WithCancelCause(h.ctx)
	h.news.sent++
	x := &hedge{
		exchange: exchange{call: &call, choice: choice, withdraw: cancel, number: r.attempts + h.news.sent, activity: d.activities.begin(choice.Server.ID), share: d.memory.share()},
		hedging:  h, lastEventID: r.stream.lastEventID, begun: r.stream.started, decidedAt: d.clock.Now(),
	}
	h.underway = append(h.underway, x)
	d.hedges.Go(func() { x.run(ctx) })
	return silenceHedged
}

// excluded returns the servers that get no hedge: those that were tried, and those that are silent.
func (h *hedging) excluded() []string {
	r := h.execution
	excluded := append(slices.Clone(r.triedServers), r.choice.Server.ID)
	excluded = append(excluded, h.news.failed...)
	for _, x := range h.underway {
		excluded = append(excluded, x.choice.Server.ID)
	}
	return append(excluded, r.dispatcher.activities.silent(time.Duration(quietShare*float64(r.pauseTimeout())))...)
}

// blamed reports whether servers crash on something that the call has.
func (d *Dispatcher) blamed(call *beechcall.Call) bool {
	if d.poison.Idle() {
		return false
	}
	_, allowed := d.poison.Check(requestOf(call)).(beechpoison.Allow)
	return !allowed
}

// run sends the hedge and reads its answer until it has won or lost.
func (x *hedge) run(ctx context.Context) {
	d := x.hedging.execution.dispatcher
	defer d.activities.end(x.activity)
	defer x.releaseShare()
	x.placement = d.placer.StartAttempt(x.call, x.choice)
	defer x.endPanic(d)
	if !x.ready(ctx, d) {
		x.placement.Done(beechplace.Cancelled)
		x.end(hedgeNews{sent: -1, ends: x.ended(endWithdrawn)})
		return
	}
	x.start = newStartLimit(d.clock, x.choice.FirstByteTimeout, x.withdraw)
	defer x.start.stop()
	x.sent = d.clock.Now()
	d.recordListAge(&x.exchange)
	err := x.send(ctx, d)
	if err == nil && x.hedging.win(x) {
		return
	}
	if x.answer != nil {
		defer x.answer.Body.Close()
	}
	x.end(x.lose(ctx, d, err))
}

// endPanic ends a hedge that has panicked. Unlike the handler's goroutine, which net/http guards, its own
// would end the process.
func (x *hedge) endPanic(d *Dispatcher) {
	p := recover()
	if p == nil {
		return
	}
	d.logAttempt("panicked", &x.exchange, zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
	x.withdraw(nil)
	if x.answer != nil {
		_ = x.answer.Body.Close()
	}
	x.placement.Done(beechplace.Cancelled)
	x.end(hedgeNews{maybeExecuted: 1, failed: []string{x.choice.Server.ID}, ends: x.ended(endBroken)})
}

// ready waits for a part of the prompt that another request prefills, and reports whether the hedge may be
// sent then.
func (x *hedge) ready(ctx context.Context, d *Dispatcher) bool {
	if x.choice.Wait > 0 {
		select {
		case <-d.clock.After(x.choice.Wait):
		case <-ctx.Done():
		}
	}
	return !isDone(ctx) && d.placer.StillUsable(x.call, x.choice) && x.placement.AcquireLimit()
}

// send sends the hedge and reads its answer as far as it has to be known to win.
func (x *hedge) send(ctx context.Context, d *Dispatcher) error {
	r := x.hedging.execution
	answer, err := d.backend.Send(ctx, beechcall.Attempt{
		Call: x.call, Server: x.choice.Server, Weights: x.choice.Weights, Salt: x.choice.Salt,
		Urgency: x.call.Urgency(), Fetch: x.choice.Fetch, Save: x.choice.Save, LastEventID: x.lastEventID,
		Withdrawn: func() bool {
			return r.callerLeft() || !d.placer.StillUsable(x.call, x.choice) || d.blamed(x.call)
		},
		Reset: x.onReset,
	})
	if err != nil {
		return err
	}
	x.answer = answer
	d.observeAnswer(&x.exchange)
	if x.call.Route.Stream && answer.Status == http.StatusOK {
		return x.readEvents(d)
	}
	return x.readWhole(d)
}

// onReset records that the hedge was withdrawn, if that was for the caller's departure.
func (x *hedge) onReset(told bool) {
	if r := x.hedging.execution; r.departed.Load() || isDone(r.callerCtx) {
		r.departure.reset(told)
	}
}

// readEvents reads until there are whole events, or the stream ends.
func (x *hedge) readEvents(d *Dispatcher) error {
	buffer := newEventBuffer(x.share)
	for {
		err := buffer.read(x.answer.Body)
		whole := len(buffer.whole()) > 0
		if whole {
			x.start.stop()
		}
		atEnd := err == io.EOF && buffer.pending() == 0
		switch {
		case whole, atEnd && x.begun && !x.answer.Unframed:
			if x.call.Origin != nil && d.placer.Software(x.choice) != x.call.Origin.Software {
				return x.unknown("read the stream", errOtherSoftware)
			}
			x.events, x.readErr = buffer, err
			return nil
		case err == nil:
			continue
		case atEnd:
			err = errNoEvent
		case err == io.EOF:
			err = errIncompleteEvent
		}
		return x.unknown("read the stream", err)
	}
}

// readWhole reads an answer that is not a stream.
func (x *hedge) readWhole(d *Dispatcher) error {
	body, err := readBody(x.answer.Body, x.share)
	if err == nil {
		err = x.unframedEnd(d)
	}
	switch {
	case err != nil:
	case x.answer.Status >= http.StatusInternalServerError:
		x.read = body
		return errServerFailed
	case x.begun || promisesNotRun(x.answer.Status):
		return errServerFailed
	}
	if err != nil {
		return x.unknown("read the answer's body", err)
	}
	x.read = body
	return nil
}

func (x *hedge) unknown(step string, err error) error {
	return beechcall.OutcomeUnknown{Peer: x.choice.Server.Address, Step: step, Err: err}
}

func (x *hedge) unframedEnd(d *Dispatcher) error {
	err := d.unframedEnd(&x.exchange)
	if errors.Is(err, beechsurvival.ErrExited) {
		x.reportBroken(d)
	}
	return err
}

func (x *hedge) reportBroken(d *Dispatcher) *probe {
	return d.crashes.answerBroken(brokenAnswer{call: x.call, request: requestOf(x.call), server: x.choice.Server.ID, at: d.clock.Now()}, x.choice.Server.Address)
}

// win has the execution go on with a hedge, unless another attempt was first.
func (h *hedging) win(x *hedge) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if x.dropped || h.winner != nil || h.closed {
		return false
	}
	x.setOverdue(false)
	h.underway = slices.DeleteFunc(h.underway, func(other *hedge) bool { return other == x })
	won := x.exchange
	x.share = nil
	won.activity = h.execution.dispatcher.activities.begin(x.choice.Server.ID)
	h.winner = &won
	if !h.broken {
		h.execution.dispatcher.activities.markSilent(h.activity)
	}
	h.drop()
	h.withdraw(errHedgeWon)
	h.wake()
	return true
}

// end records what became of a hedge that has not won.
func (x *hedge) end(n hedgeNews) {
	h := x.hedging
	x.withdraw(nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	x.setOverdue(false)
	h.underway = slices.DeleteFunc(h.underway, func(other *hedge) bool { return other == x })
	h.news.sent += n.sent
	h.news.maybeExecuted += n.maybeExecuted
	h.news.notExecuted += n.notExecuted
	h.news.failed = append(h.news.failed, n.failed...)
	h.news.ends = append(h.news.ends, n.ends...)
	if n.serverError != nil {
		h.news.serverError.release()
		h.news.serverError = n.serverError
		if h.closed {
			n.serverError.release()
		}
	}
	if n.sent < 0 {
		h.withdrawn++
	} else {
		h.withdrawn = 0
	}
	if (n.notExecuted > 0 || n.sent < 0) && h.waiting { // the next one need not wait for the time-out
		now := h.execution.dispatcher.clock.Now()
		h.due = now.Add(lookAgain << min(max(h.withdrawn-1, 0), maxWithdrawnDoublings))
		h.setTimer(now)
	}
	h.wake()
}

// wake has the execution look at the hedges if it waits for them. The caller holds the lock.
func (h *hedging) wake() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

func (x *hedge) ended(cause endCause) []attemptEnd {
	d := x.hedging.execution.dispatcher
	d.ends.causes.Add(string(cause), 1)
	return []attemptEnd{{server: x.choice.Server.ID, cause: cause, silence: d.clock.Since(x.decidedAt)}}
}

// lose ends a hedge that was withdrawn or has failed.
func (x *hedge) lose(ctx context.Context, d *Dispatcher, err error) hedgeNews {
	notExecuted, rejected := rejectionOf(err)
	id := x.choice.Server.ID
	switch {
	case isWithdrawn(err):
		x.placement.Done(beechplace.Withdrawn)
		return hedgeNews{sent: -1, ends: x.ended(endWithdrawn)}
	case rejected:
		d.observeRejection(&x.exchange, notExecuted)
		d.endRejected(&x.exchange, notExecuted)
		return hedgeNews{notExecuted: 1, failed: []string{id}, ends: x.ended(endTurnedAway)}
	case isNotSent(err) && isDone(ctx):
		x.placement.Done(beechplace.Withdrawn)
		return hedgeNews{notExecuted: 1, ends: x.ended(endNotSent)}
	case isNotSent(err):
		x.placement.Done(beechplace.Unreachable)
		d.logAttempt("not sent", &x.exchange, zap.Error(err))
		return hedgeNews{notExecuted: 1, failed: []string{id}, ends: x.ended(endNotSent)}
	case err == nil || isDone(ctx) && !x.start.missed():
		x.placement.Done(beechplace.Cancelled)
		return hedgeNews{maybeExecuted: 1, ends: x.ended(endDropped)}
	}
	n := hedgeNews{maybeExecuted: 1, failed: []string{id}}
	switch {
	case x.start.missed():
		x.placement.Done(beechplace.Cancelled)
		n.ends = x.ended(endWeights)
	case errors.Is(err, errOtherSoftware):
		x.placement.Done(beechplace.Cancelled)
		n.ends = x.ended(endSoftware)
	case errors.Is(err, errAnswerMemory):
		x.placement.Done(beechplace.Cancelled)
		n.ends = x.ended(endMemory)
	case errors.Is(err, errServerFailed):
		n.ends, n.serverError = x.loseAnswer(d)
	default:
		x.placement.Done(beechplace.Failed)
		d.observer.ObserveAttempt(x.choice.Server, x.call.Model, 0, x.choice.PrefillTokens, true)
		cause := endBroken
		if errors.Is(err, beechcall.ErrMalformed) {
			cause = endMalformed
		} else if !errors.Is(err, beechsurvival.ErrExited) {
			x.reportBroken(d)
		}
		n.ends = x.ended(cause)
	}
	d.logAttempt("failed", &x.exchange, zap.Error(err), zap.String("endedBy", string(n.ends[0].cause)), zap.Duration("silence", n.ends[0].silence))
	return n
}

// loseAnswer ends a hedge whose whole answer is of no use. A server's error is kept for a caller that gets
// nothing better.
func (x *hedge) loseAnswer(d *Dispatcher) ([]attemptEnd, *response) {
	failed := x.answer.Status >= http.StatusInternalServerError
	d.observer.ObserveAttempt(x.choice.Server, x.call.Model, d.clock.Since(x.sent), x.choice.PrefillTokens, failed)
	if !failed {
		x.placement.Done(beechplace.Answered)
		return x.ended(endOtherAnswer), nil
	}
	x.placement.Done(beechplace.Errored)
	return x.ended(endServerError), x.serverError(x.read)
}
