package beechattempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechorigin"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// streamState is the state of the caller's stream across attempts.
	streamState struct {
		started     bool
		lastEventID string // of the last event sent to the caller
	}

	// watchdog cancels an attempt that is silent for too long, if the call may be retried
	// elsewhere and the budget allows it.
	watchdog struct {
		execution  *execution
		choice     beechplace.Choice
		placement  *beechplace.Attempt
		cancel     context.CancelCauseFunc
		timer      clockwork.Timer
		startTimer clockwork.Timer // cancels an attempt that must not start any more

		mu           sync.Mutex
		retryGranted bool
		heardAt      time.Time // when data has come, or the attempt was sent
		missedStart  bool      // cancelled by startTimer
		started      bool
		stopped      bool
	}
)

const readBufferBytes = 8 << 10

var (
	errIncompleteEvent = errors.New("the stream ends in the middle of an event")
	errServerGone      = errors.New("the server crashed as its answer, which ends with the connection, ended")
	errNoEvent         = errors.New("the connection ended before the first event")
	errOtherSoftware   = errors.New("the server's software is not, or may not be, of the version that began the stream")
)

// newWatchdog starts the time-out for the first byte.
func (r *execution) newWatchdog(cancel context.CancelCauseFunc, choice beechplace.Choice, placement *beechplace.Attempt) *watchdog {
	w := &watchdog{execution: r, choice: choice, placement: placement, cancel: cancel, heardAt: r.dispatcher.clock.Now()}
	if choice.FirstByteTimeout > 0 {
		w.startTimer = r.dispatcher.clock.AfterFunc(choice.FirstByteTimeout, w.onStartDeadline)
	}
	if r.call.Route.RetryPolicy == beechcall.AtMostOnce || r.maybeExecuted+1 >= r.call.Route.MaxAttempts {
		return w
	}
	w.timer = r.dispatcher.clock.AfterFunc(r.dispatcher.timeouts.firstByte(r.call.Route.Name, r.call.Route.Objective), w.onTimeout)
	return w
}

// onTimeout takes a retry from the budget and only then cancels the attempt: without a
// retry, a late answer is better than none.
func (w *watchdog) onTimeout() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.retryGranted || w.execution.callerLeft() {
		return
	}
	done := silenceNoBudget
	if w.execution.takeRetry(beechretry.RanUnknown, w.choice, false) {
		w.retryGranted, done = true, silenceWithdrawn
		w.cancel(errFirstByteTimeout)
	}
	d := w.execution.dispatcher
	d.ends.silent(d, w.execution.call.ID, d.clock.Since(w.heardAt), w.placement.ServerState(), done)
}

// onStartDeadline cancels a request that still waits at an engine whose weights will
// expire before the request can start.
func (w *watchdog) onStartDeadline() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.started {
		return
	}
	w.missedStart = true
	w.cancel(errWeightsExpire)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.startTimer != nil {
		w.startTimer.Stop()
	}
}

// startMissed reports whether the attempt was cancelled by onStartDeadline.
func (w *watchdog) startMissed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.missedStart
}

// hasRetry reports whether a retry was taken from the budget.
func (w *watchdog) hasRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retryGranted
}

// dataReceived records that the answer has started, and restarts the time-out for the
// next data.
func (w *watchdog) dataReceived(pause time.Duration) {
	if w.startTimer != nil || w.timer != nil {
		w.mu.Lock()
		w.started, w.heardAt = true, w.execution.heardAt
		w.mu.Unlock()
	}
	if w.timer != nil {
		w.timer.Reset(max(pauseFactor*pause, minPauseTimeout))
	}
}

// forwardStream forwards a stream's complete events as they arrive.
func (r *execution) forwardStream(choice beechplace.Choice, placement *beechplace.Attempt, watch *watchdog, answer *beechcall.Answer, sent time.Time) verdict {
	buffer := make([]byte, 0, readBufferBytes)
	pace := streamPace{pauses: r.dispatcher.pauses, call: r.call, placement: placement}
	verified := r.call.Route.RetryPolicy != beechcall.Resumable
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := answer.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			r.heardAt = r.dispatcher.clock.Now()
			watch.dataReceived(r.call.Route.MaxPause)
			if end := wholeEvents(buffer); end > 0 {
				if !verified && !r.verifyOrigin(choice) {
					err = errOtherSoftware
					return r.handleFailure(choice, placement, watch, beechcall.OutcomeUnknown{Peer: choice.Server.Address, Step: "read the stream", Err: err})
				}
				verified = true
				if r.begunAt.IsZero() {
					r.begunAt = r.dispatcher.clock.Now()
				}
				if !r.startStream(answer) {
					r.dispatcher.timeouts.observe(r.call.Route.Name, r.dispatcher.clock.Since(sent), milliseconds(choice.Expected), r.dispatcher.clock.Now())
					r.firstByte = r.dispatcher.clock.Since(r.started)
					r.dispatcher.observer.ObserveAttempt(choice.Server, r.call.Model, r.dispatcher.clock.Since(sent), choice.PrefillTokens, false)
				}
				placement.FirstByte()
				pace.received()
				r.considerBackup(choice, buffer[:end], answer)
				if id, ok := lastEventID(buffer[:end]); ok {
					r.stream.lastEventID = id
				}
				if r.dispatcher.clock.Since(r.begunAt) >= settleTime {
					r.recordStart()
				}
				if failed := r.out.SendEvents(buffer[:end]); failed != nil {
					placement.Done(beechplace.Cancelled)
					r.ended(endNotConnected)
					return finished
				}
				buffer = buffer[:copy(buffer, buffer[end:])]
			}
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF && answer.Unframed && r.begunAt.IsZero():
			err = errNoEvent
		case err == io.EOF && len(bytes.TrimSpace(buffer)) == 0 && r.serverGone(choice, answer):
			err = errServerGone
		case err == io.EOF && len(bytes.TrimSpace(buffer)) == 0:
			watch.stop()
			placement.Done(beechplace.Answered)
			r.ended(endAnswered)
			r.startStream(answer)
			r.dispatcher.suspects.RecordSuccess(r.call.Fingerprint())
			r.recordStart()
			r.observeDuration()
			r.out.EndStream()
			return finished
		case err == io.EOF:
			err = errIncompleteEvent
		}
		return r.handleFailure(choice, placement, watch, beechcall.OutcomeUnknown{Peer: choice.Server.Address, Step: "read the stream", Err: err})
	}
}

// verifyOrigin decides, before the first event of an answer is forwarded, whether it may continue
// what the caller has. The first answer of a stream sets its origin.
func (r *execution) verifyOrigin(choice beechplace.Choice) bool {
	software := r.dispatcher.placer.Software(choice)
	if r.call.Origin != nil && r.call.Origin.Software != software {
		return false
	}
	if r.call.Origin == nil {
		r.call.Origin = &beechorigin.Origin{Service: r.call.Service, Software: software}
	}
	if !r.stream.started {
		r.dispatcher.observer.ObserveStart(r.call)
	}
	return true
}

// startStream sends the status and headers of the first answer; later answers continue the
// same stream. It reports whether the stream had started before.
func (r *execution) startStream(answer *beechcall.Answer) bool {
	if r.stream.started {
		return true
	}
	r.stream.started = true
	r.out.StartStream(answer.Status, answer.Header)
	return false
}

// wholeEvents returns the length of the complete events at the start of data.
func wholeEvents(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}
