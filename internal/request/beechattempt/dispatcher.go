package beechattempt

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// Dispatcher serves calls. It is safe for concurrent use.
	Dispatcher struct {
		placer   *beechplace.Placer
		backend  beechcall.Backend
		budget   RetryBudget
		suspects *beechsuspect.Registry
		blamer   *blamer
		observer Observer
		clock    clockwork.Clock
		log      *zap.Logger
		patience *patience
	}

	// RetryBudget bounds the retries to each service; *beechgate.Budgets is one.
	RetryBudget interface {
		RecordRequest(service string)
		Decide(service string, o beechretry.Outcome) beechretry.Decision
	}

	// Observer learns how servers do.
	Observer interface {
		// ObserveAttempt tells of an answer's first byte, or of a failure.
		ObserveAttempt(server beechcall.Server, model string, first time.Duration, unread int, failed bool)
		// ObserveEnd tells how a call ended.
		ObserveEnd(e Result)
	}

	// Result is how a call ended.
	Result struct {
		Call      *beechcall.Call
		Outcome   string            // answered, refused, failed, overdue, broken or left
		Choice    beechplace.Choice // the last; zero where there was none
		Attempts  int
		FirstByte time.Duration // to the first byte
		Duration  time.Duration
	}

	// Responder gives a caller its answer, in the front door's protocol. Of
	// Refuse, Plain and Stream exactly one is called, once; a stream ends with
	// End or Break.
	Responder interface {
		Reject(r Rejection)
		Respond(status int, header http.Header, body []byte)
		StartStream(status int, header http.Header)
		SendEvents(data []byte) error // whole events
		EndStream()
		AbortStream()
	}

	// Rejection is an answer without a server's answer: NotRun, OverQuota, Unknown
	// or Overdue.
	Rejection interface{ refusal() }

	// NotExecuted says that the request has not run and will not. After is when to
	// come back.
	NotExecuted struct {
		RetryAfter time.Duration
		Reason     string
	}

	// QuotaExceeded says that the workspace has used its quota up; the request has not
	// run and will not. After is when there will be some for it.
	QuotaExceeded struct{ RetryAfter time.Duration }

	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown struct{ Reason string }

	// DeadlineExceeded says that the deadline has passed; the request may have run.
	DeadlineExceeded struct{}
)

func (NotExecuted) refusal()      {}
func (QuotaExceeded) refusal()    {}
func (OutcomeUnknown) refusal()   {}
func (DeadlineExceeded) refusal() {}

// New returns a core. The dependencies are used until the last call ends.
func New(placer *beechplace.Placer, backend beechcall.Backend, prober Prober, budget RetryBudget, suspects *beechsuspect.Registry,
	observer Observer, clock clockwork.Clock, log *zap.Logger,
) *Dispatcher {
	return &Dispatcher{
		placer: placer, backend: backend, budget: budget, suspects: suspects, blamer: newBlamer(prober, suspects, clock, log),
		observer: observer, clock: clock, log: log, patience: newPatience(),
	}
}

// Serve answers a call. The context ends when the caller leaves; what runs for
// it then is cancelled. It tells on how many servers the call may have run.
func (c *Dispatcher) Serve(ctx context.Context, call *beechcall.Call, out Responder) int {
	if refuse, ok := c.suspects.Check(call.Fingerprint()).(beechsuspect.Refuse); ok {
		c.log.Warn("request refused", zap.String("request", call.ID), zap.String("reason", "it crashed servers before"), zap.Duration("after", refuse.After))
		out.Reject(NotExecuted{RetryAfter: refuse.After, Reason: "suspect"})
		return 0
	}
	limited, cancel := clockwork.WithDeadline(ctx, c.clock, call.Deadline)
	defer cancel()
	r := &run{core: c, call: call, out: out, caller: ctx, started: c.clock.Now()}
	ending := r.serve(limited)
	c.observer.ObserveEnd(Result{Call: call, Outcome: ending, Choice: r.choice, Attempts: r.sends, FirstByte: r.first, Duration: c.clock.Since(r.started)})
	return r.sends - r.notRun
}

// spread is a time around d, so that callers that were refused together do not
// come back together.
func spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
