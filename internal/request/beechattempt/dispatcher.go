package beechattempt

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// Dispatcher serves calls. It is safe for concurrent use.
	Dispatcher struct {
		placer    *beechplace.Placer
		backend   beechcall.Backend
		budget    RetryBudget
		suspects  *beechsuspect.Registry
		poison    *beechpoison.Tracker
		admission *beechadmission.Controller
		crashes   *crashDetector
		survivals *beechsurvival.Checker
		observer  Observer
		clock     clockwork.Clock
		log       *zap.Logger
		timeouts  *routeTimeouts
		pauses    *pauses
		ends      *attemptEnds
		returns   Returns // nil: refused callers are told defaultRetryAfter

		backups   beechbackup.Mode
		durations *beechbackup.Durations
		copies    backgroundCalls
		copyNames *copyNames

		activities *activities
		hedges     backgroundCalls
		memory     answerMemory
	}

	// Returns decides when callers may come back for whom no server has room.
	Returns interface {
		// After returns false if it does not decide for the call's service.
		After(call *beechcall.Call) (time.Duration, bool)
	}

	// RetryBudget bounds the retries to each service; *beechgate.Budgets implements it.
	RetryBudget interface {
		RecordRequest(service string)
		Decide(service string, o beechretry.Outcome) beechretry.Decision
	}

	// Observer receives measurements of servers and calls.
	Observer interface {
		// ObserveAttempt is called with the time to an answer's first byte, or for a
		// failure. Unread is the number of prompt tokens that the server had to prefill.
		ObserveAttempt(server beechcall.Server, model string, firstByte time.Duration, unread int, failed bool)
		// ObserveSend is called when an attempt is sent, with the time since the list of servers was
		// proved to be complete.
		ObserveSend(call *beechcall.Call, server beechcall.Server, listAge time.Duration)
		// ObserveStart is called before the first event of a resumable stream is sent to its
		// caller, with the call's Origin set.
		ObserveStart(call *beechcall.Call)
		// ObserveEnd is called when a call has ended.
		ObserveEnd(r Result)
	}

	// Result describes how a call ended.
	Result struct {
		Call      *beechcall.Call
		Outcome   string            // answered, refused, failed, overdue, broken or left
		Stop      string            // why it was not tried again; empty if that was not the reason for its end
		Choice    beechplace.Choice // of the last attempt; zero if there was none
		Attempts  int
		FirstByte time.Duration // until the first byte
		Duration  time.Duration // of the whole call
		Progress  Progress      // of the last attempt when the call ended
		SinceSend time.Duration // since the last attempt was sent; 0 if none was
		Silence   time.Duration // since the last attempt's server has sent data, or the attempt was sent; 0 if none was
		Departure Departure     // of the caller; zero if it stayed
		Backup    BackupResult
	}

	// BackupResult is what became of a run's backup.
	BackupResult struct {
		Server string             // ID of the engine; empty: there was none
		Denied beechbackup.Reason // why there was none; empty if backups do not apply
		Copied bool               // a copy had arrived when the call ended or its server was lost
		Used   bool               // the run was sent there
		Whole  bool               // and the stream was completed
		Reason beechbackup.Reason // why a run that was lost did not go on; empty if it was not lost, or went on
	}

	// Departure is what followed when a caller disconnected.
	Departure struct {
		Unnoticed time.Duration // until it was noticed, at most; negative: not known
		Withdrawn time.Duration // from then until the attempt under way was withdrawn
		Outcome   Withdrawal
	}

	// Withdrawal is how an attempt ended whose caller has disconnected.
	Withdrawal string

	// Progress is how far a request has got on its way to a server and back.
	Progress string

	// Responder sends a caller its answer, in the protocol of the listener that accepted
	// the call. Exactly one of Reject, Respond and StartStream is called, once; a stream
	// ends with EndStream or AbortStream. None is called if the caller has departed.
	Responder interface {
		Reject(r Rejection)
		Respond(status int, header http.Header, body []byte)
		StartStream(status int, header http.Header)
		SendEvents(data []byte) error // complete events only
		EndStream()
		AbortStream()
		// Departed reports, without blocking, whether the caller has disconnected. It may
		// know so before the context of the call ends.
		Departed() bool
		// SinceHeard returns how long ago the caller's last segment arrived, the close
		// included. It returns false if that is not known.
		SinceHeard() (time.Duration, bool)
	}

	// Rejection is the answer to a call that no server has answered: NotExecuted,
	// QuotaExceeded, OutcomeUnknown or DeadlineExceeded.
	Rejection interface{ rejection() }

	// NotExecuted means that the request has not been executed and will not be.
	// RetryAfter is when the caller may retry.
	NotExecuted struct {
		RetryAfter time.Duration
		Reason     string
	}

	// QuotaExceeded means that the workspace has used up its quota. The request has not
	// been executed and will not be. RetryAfter is when quota will be available again.
	QuotaExceeded struct{ RetryAfter time.Duration }

	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown struct{ Reason string }

	// DeadlineExceeded means that the deadline has passed; the request may have been
	// executed.
	DeadlineExceeded struct{}
)

const (
	// OutcomeLeft is the outcome of a call whose caller has disconnected.
	OutcomeLeft = "left"

	outcomeAnswered = "answered"

	// NotSent means that no attempt was sent.
	NotSent Progress = "not sent"
	// Sent means that no byte of the answer has arrived.
	Sent Progress = "sent"
	// Answered means that the answer has begun.
	Answered Progress = "answered"

	// NothingToWithdraw means that no attempt was under way.
	NothingToWithdraw Withdrawal = "none"
	// WithdrawnByReset means that the connection to the server was reset.
	WithdrawnByReset Withdrawal = "reset"
	// NotWithdrawn means that the connection was dead before, so that the server may run on.
	NotWithdrawn Withdrawal = "connection dead"
)

func (NotExecuted) rejection()      {}
func (QuotaExceeded) rejection()    {}
func (OutcomeUnknown) rejection()   {}
func (DeadlineExceeded) rejection() {}

// New returns a dispatcher. The dependencies are used until the last call has ended, and then until Wait
// returns, as copies of runs are freed after their calls.
func New(placer *beechplace.Placer, backend beechcall.Backend, prober Prober, budget RetryBudget, suspects *beechsuspect.Registry, poison *beechpoison.Tracker,
	admission *beechadmission.Controller, observer Observer, clock clockwork.Clock, log *zap.Logger,
) *Dispatcher {
	return &Dispatcher{
		placer: placer, backend: backend, budget: budget, suspects: suspects, poison: poison, admission: admission, crashes: newCrashDetector(prober, suspects, poison, clock, log), survivals: beechsurvival.New(lifetimes{placer, backend, prober}, clock),
		observer: observer, clock: clock, log: log, timeouts: newRouteTimeouts(), pauses: newPauses(clock, log), ends: newAttemptEnds(), activities: newActivities(clock), backups: beechbackup.Auto, durations: beechbackup.NewDurations(), copyNames: newCopyNames(clock),
	}
}

// SetReturns sets who decides when refused callers may come back. It is called before Serve.
func (d *Dispatcher) SetReturns(r Returns) { d.returns = r }

// SetBackups sets which streams get backups. It must be called before Serve; an empty mode is Auto.
func (d *Dispatcher) SetBackups(mode beechbackup.Mode) { d.backups = cmp.Or(mode, beechbackup.Auto) }

// Serve answers a call. The context ends when the caller disconnects, which cancels the
// attempt under way. It returns the number of attempts that may have been executed.
func (d *Dispatcher) Serve(ctx context.Context, call *beechcall.Call, out Responder) int {
	if refuse, ok := d.checkSuspect(call).(beechsuspect.Refuse); ok {
		d.log.Warn("request refused", zap.String("request", call.ID), zap.String("reason", "it crashed servers before"), zap.Duration("after", refuse.After))
		out.Reject(NotExecuted{RetryAfter: refuse.After, Reason: "suspect"})
		return 0
	}
	limited, cancel := clockwork.WithDeadline(ctx, d.clock, call.Deadline)
	defer cancel()
	r := &execution{dispatcher: d, call: call, out: out, callerCtx: ctx, started: d.clock.Now()}
	r.departure = departureWatch{clock: d.clock, out: out}
	stopWatch := context.AfterFunc(ctx, r.departure.notice)
	outcome := r.serve(limited)
	stopWatch()
	r.releaseBackup(outcome)
	result := Result{Call: call, Outcome: outcome, Stop: string(r.stop), Choice: r.choice, Attempts: r.attempts, FirstByte: r.firstByte, Duration: d.clock.Since(r.started), Progress: r.progress(), Backup: r.backup.result}
	if r.attempts > 0 {
		result.SinceSend, result.Silence = d.clock.Since(r.sentAt), r.silence()
	}
	if outcome == OutcomeLeft {
		result.Departure = r.departure.result()
	}
	d.observer.ObserveEnd(result)
	return r.attempts - r.notExecuted
}

// Wait returns when copies of the runs of calls that have ended are freed and their hedges withdrawn, or
// when the context ends.
func (d *Dispatcher) Wait(ctx context.Context) {
	for calls, late := range map[*backgroundCalls]string{&d.copies: "copies of runs not freed in time", &d.hedges: "hedges not withdrawn in time"} {
		ended := calls.ended()
		select {
		case <-ended:
		case <-ctx.Done():
			if !isClosed(ended) {
				d.log.Warn(late)
			}
		}
	}
}

// Survivals counts answers that ended with their connections, by what became of their servers, and
// the looks at these.
func (d *Dispatcher) Survivals() map[string]int64 { return counts(d.survivals.Counts()) }

// Crashes returns the number of servers that crashed with requests under way, and of these requests by
// whether their answers had begun.
func (d *Dispatcher) Crashes() map[string]int64 {
	c := &d.crashes.counts
	return map[string]int64{"servers": c.servers.Value(), "begun": c.begun.Value(), "notBegun": c.notBegun.Value()}
}

// LongPauses returns the number of streams that paused for longer than their routes allow, by route
// and cause.
func (d *Dispatcher) LongPauses() map[string]int64 {
	return counts(d.pauses.counts)
}

// AttemptEnds returns the number of attempts by what ended them.
func (d *Dispatcher) AttemptEnds() map[string]int64 { return counts(d.ends.causes) }

// StreamsBroken returns the number of streams broken off, by what ended their answers and why they did
// not go on.
func (d *Dispatcher) StreamsBroken() map[string]int64 { return counts(d.ends.broken) }

// AnswerBytes returns how many bytes of unfinished answers are held, and were held at the most.
func (d *Dispatcher) AnswerBytes() (now, peak int) { return d.memory.heldBytes() }

// Silences returns the number of silent attempts, by what was done about them.
func (d *Dispatcher) Silences() map[string]int64 { return counts(d.ends.silences) }

// jitter returns a random duration around delay, so that callers that were rejected together
// do not retry together.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + time.Duration(rand.Int64N(int64(delay)))
}
