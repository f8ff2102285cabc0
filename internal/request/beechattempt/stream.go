package beechattempt

import (
	"errors"
	"io"
	"time"

	"github.com/beechring/beechring/internal/decision/beechorigin"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// streamState is the state of the caller's stream across attempts.
	streamState struct {
		started     bool
		lastEventID string // of the last event sent to the caller
	}
)

const readBufferBytes = 8 << 10

var (
	errIncompleteEvent = errors.New("the stream ends in the middle of an event")
	errNoEvent         = errors.New("the connection ended before the first event")
	errOtherSoftware   = errors.New("the server's software is not, or may not be, of the version that began the stream")
)

// pauseTimeout returns how long a stream may be silent until a hedge is sent.
func (r *execution) pauseTimeout() time.Duration {
	return max(pauseFactor*r.call.Route.MaxPause, minPauseTimeout)
}

// forwardStream forwards a stream's complete events as they arrive.
func (r *execution) forwardStream(x *exchange) verdict {
	buffer, err := x.events, x.readErr
	haveRead := buffer != nil
	if !haveRead {
		buffer = newEventBuffer(x.share)
	}
	pace := streamPace{pauses: r.dispatcher.pauses, call: r.call, placement: x.placement}
	verified := r.call.Route.RetryPolicy != beechcall.Resumable || haveRead && r.stream.started
	for ; ; haveRead = false {
		if !haveRead {
			err = r.readMore(x, buffer)
		}
		if events := buffer.whole(); len(events) > 0 {
			if !r.hedging.dropHedges() {
				return r.loseToHedge(x)
			}
			if !verified && !r.verifyOrigin(x.choice) {
				err = errOtherSoftware
				return r.handleFailure(x, beechcall.OutcomeUnknown{Peer: x.choice.Server.Address, Step: "read the stream", Err: err})
			}
			verified = true
			if !r.forwardEvents(x, &pace, events) {
				return finished
			}
			buffer.discard()
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF && x.answer.Unframed && r.begunAt.IsZero():
			err = errNoEvent
		case err == io.EOF && buffer.pending() == 0:
			if err = r.unframedEnd(x); err == nil {
				return r.endStream(x)
			}
		case err == io.EOF:
			err = errIncompleteEvent
		}
		x.pending = buffer.pending()
		return r.handleFailure(x, beechcall.OutcomeUnknown{Peer: x.choice.Server.Address, Step: "read the stream", Err: err})
	}
}

// readMore reads a stream until it has whole events. Bytes that complete none are no sign of life: the server
// is silent until its next event.
func (r *execution) readMore(x *exchange, buffer *eventBuffer) error {
	r.hedging.wait()
	err := buffer.read(x.answer.Body)
	for err == nil && len(buffer.whole()) == 0 {
		err = buffer.read(x.answer.Body)
	}
	heard := len(buffer.whole()) > 0
	r.hedging.pause(heard)
	if heard {
		x.start.stop()
	}
	return err
}

// forwardEvents sends complete events to the caller. It returns false if that cannot be reached.
func (r *execution) forwardEvents(x *exchange, pace *streamPace, events []byte) bool {
	if r.begunAt.IsZero() {
		r.begunAt = r.dispatcher.clock.Now()
	}
	if !r.startStream(x.answer) {
		r.dispatcher.timeouts.observe(r.call.Route.Name, r.dispatcher.clock.Since(x.sent), milliseconds(x.choice.Expected), r.dispatcher.clock.Now())
		r.firstByte = r.dispatcher.clock.Since(r.started)
		r.dispatcher.observer.ObserveAttempt(x.choice.Server, r.call.Model, r.dispatcher.clock.Since(x.sent), x.choice.PrefillTokens, false)
	}
	x.placement.FirstByte()
	pace.received()
	r.considerBackup(x.choice, events, x.answer)
	if id, ok := lastEventID(events); ok {
		r.stream.lastEventID = id
	}
	if r.dispatcher.clock.Since(r.begunAt) >= settleTime {
		r.recordStart()
	}
	if r.out.SendEvents(events) == nil {
		return true
	}
	x.placement.Done(beechplace.Cancelled)
	r.ended(endNotConnected)
	return false
}

// endStream ends the caller's stream with that of the server.
func (r *execution) endStream(x *exchange) verdict {
	x.start.stop()
	if !r.hedging.dropHedges() {
		return r.loseToHedge(x)
	}
	x.placement.Done(beechplace.Answered)
	r.ended(endAnswered)
	r.startStream(x.answer)
	r.dispatcher.suspects.RecordSuccess(r.call.Fingerprint())
	r.recordStart()
	r.observeDuration()
	r.out.EndStream()
	return finished
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
