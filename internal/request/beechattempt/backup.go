package beechattempt

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

// runBackup is the backup of a call's run. The zero value is a call without one.
type runBackup struct {
	copy           *beechplace.Backup // nil: none
	source         beechplace.Choice  // where the run began
	continues      bool               // the run goes on with the copy from now on
	atRest         bool               // the copy lies at its engine and is in nobody's use
	weightsChanged bool               // the run told that its weights changed
	result         BackupResult
}

const (
	// lossPoll is how often it is looked at whether a lost run's server has ended.
	lossPoll = 20 * time.Millisecond
	// dropTimeout bounds the call that frees a copy. Without it the engine frees it some seconds later.
	dropTimeout = 500 * time.Millisecond
)

// planBackup chooses a backup for the attempt that is about to be sent.
func (r *execution) planBackup(choice beechplace.Choice) {
	b := &r.backup
	if b.continues || !r.call.Route.Stream || r.call.Model == "" || r.call.Route.RetryPolicy != beechcall.AtMostOnce {
		return
	}
	r.forgetCopy() // of an attempt that was not executed
	expected := r.dispatcher.durations.Expect(r.call.Route.Name, r.call.OutputTokens)
	chosen, denied := r.dispatcher.placer.Backup(r.call, choice, r.dispatcher.backups, expected)
	b.copy, b.source, b.atRest = chosen, choice, chosen != nil
	b.result = BackupResult{Denied: denied}
	if chosen != nil {
		b.result.Server = chosen.Server.ID
	}
}

// sentTo returns the engine that is sent copies of the run that begins.
func (b *runBackup) sentTo() netip.AddrPort {
	if b.copy == nil || b.continues {
		return netip.AddrPort{}
	}
	return b.copy.Server.Address
}

// copyAt returns the engine whose copy the run goes on with.
func (b *runBackup) copyAt() netip.AddrPort {
	if !b.continues {
		return netip.AddrPort{}
	}
	return b.copy.Server.Address
}

// observeEvents notes whether the weights of the run have changed: a copy of its memory may then be
// partly of the older ones.
func (b *runBackup) observeEvents(events, weightsLine []byte) {
	if b.copy == nil || b.weightsChanged || len(weightsLine) == 0 {
		return
	}
	b.weightsChanged = bytes.HasPrefix(events, weightsLine) || bytes.Contains(events, append([]byte("\n"), weightsLine...))
}

// observeDuration records how long a whole answer took.
func (r *execution) observeDuration() {
	if r.backup.continues || r.begunAt.IsZero() || r.call.Model == "" || r.call.Route.RetryPolicy != beechcall.AtMostOnce {
		return
	}
	r.dispatcher.durations.Observe(r.call.Route.Name, r.call.OutputTokens, r.dispatcher.clock.Since(r.begunAt))
}

// continueAtBackup decides what follows when a run that may not be repeated has broken off: it goes on
// with its copy once its server is known to have ended.
func (r *execution) continueAtBackup(source beechplace.Choice, probed *probe, gone bool) verdict {
	if r.backup.copy == nil {
		return r.noRetry(stopNotRepeatable)
	}
	brokenAt := r.dispatcher.clock.Now()
	for {
		loss := r.loss(source, probed, gone)
		loss.Waited = r.dispatcher.clock.Since(brokenAt)
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
func (r *execution) loss(source beechplace.Choice, probed *probe, gone bool) beechbackup.Loss {
	state := beechbackup.Silent
	switch {
	case gone:
		state = beechbackup.Ended
	case probed != nil && isClosed(probed.done) && probed.refused:
		state = beechbackup.Ended
	case probed != nil && isClosed(probed.done) && probed.accepted:
		state = beechbackup.Running
	}
	_, suspect := r.dispatcher.suspects.Check(r.call.Fingerprint()).(beechsuspect.Refuse)
	_, poison := r.refusedAsPoison()
	return r.dispatcher.placer.ObserveLoss(r.call, source, r.backup.copy, beechbackup.Loss{
		Backup: !r.backup.continues, Source: state, Left: r.call.TimeLeft(r.dispatcher.clock.Now()),
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
	r.backup.continues, r.backup.result.Used = true, true
	r.dispatcher.log.Info("run goes on at its backup", zap.String("request", r.call.ID), zap.String("server", r.backup.source.Server.ID),
		zap.String("backup", r.backup.copy.Server.ID), zap.String("after", r.stream.lastEventID), zap.Uint64("weights", r.backup.copy.Weights))
	return tryAgain
}

// backupGivenUp ends a run that was lost and does not go on.
func (r *execution) backupGivenUp(reason beechbackup.Reason) verdict {
	r.backup.result.Reason = reason
	r.dispatcher.log.Info("run does not go on at its backup", zap.String("request", r.call.ID), zap.String("server", r.backup.source.Server.ID),
		zap.String("backup", r.backup.copy.Server.ID), zap.String("reason", string(reason)))
	return r.noRetry(stopBackup)
}

// continuationFailed ends a run that was sent to its backup's engine and did not go on there, or
// broke off again. It may have run at its first server in any case.
func (r *execution) continuationFailed(choice beechplace.Choice, placement *beechplace.Attempt, err error) verdict {
	var notSent beechcall.NotSent
	var notExecuted beechcall.NotExecuted
	switch {
	case errors.As(err, &notSent):
		r.notExecuted++
		placement.Done(beechplace.Unreachable)
		return r.backupGivenUp(beechbackup.EngineLost)
	case errors.As(err, &notExecuted):
		r.notExecuted++
		r.backup.atRest = false
		placement.Done(beechplace.Rejected)
		r.dispatcher.placer.ObserveRejection(choice.Server.ID, notExecuted, r.call.Model)
		r.logAttempt("turned away", choice, zap.Int("status", notExecuted.Status), zap.Bool("replaced", notExecuted.Replaced), zap.Bool("other weights", notExecuted.WeightsDiffer))
		if notExecuted.WeightsDiffer {
			return r.backupGivenUp(beechbackup.WeightsChanged)
		}
		return r.backupGivenUp(beechbackup.NoCopy)
	}
	r.maybeExecuted++
	r.backup.atRest = false
	r.logAttempt("failed", choice, zap.Error(err))
	if !r.dispatcher.clock.Now().Before(r.call.Deadline) {
		placement.Done(beechplace.Cancelled)
		return r.noRetry(stopDeadline)
	}
	placement.Done(beechplace.Failed)
	r.answerBroken(choice)
	r.dispatcher.observer.ObserveAttempt(choice.Server, r.call.Model, 0, choice.PrefillTokens, true)
	return r.backupGivenUp(beechbackup.LostAgain)
}

// forgetCopy ends the use of a copy of which the engine has nothing.
func (r *execution) forgetCopy() {
	if r.backup.copy != nil {
		r.backup.copy.Done()
	}
	r.backup = runBackup{}
}

// releaseBackup ends the use of the copy when the call has ended. A copy of a run that ended
// successfully is freed by its engine; one that was left is told to be.
func (r *execution) releaseBackup(outcome string) {
	b := &r.backup
	if b.copy == nil {
		return
	}
	b.copy.Done()
	b.result.Whole = b.result.Used && outcome == outcomeAnswered && r.stop == ""
	if !b.atRest || outcome == outcomeAnswered || r.attempts == 0 {
		return
	}
	peer, id, d := b.copy.Server.Address, r.call.ID, r.dispatcher
	d.drops.Go(func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), d.clock, dropTimeout)
		defer cancel()
		if err := d.backend.DropCopy(ctx, peer, id); err != nil {
			d.log.Info("copy of a run not freed", zap.String("request", id), zap.Stringer("peer", peer), zap.Error(err))
		}
	})
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
