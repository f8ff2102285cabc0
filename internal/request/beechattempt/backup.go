package beechattempt

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// runBackup is the backup of a call's run. The zero value is a call without one.
	runBackup struct {
		decided        bool // whether a copy is made has been decided
		engine         *beechplace.Backup
		copying        *copying          // nil if there is no engine
		source         beechplace.Choice // where the run began
		continues      bool              // the run goes on with the copy from now on
		weightsChanged bool              // the run told that its weights changed
		sourceLeaves   bool              // the run's server said with its answer that it leaves
		loss           beechbackup.Loss  // what was known when the run broke off, or is known since
		result         BackupResult
	}

	// copying is a copy on its way.
	copying struct {
		done chan struct{}      // closed when name is set
		name beechcall.CopyName // zero: it was not made
	}

	// backgroundCalls are calls under way to servers, such as those that make copies of runs and free them.
	// Unlike a sync.WaitGroup it may be waited for while others begin.
	backgroundCalls struct {
		mu    sync.Mutex
		count int
		idle  chan struct{} // closed when count has come back to zero
	}
)

const (
	// lossPoll is how often it is looked at whether a lost run's server has ended.
	lossPoll = 20 * time.Millisecond
	// copyTimeout bounds the call that makes a copy, which may wait for other transfers of both engines.
	copyTimeout = time.Second
	// dropTimeout bounds the call that frees a copy. Without it the engine frees it some seconds later.
	dropTimeout = 500 * time.Millisecond
)

var errCopyOfAnother = errors.New("it is known as the copy of another run")

// mayHaveBackup reports whether a call is of the kind that gets backups.
func (r *execution) mayHaveBackup() bool {
	return r.call.Route.Stream && r.call.Model != "" && r.call.Route.RetryPolicy == beechcall.AtMostOnce && r.dispatcher.backups != beechbackup.Off
}

// considerBackup has a run copied to another engine, if that pays. It is called as events arrive: the
// prompt has been read by then.
func (r *execution) considerBackup(choice beechplace.Choice, events []byte, answer *beechcall.Answer) {
	b := &r.backup
	if b.continues || !r.mayHaveBackup() {
		return
	}
	b.observeWeights(events, answer.WeightsLine)
	b.sourceLeaves = answer.Leaving
	if b.decided || b.weightsChanged {
		return
	}
	b.decided = true
	expected := r.dispatcher.durations.Expect(r.call.Route.Name, r.call.ExpectedOutput())
	engine, denied := r.dispatcher.placer.Backup(r.call, choice, r.dispatcher.backups, expected-r.dispatcher.clock.Since(r.begunAt))
	b.engine, b.source, b.result.Denied = engine, choice, denied
	if engine == nil {
		return
	}
	b.result.Server, b.copying = engine.Server.ID, r.startCopy(choice.Server, engine.Server)
}

// startCopy begins to copy a run.
func (r *execution) startCopy(from, to beechcall.Server) *copying {
	c, d, id := &copying{done: make(chan struct{})}, r.dispatcher, r.call.ID
	d.copies.Go(func() {
		defer close(c.done)
		ctx, cancel := clockwork.WithTimeout(context.Background(), d.clock, copyTimeout)
		defer cancel()
		name, err := d.backend.CopyRun(ctx, from.Address, id, to.Address)
		if err == nil && !d.copyNames.claim(name, id) {
			err = fmt.Errorf("copy %s of %s: %w", name.Handle, name.Source, errCopyOfAnother)
		}
		if err != nil {
			d.log.Debug("run not copied", zap.String("request", id), zap.String("server", from.ID), zap.String("backup", to.ID), zap.Error(err))
			return
		}
		c.name = name
	})
	return c
}

// copyName returns the name of the copy that the run goes on with.
func (b *runBackup) copyName() beechcall.CopyName {
	if !b.continues {
		return beechcall.CopyName{}
	}
	return b.copying.name
}

// observeWeights notes whether the weights of the run have changed: a copy of its memory may then be
// partly of the older ones.
func (b *runBackup) observeWeights(events, weightsLine []byte) {
	if b.weightsChanged || len(weightsLine) == 0 {
		return
	}
	at := bytes.Index(events, weightsLine)
	b.weightsChanged = at == 0 || at > 0 && events[at-1] == '\n'
}

// observeDuration records how long a whole answer took.
func (r *execution) observeDuration() {
	if r.backup.continues || r.begunAt.IsZero() || r.call.Model == "" || r.call.Route.RetryPolicy != beechcall.AtMostOnce {
		return
	}
	r.dispatcher.durations.Observe(r.call.Route.Name, r.call.ExpectedOutput(), r.dispatcher.clock.Since(r.begunAt))
}

// continueAtBackup decides what follows when a run that may not be repeated has broken off: it goes on
// with its copy once its server is known to have ended.
func (r *execution) continueAtBackup(source beechplace.Choice, probed *probe) verdict {
	if r.backup.engine == nil {
		return r.noRetry(stopNotRepeatable)
	}
	brokenAt := r.dispatcher.clock.Now()
	for {
		loss := r.loss(source, probed)
		loss.Waited = r.dispatcher.clock.Since(brokenAt)
		r.backup.loss = loss
		switch v := beechbackup.Decide(loss).(type) {
		case beechbackup.Continue:
			return r.beginContinuation()
		case beechbackup.GiveUp:
			return r.backupGivenUp(v.Reason)
		case beechbackup.Wait:
		}
		if r.callerLeft() {
			return finished
		}
		r.awaitLossNews(probed)
	}
}

// loss returns what is known of the run that broke off.
func (r *execution) loss(source beechplace.Choice, probed *probe) beechbackup.Loss {
	state := beechbackup.Silent
	switch {
	case probed == nil:
	case !isClosed(probed.done):
		state = beechbackup.Probing
	case probed.accepted:
		state = beechbackup.Running
	}
	_, suspect := r.dispatcher.checkSuspect(r.call).(beechsuspect.Refuse)
	_, poison := r.refusedAsPoison()
	run := beechplace.LostRun{BegunAt: r.begunAt, HeardAt: r.heardAt, Leaves: r.backup.sourceLeaves}
	return r.dispatcher.placer.ObserveLoss(r.call, source, r.backup.engine, run, beechbackup.Loss{
		Copy: r.backup.copyState(), Source: state, Unnumbered: r.stream.lastEventID == "", Left: r.call.TimeLeft(r.dispatcher.clock.Now()),
		Blamed: suspect || poison, WeightsChanged: r.backup.weightsChanged,
	})
}

// awaitLossNews waits for the probe of the server that was lost, or for a short time.
func (r *execution) awaitLossNews(probed *probe) {
	var done chan struct{}
	if probed != nil && !isClosed(probed.done) {
		done = probed.done
	}
	select {
	case <-done:
	case <-r.dispatcher.clock.After(lossPoll):
	}
}

// beginContinuation takes a retry from the budget and has the run go on at the backup's engine.
func (r *execution) beginContinuation() verdict {
	decision := r.dispatcher.budget.Decide(r.call.Service, beechretry.Outcome{
		Attempt: 1, Ran: beechretry.RanUnknown, Repeatable: true, Deadline: r.call.Deadline, Server: r.backup.source.Server.Address,
	})
	if _, ok := decision.(beechretry.Retry); !ok {
		r.backup.result.Reason = beechbackup.NoBudget
		return r.noRetry(stopBudget)
	}
	r.backup.continues = true
	r.logLoss("run goes on at its backup", zap.String("copy", r.backup.copying.name.Handle))
	return tryAgain
}

// logLoss logs what was decided about a run that was lost, and by what evidence.
func (r *execution) logLoss(what string, fields ...zap.Field) {
	b := &r.backup
	r.dispatcher.log.Info(what, append(fields,
		zap.String("request", r.call.ID), zap.String("server", b.source.Server.ID), zap.Uint64("born", b.source.Server.Born), zap.String("backup", b.engine.Server.ID),
		zap.String("after", r.stream.lastEventID), zap.Uint64("weights", b.engine.Weights), zap.String("evidence", string(b.loss.Evidence)), zap.Duration("waited", b.loss.Waited))...)
}

// continuationSent records that a run was sent to its backup's engine, which has taken the copy then or
// has none, unless nothing reached it.
func (r *execution) continuationSent(err error) {
	r.backup.result.Used = r.backup.continues && !isNotSent(err)
}

// backupGivenUp ends a run that was lost and does not go on.
func (r *execution) backupGivenUp(reason beechbackup.Reason) verdict {
	r.backup.result.Reason = reason
	r.logLoss("run does not go on at its backup", zap.String("reason", string(reason)))
	return r.noRetry(stopBackup)
}

// continuationFailed ends a run that was sent to its backup's engine and did not go on there, or
// broke off again. It may have run at its first server in any case.
func (r *execution) continuationFailed(x *exchange, err error) verdict {
	notExecuted, rejected := rejectionOf(err)
	switch {
	case isNotSent(err):
		r.notExecuted++
		x.placement.Done(beechplace.Unreachable)
		r.ended(endNotSent)
		return r.backupGivenUp(beechbackup.EngineLost)
	case rejected:
		r.notExecuted++
		r.dispatcher.endRejected(x, notExecuted)
		r.ended(endTurnedAway)
		if notExecuted.WeightsDiffer {
			return r.backupGivenUp(beechbackup.WeightsChanged)
		}
		return r.backupGivenUp(beechbackup.NoCopy)
	}
	r.maybeExecuted++
	r.dispatcher.logAttempt("failed", x, zap.Error(err), zap.Duration("silence", r.silence()))
	if !r.dispatcher.clock.Now().Before(r.call.Deadline) {
		x.placement.Done(beechplace.Cancelled)
		r.ended(endDeadline)
		return r.noRetry(stopDeadline)
	}
	cause := r.failureCause(x, err)
	if cause == endMemory {
		x.placement.Done(beechplace.Cancelled)
		r.ended(cause)
		return r.backupGivenUp(beechbackup.LostAgain)
	}
	x.placement.Done(beechplace.Failed)
	r.ended(cause)
	if cause != endMalformed {
		r.answerBroken(x.choice)
	}
	r.dispatcher.observer.ObserveAttempt(x.choice.Server, r.call.Model, 0, x.choice.PrefillTokens, true)
	return r.backupGivenUp(beechbackup.LostAgain)
}

// copyState returns what is known of the copy.
func (b *runBackup) copyState() beechbackup.CopyState {
	switch {
	case b.continues:
		return beechbackup.NoCopyLeft
	case !isClosed(b.copying.done):
		return beechbackup.OnItsWay
	case b.copying.name.Handle == "":
		return beechbackup.NoCopyLeft
	}
	return beechbackup.Arrived
}

// releaseBackup ends the use of the copy when the call has ended, and frees it if it was not used.
func (r *execution) releaseBackup(outcome string) {
	b := &r.backup
	if b.engine == nil {
		return
	}
	b.result.Copied = isClosed(b.copying.done) && b.copying.name.Handle != ""
	b.result.Whole = b.result.Used && outcome == outcomeAnswered && r.stop == ""
	engine, copied, id, unused, d := b.engine, b.copying, r.call.ID, !b.result.Used, r.dispatcher
	d.copies.Go(func() {
		<-copied.done
		engine.Done()
		if copied.name.Handle == "" || !unused {
			return
		}
		ctx, cancel := clockwork.WithTimeout(context.Background(), d.clock, dropTimeout)
		defer cancel()
		if err := d.backend.DropCopy(ctx, engine.Server.Address, copied.name); err != nil {
			d.log.Info("copy of a run not freed", zap.String("request", id), zap.Stringer("peer", engine.Server.Address), zap.Error(err))
		}
	})
}

// Go makes a call in a goroutine of its own.
func (c *backgroundCalls) Go(call func()) {
	c.mu.Lock()
	if c.count == 0 {
		c.idle = make(chan struct{})
	}
	c.count++
	c.mu.Unlock()
	go func() {
		defer c.done()
		call()
	}()
}

func (c *backgroundCalls) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count--; c.count == 0 {
		close(c.idle)
	}
}

// ended returns a channel that is closed once no call is under way.
func (c *backgroundCalls) ended() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(chan struct{})
		close(c.idle)
	}
	return c.idle
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
