package beechgate

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechstop"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// finalResponder records how far the answer to a call has got, so that a call that is under way when the
// process ends gets its last answer.
type finalResponder struct {
	beechattempt.Responder
	begun    bool // any answer
	streamed bool
	ended    bool // a stream
}

const (
	// reasonStopping is why a request is refused by a process that stops.
	reasonStopping = "the host may stop before the deadline"
	// reasonEnded is why a request ends whose process does.
	reasonEnded = "the host has stopped"
	// outcomeStopped is the outcome of calls that were under way when the process ended.
	outcomeStopped = "stopped"
)

// beginStop decides on the course of the stop.
func (g *Gate) beginStop() beechstop.Plan {
	plan := beechstop.New(g.clock.Now(), beechstop.Settings{Grace: time.Duration(g.bounds.Load().Grace), Notice: drainDelay, TakeAll: drainDelay, KillMargin: stopMargin, AnswerTime: lastAnswerTime})
	g.stopPlan.Store(&plan)
	g.draining.Store(true)
	return plan
}

// RefuseStopping refuses a call that this process may not be able to answer before it ends, and reports
// whether it did. Until the listener is closed, the load balancer may have no other host, so those that may
// be answered are served.
func (g *Gate) RefuseStopping(call *beechcall.Call, out beechattempt.Responder) bool {
	plan := g.stopPlan.Load()
	if plan == nil {
		return false
	}
	now := g.clock.Now()
	if plan.Takes(now, call.Deadline) {
		call.Deadline = plan.Bound(call.Deadline)
		return false
	}
	after := plan.RetryAfter(now)
	g.metrics.denied.Add("stopping", 1)
	g.limitLog.Info("request refused", zap.String("request", call.ID), zap.String("route", call.Route.Name), zap.String("reason", reasonStopping), zap.Duration("after", after))
	out.Reject(beechattempt.NotExecuted{RetryAfter: after, Reason: reasonStopping})
	return true
}

// Ended reports whether the process ends now: calls that are under way get their last answers.
func (g *Gate) Ended() bool { return g.ending.Err() != nil }

// serveUntilEnd runs a call. If the process ends before, its caller is told whether the request may have run.
func (g *Gate) serveUntilEnd(ctx context.Context, call *beechcall.Call, out beechattempt.Responder) int {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	final := &finalResponder{Responder: out}
	attempts := g.core.Serve(limited, call, final)
	if g.Ended() && ctx.Err() == nil && !out.Departed() {
		g.endCall(call, final, attempts)
	}
	return attempts
}

// endCall gives the last answer to a call that has none, or no whole one.
func (g *Gate) endCall(call *beechcall.Call, out *finalResponder, attempts int) {
	if out.begun && (!out.streamed || out.ended) {
		return
	}
	g.limitLog.Warn("request ended by the stop", zap.String("request", call.ID), zap.String("route", call.Route.Name), zap.Int("ran", attempts), zap.Bool("streamed", out.streamed), zap.Duration("took", g.clock.Since(call.Received)))
	switch {
	case out.streamed:
		out.AbortStream()
	case attempts > 0:
		out.Reject(beechattempt.OutcomeUnknown{Reason: reasonEnded})
	default:
		out.Reject(beechattempt.NotExecuted{Reason: reasonEnded})
	}
}

// endBodyReads has bodies that are being received fail when the process ends. The returned function undoes
// that for one whose body was received.
func (g *Gate) endBodyReads(control *http.ResponseController) func() bool {
	return context.AfterFunc(g.ending, func() { _ = control.SetReadDeadline(time.Unix(0, 0)) })
}

// Reject implements beechattempt.Responder.
func (r *finalResponder) Reject(rejection beechattempt.Rejection) {
	r.begun = true
	r.Responder.Reject(rejection)
}

// Respond implements beechattempt.Responder.
func (r *finalResponder) Respond(status int, header http.Header, body []byte) {
	r.begun = true
	r.Responder.Respond(status, header, body)
}

// StartStream implements beechattempt.Responder.
func (r *finalResponder) StartStream(status int, header http.Header) {
	r.begun, r.streamed = true, true
	r.Responder.StartStream(status, header)
}

// EndStream implements beechattempt.Responder.
func (r *finalResponder) EndStream() {
	r.ended = true
	r.Responder.EndStream()
}

// AbortStream implements beechattempt.Responder.
func (r *finalResponder) AbortStream() {
	r.ended = true
	r.Responder.AbortStream()
}
