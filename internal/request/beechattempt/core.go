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
	// Core serves calls. It is safe for concurrent use.
	Core struct {
		placer   *beechplace.Placer
		backend  beechcall.Backend
		budget   Budget
		suspects *beechsuspect.Registry
		blamer   *blamer
		observer Observer
		clock    clockwork.Clock
		log      *zap.Logger
		patience *patience
	}

	// Budget bounds the retries to each service; *beechgate.Budgets is one.
	Budget interface {
		Sent(service string)
		Decide(service string, o beechretry.Outcome) beechretry.Decision
	}

	// Observer learns how servers do.
	Observer interface {
		// Served tells of an answer's first byte, or of a failure.
		Served(server beechcall.Server, model string, first time.Duration, unread int, failed bool)
		// Ended tells how a call ended.
		Ended(e Ending)
	}

	// Ending is how a call ended.
	Ending struct {
		Call   *beechcall.Call
		How    string            // answered, refused, failed, overdue, broken or left
		Choice beechplace.Choice // the last; zero where there was none
		Sends  int
		First  time.Duration // to the first byte
		Took   time.Duration
	}

	// Responder gives a caller its answer, in the front door's protocol. Of
	// Refuse, Plain and Stream exactly one is called, once; a stream ends with
	// End or Break.
	Responder interface {
		Refuse(r Refusal)
		Plain(status int, header http.Header, body []byte)
		Stream(status int, header http.Header)
		Event(data []byte) error // whole events
		End()
		Break()
	}

	// Refusal is an answer without a server's answer: NotRun, OverQuota, Unknown
	// or Overdue.
	Refusal interface{ refusal() }

	// NotRun says that the request has not run and will not. After is when to
	// come back.
	NotRun struct {
		After  time.Duration
		Reason string
	}

	// OverQuota says that the workspace has used its quota up; the request has not
	// run and will not. After is when there will be some for it.
	OverQuota struct{ After time.Duration }

	// Unknown says that the request may have run.
	Unknown struct{ Reason string }

	// Overdue says that the deadline has passed; the request may have run.
	Overdue struct{}
)

func (NotRun) refusal()    {}
func (OverQuota) refusal() {}
func (Unknown) refusal()   {}
func (Overdue) refusal()   {}

// New returns a core. The dependencies are used until the last call ends.
func New(placer *beechplace.Placer, backend beechcall.Backend, prober Prober, budget Budget, suspects *beechsuspect.Registry,
	observer Observer, clock clockwork.Clock, log *zap.Logger,
) *Core {
	return &Core{
		placer: placer, backend: backend, budget: budget, suspects: suspects, blamer: newBlamer(prober, suspects, clock, log),
		observer: observer, clock: clock, log: log, patience: newPatience(),
	}
}

// Serve answers a call. The context ends when the caller leaves; what runs for
// it then is cancelled. It tells on how many servers the call may have run.
func (c *Core) Serve(ctx context.Context, call *beechcall.Call, out Responder) int {
	if refuse, ok := c.suspects.Check(call.Fingerprint()).(beechsuspect.Refuse); ok {
		c.log.Warn("request refused", zap.String("request", call.ID), zap.String("reason", "it crashed servers before"), zap.Duration("after", refuse.After))
		out.Refuse(NotRun{After: refuse.After, Reason: "suspect"})
		return 0
	}
	limited, cancel := clockwork.WithDeadline(ctx, c.clock, call.Deadline)
	defer cancel()
	r := &run{core: c, call: call, out: out, caller: ctx, started: c.clock.Now()}
	ending := r.serve(limited)
	c.observer.Ended(Ending{Call: call, How: ending, Choice: r.choice, Sends: r.sends, First: r.first, Took: c.clock.Since(r.started)})
	return r.sends - r.notRun
}

// spread is a time around d, so that callers that were refused together do not
// come back together.
func spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
