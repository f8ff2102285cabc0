package beechattempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// run is one call's way through its attempts.
	run struct {
		core    *Core
		call    *beechcall.Call
		out     Responder
		caller  context.Context
		started time.Time

		tried  []string          // servers, by ID
		sends  int               // attempts, whatever came of them
		waits  int               // for parts that were being read
		held   int               // attempts that were not sent for a server's limit
		back   time.Duration     // where all servers are at their limits: when one has room
		ran    int               // attempts without a good answer that may have run
		notRun int               // attempts of which it is proved that they have not
		choice beechplace.Choice // the last
		first  time.Duration     // from the start to the first byte
		failed *plain            // a server's own failure, given if no better answer comes
		stream streamState
	}

	plain struct {
		status int
		header http.Header
		body   []byte
	}

	// verdict says what comes after an attempt.
	verdict int
)

const (
	over  verdict = iota // the caller has its answer, or has left
	again                // try another server
	stop                 // give up
)

const (
	// sendsMost bounds attempts that did not run: each costs the caller a
	// round trip, and five servers that turn a request away say enough.
	sendsMost = 5
	// holdShare of the objective is waited for a server to come back.
	holdShare = 10
	holdLeast = 20 * time.Millisecond
	holdPoll  = 10 * time.Millisecond
	// waitsMost bounds the waits for parts: servers that go away meanwhile would
	// otherwise have a call wait again and again.
	waitsMost = 2
	// heldMost bounds choices of servers that come to their limits before the call is sent:
	// many gates may be after the same few requests.
	heldMost = 4
	// comeBack is when a refused caller may come back: an engine loads weights
	// in half a second.
	comeBack = 300 * time.Millisecond
	// pauseTimes is how often the longest pause a resumable stream may be
	// silent.
	pauseTimes = 4
	pauseLeast = 800 * time.Millisecond
	// routeRanks are told apart within a workspace's rank; engines know ten
	// ranks in all.
	routeRanks    = 3
	urgencyLast   = 9
	workspaceRank = 1 // where operators give none
	answerMost    = 16 << 20
	atLimits      = "servers at their limits"
)

var (
	errPatience = errors.New("no answer within the patience for this request")
	errTooOld   = errors.New("the weights there would be too old to begin with")
	errTooLong  = errors.New("the answer is too long")
)

func (r *run) serve(ctx context.Context) string {
	r.core.budget.Sent(r.call.Service)
	for {
		choice, ok := r.choose(ctx)
		if !ok && choice.RetryAfter > 0 {
			r.back = choice.RetryAfter
			return r.giveUp(ctx, atLimits)
		}
		if !ok {
			return r.giveUp(ctx, "no server may be used")
		}
		if r.sends == 0 && r.core.patience.hopeless(r.call.Route.Name, span(choice.Expected), span(choice.QueueTime), r.call.Route.Objective, r.core.clock.Now()) {
			return r.giveUp(ctx, "no server would answer in time")
		}
		switch r.attempt(ctx, choice) {
		case over:
			return r.ending()
		case stop:
			if r.back > 0 {
				return r.giveUp(ctx, atLimits)
			}
			return r.giveUp(ctx, "no more tries")
		case again:
		}
	}
}

func (r *run) ending() string {
	if ended(r.caller) {
		return "left"
	}
	return "answered"
}

// choose asks for a server, and waits a moment where none may be used: an
// engine that takes new weights is back soon, and a caller that is sent away
// takes longer to return. Where servers have room only later it does not wait.
func (r *run) choose(ctx context.Context) (beechplace.Choice, bool) {
	hold := max(r.call.Route.Objective/holdShare, holdLeast)
	until := r.core.clock.Now().Add(hold)
	for {
		choice, ok := r.core.placer.Choose(r.call, r.tried)
		if now := r.core.clock.Now(); ok || now.Add(choice.RetryAfter).After(until) || ended(ctx) {
			return choice, ok && !ended(ctx)
		}
		select {
		case <-r.core.clock.After(holdPoll):
		case <-ctx.Done():
		}
	}
}

// attempt sends the call to one server and gives the caller what comes.
func (r *run) attempt(ctx context.Context, choice beechplace.Choice) verdict {
	ticket := r.core.placer.StartAttempt(r.call, choice)
	r.choice = choice
	if choice.Wait > 0 && r.waits < waitsMost && !r.waited(ctx, choice) {
		ticket.Done(beechplace.Cancelled)
		return again
	}
	if !ticket.AcquireLimit() {
		ticket.Done(beechplace.Cancelled)
		if r.held++; r.held < heldMost {
			return again
		}
		r.back = comeBack
		return stop
	}
	r.sends++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := r.newWatch(cancel, choice)
	defer watch.stop()
	sent := r.core.clock.Now()
	answer, err := r.core.backend.Send(ctx, beechcall.Attempt{
		Call: r.call, Server: choice.Server, Weights: choice.Weights, Salt: choice.Salt,
		Urgency: r.urgency(), Fetch: choice.Fetch, Save: choice.Save, LastEvent: r.stream.last,
	})
	if err != nil {
		return r.judge(choice, ticket, watch, err)
	}
	defer answer.Body.Close()
	ticket.ObserveLimit(answer.Limit)
	ticket.ObserveLoad(answer.Load)
	r.core.placer.ObserveVersion(choice.Server.ID, r.call.Model, answer.Weights)
	if r.call.Route.Stream && answer.Status == http.StatusOK {
		return r.follow(choice, ticket, watch, answer, sent)
	}
	return r.whole(choice, ticket, watch, answer, sent)
}

// waited waits for a part that is being read, and tells whether the choice
// still stands.
func (r *run) waited(ctx context.Context, choice beechplace.Choice) bool {
	r.waits++
	select {
	case <-r.core.clock.After(choice.Wait):
	case <-ctx.Done():
	}
	return !ended(ctx) && r.core.placer.StillUsable(choice)
}

// urgency ranks calls at an engine: the workspace's rank goes first, the
// route's decides among those of one rank. Without the second, a short question
// waits behind each long review of a workspace of the same rank.
func (r *run) urgency() int {
	rank := workspaceRank
	if r.call.Workspace.Priority >= 0 {
		rank = r.call.Workspace.Priority
	}
	return min(rank*routeRanks+min(max(r.call.Route.Priority, 0), routeRanks-1), urgencyLast)
}

// whole reads a plain answer to its end before the caller sees any of it, so
// that a broken one can be replaced.
func (r *run) whole(choice beechplace.Choice, ticket *beechplace.Attempt, watch *watch, answer *beechcall.Answer, sent time.Time) verdict {
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerMost+1))
	if err == nil && len(body) > answerMost {
		err = errTooLong
	}
	if err != nil {
		return r.judge(choice, ticket, watch, beechcall.Unknown{Peer: choice.Server.Address, Step: "read the answer's body", Err: err})
	}
	watch.stop()
	if !r.stream.begun {
		r.first = r.core.clock.Since(r.started)
	}
	ticket.Done(beechplace.Answered)
	r.core.patience.learn(r.call.Route.Name, r.core.clock.Since(sent), 0, r.core.clock.Now())
	bad := answer.Status >= http.StatusInternalServerError
	r.core.observer.Served(choice.Server, r.call.Model, r.core.clock.Since(sent), choice.PrefillTokens, bad)
	if bad && r.repeatable() && answer.Status != http.StatusGatewayTimeout {
		r.ran++
		r.tried = append(r.tried, choice.Server.ID)
		r.failed = &plain{answer.Status, answer.Header, body}
		if r.ran < r.call.Route.MaxAttempts && r.pay(beechretry.RanYes, choice, false) {
			r.note("retried", choice, zap.Int("status", answer.Status))
			return again
		}
	}
	if r.stream.begun {
		r.note("answered otherwise", choice, zap.Int("status", answer.Status))
		return stop // it is not the rest of what the caller has
	}
	r.core.suspects.RecordSuccess(r.call.Fingerprint())
	r.out.Plain(answer.Status, answer.Header, body)
	return over
}

// judge decides after an attempt without a whole answer.
func (r *run) judge(choice beechplace.Choice, ticket *beechplace.Attempt, watch *watch, err error) verdict {
	watch.stop()
	if ended(r.caller) {
		ticket.Done(beechplace.Cancelled)
		return over
	}
	r.tried = append(r.tried, choice.Server.ID)
	var notSent beechcall.NotSent
	var notRun beechcall.NotRun
	switch {
	case errors.As(err, &notSent):
		r.notRun++
		ticket.Done(beechplace.Unreachable)
		r.note("not sent", choice, zap.Error(err))
		if r.sends < sendsMost {
			return again
		}
		return stop
	case errors.As(err, &notRun):
		r.notRun++
		if !notRun.Replaced {
			ticket.ObserveLimit(notRun.Limit)
			ticket.ObserveLoad(notRun.Load)
		}
		ticket.Done(beechplace.Rejected)
		r.core.placer.ObserveRejection(choice.Server.ID, notRun, r.call.Model)
		r.note("turned away", choice, zap.Int("status", notRun.Status), zap.Bool("replaced", notRun.Replaced), zap.Bool("other weights", notRun.Other))
		if r.sends < sendsMost && r.pay(beechretry.RanNo, choice, true) {
			return again
		}
		return stop
	}
	r.ran++
	r.note("failed", choice, zap.Error(err), zap.Bool("patience", watch.granted()))
	if watch.granted() {
		ticket.Done(beechplace.Failed)
		r.core.observer.Served(choice.Server, r.call.Model, 0, choice.PrefillTokens, true)
		return again
	}
	if watch.tooLate() {
		ticket.Done(beechplace.Cancelled)
	} else if r.core.clock.Now().Before(r.call.Deadline) {
		ticket.Done(beechplace.Failed)
		r.core.blamer.brokeOff(r.call.Fingerprint(), choice.Server.Address)
		r.core.observer.Served(choice.Server, r.call.Model, 0, choice.PrefillTokens, true)
	} else {
		ticket.Done(beechplace.Cancelled)
		return stop
	}
	if r.repeatable() && r.ran < r.call.Route.MaxAttempts && r.pay(beechretry.RanUnknown, choice, false) {
		return again
	}
	return stop
}

// repeatable tells whether a call that may have run may run again. A stream
// that was begun goes on only where it may be resumed after its last event.
func (r *run) repeatable() bool {
	switch r.call.Route.Rule {
	case beechcall.RuleRepeatable:
		return !r.stream.begun
	case beechcall.RuleResumable:
		return !r.stream.begun || r.stream.last != ""
	}
	return false
}

// pay takes a try out of the retry budget, if there is one left.
func (r *run) pay(ran beechretry.Ran, choice beechplace.Choice, refused bool) bool {
	d := r.core.budget.Decide(r.call.Service, beechretry.Outcome{
		Attempt: 1, Ran: ran, Repeatable: r.repeatable(), Deadline: r.call.Deadline,
		Server: choice.Server.Address, Refused: refused,
	})
	_, ok := d.(beechretry.Retry)
	return ok
}

// giveUp tells the caller how it stands.
func (r *run) giveUp(ctx context.Context, reason string) string {
	if ended(r.caller) {
		return "left"
	}
	fields := []zap.Field{
		zap.String("request", r.call.ID), zap.String("route", r.call.Route.Name), zap.String("reason", reason),
		zap.Int("sends", r.sends), zap.Int("ran", r.ran), zap.Duration("took", r.core.clock.Since(r.started)),
	}
	switch {
	case r.stream.begun:
		r.core.log.Warn("stream broken off", fields...)
		r.out.Break()
		return "broken"
	case r.failed != nil:
		r.out.Plain(r.failed.status, r.failed.header, r.failed.body)
		return "answered"
	case r.ran == 0:
		after := min(spread(comeBack), max(r.call.Left(r.core.clock.Now())/3, 0))
		if r.back > 0 {
			after = r.core.placer.RetryAfter(r.call.Service, r.back)
		}
		r.core.log.Warn("request refused", append(fields, zap.Duration("after", after))...)
		r.out.Refuse(NotRun{After: after, Reason: reason})
		return "refused"
	case ended(ctx) || !r.core.clock.Now().Before(r.call.Deadline):
		r.core.log.Warn("request overdue", fields...)
		r.out.Refuse(Overdue{})
		return "overdue"
	}
	r.core.log.Warn("request failed", fields...)
	r.out.Refuse(Unknown{Reason: reason})
	return "failed"
}

func (r *run) note(what string, choice beechplace.Choice, fields ...zap.Field) {
	r.core.log.Info("attempt "+what, append(fields,
		zap.String("request", r.call.ID), zap.String("server", choice.Server.ID), zap.Stringer("peer", choice.Server.Address),
		zap.Uint64("weights", choice.Weights), zap.Int("sends", r.sends), zap.Float64("cost", choice.Cost))...)
}

// span gives milliseconds as a time.
func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ended tells whether a context has ended, without waiting, as the contexts of
// a fake clock do in Err.
func ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// lastEvent gives the id of the last whole event in data, if one has an id.
func lastEvent(data []byte) (string, bool) {
	at := bytes.LastIndex(data, []byte("id:"))
	for at > 0 && data[at-1] != '\n' {
		at = bytes.LastIndex(data[:at], []byte("id:"))
	}
	if at < 0 {
		return "", false
	}
	line := data[at+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line)), true
}
