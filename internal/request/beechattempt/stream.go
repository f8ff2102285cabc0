package beechattempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// streamState is how far the caller's stream has come, over attempts.
	streamState struct {
		begun bool
		last  string // id of the last event that the caller was sent
	}

	// watch ends an attempt that stays silent for too long, where the call may
	// be tried elsewhere and the budget allows it.
	watch struct {
		run    *run
		choice beechplace.Choice
		cancel context.CancelCauseFunc
		timer  clockwork.Timer
		begin  clockwork.Timer // ends an attempt that must not begin any more

		mu      sync.Mutex
		paid    bool
		late    bool // it had not begun when it had to
		begun   bool
		stopped bool
	}
)

const readBytes = 8 << 10

var errTorn = errors.New("the stream ends in the middle of an event")

// newWatch starts the patience for the first byte.
func (r *run) newWatch(cancel context.CancelCauseFunc, choice beechplace.Choice) *watch {
	w := &watch{run: r, choice: choice, cancel: cancel}
	if choice.FirstByteTimeout > 0 {
		w.begin = r.core.clock.AfterFunc(choice.FirstByteTimeout, w.expireBegin)
	}
	if r.call.Route.Rule == beechcall.RuleOnce || r.ran+1 >= r.call.Route.MaxAttempts {
		return w
	}
	w.timer = r.core.clock.AfterFunc(r.core.patience.of(r.call.Route.Name, r.call.Route.Objective), w.expire)
	return w
}

// expire pays for another try, and only then ends this one: without the
// payment, a late answer is better than none.
func (w *watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.paid {
		return
	}
	if w.run.pay(beechretry.RanUnknown, w.choice, false) {
		w.paid = true
		w.cancel(errPatience)
	}
}

// expireBegin takes back a request that waits at an engine whose weights would be
// too old for it to begin there.
func (w *watch) expireBegin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.begun {
		return
	}
	w.late = true
	w.cancel(errTooOld)
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.begin != nil {
		w.begin.Stop()
	}
}

// tooLate tells whether the attempt was taken back.
func (w *watch) tooLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// granted tells whether another try was paid for.
func (w *watch) granted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paid
}

func (w *watch) heard(pause time.Duration) {
	if w.begin != nil {
		w.mu.Lock()
		w.begun = true
		w.mu.Unlock()
	}
	if w.timer != nil {
		w.timer.Reset(max(pauseTimes*pause, pauseLeast))
	}
}

// follow hands on a stream's whole events as they come.
func (r *run) follow(choice beechplace.Choice, ticket *beechplace.Attempt, watch *watch, answer *beechcall.Answer, sent time.Time) verdict {
	buffer := make([]byte, 0, readBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := answer.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			watch.heard(r.call.Route.Pause)
			if end := wholeEvents(buffer); end > 0 {
				if !r.begin(answer) {
					r.core.patience.learn(r.call.Route.Name, r.core.clock.Since(sent), span(choice.Expected), r.core.clock.Now())
					r.first = r.core.clock.Since(r.started)
					r.core.observer.Served(choice.Server, r.call.Model, r.core.clock.Since(sent), choice.PrefillTokens, false)
				}
				ticket.FirstByte()
				if id, ok := lastEvent(buffer[:end]); ok {
					r.stream.last = id
				}
				if failed := r.out.Event(buffer[:end]); failed != nil {
					ticket.Done(beechplace.Cancelled)
					return over
				}
				buffer = buffer[:copy(buffer, buffer[end:])]
			}
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF && len(bytes.TrimSpace(buffer)) == 0:
			watch.stop()
			ticket.Done(beechplace.Answered)
			r.begin(answer)
			r.core.suspects.RecordSuccess(r.call.Fingerprint())
			r.out.End()
			return over
		case err == io.EOF:
			err = errTorn
		}
		return r.judge(choice, ticket, watch, beechcall.Unknown{Peer: choice.Server.Address, Step: "read the stream", Err: err})
	}
}

// begin sends the head of the first answer; later answers go on under it. It
// tells whether the stream had begun before.
func (r *run) begin(answer *beechcall.Answer) bool {
	if r.stream.begun {
		return true
	}
	r.stream.begun = true
	r.out.Stream(answer.Status, answer.Header)
	return false
}

// wholeEvents gives the length of the whole events at the start of data.
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
