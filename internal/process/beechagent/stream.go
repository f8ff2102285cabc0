package beechagent

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/prompt/beechindex"
)

// Open implements beechlink.StreamHandler. It runs a request, or joins the run of the
// same request if it was sent over an earlier link. findOrStart is a separate
// function so that its variables do not stay on the stack of the goroutine while the
// stream is served; the stack then takes 4 KB instead of 8.
func (a *Agent) Open(ctx context.Context, s beechlink.ServerStream, r *beechwire.Request, body []byte) {
	g, reply := a.findOrStart(ctx, s, r, body)
	if reply != nil {
		_ = s.Send(ctx, reply)
		return
	}
	a.serveStream(ctx, s, g, r.ResumeSequence)
}

// findOrStart finds or starts the generation of a request. If it can do neither, it
// returns the reply that ends the stream.
//
//go:noinline
func (a *Agent) findOrStart(ctx context.Context, s beechlink.ServerStream, r *beechwire.Request, body []byte) (*generation, beechlink.Reply) {
	if g := a.generations.find(r.Workspace, r.ID); g != nil && g.joinable() {
		return g, nil
	}
	if reply := a.admit(ctx, s.Peer(), r, body); reply != nil {
		return nil, reply
	}
	if r.Claim != "" && !a.usedClaims.markUsed(r.Claim) {
		return nil, failedReply(beechwire.ReasonClaim, beechwire.RanUnknown, "the token to run was used before")
	}
	g, added := a.startGeneration(s, *r, body)
	if !added {
		a.counters.Joined.Add(1)
	}
	return g, nil
}

// startGeneration starts a generation in its own goroutine, so that it outlives the
// stream. If another stream has started the same request in the meantime, it returns
// that generation and false.
func (a *Agent) startGeneration(s beechlink.ServerStream, r beechwire.Request, body []byte) (*generation, bool) {
	ctx, cancel := context.WithCancel(a.generationContext)
	deadline := time.Time{}
	if r.DeadlineMillis > 0 {
		deadline = a.clock.Now().Add(time.Duration(r.DeadlineMillis) * time.Millisecond)
	}
	if r.Repeatable && !deadline.IsZero() {
		// A request that may not be repeated continues past its deadline: if it
		// were cancelled, its outcome would remain unknown.
		ctx, cancel = deadlineContext(ctx, cancel, deadline)
	}
	g, added := a.generations.add(newGeneration(r, a.clock.Now(), cancel))
	if !added {
		cancel()
		return g, false
	}
	a.counters.Begun.Add(1)
	releaseBody := s.KeepBody()
	a.runs.Go(func() {
		defer releaseBody()
		defer cancel()
		a.run(ctx, g, body, deadline)
	})
	return g, true
}

func deadlineContext(parent context.Context, cancelParent context.CancelFunc, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(parent, deadline)
	return ctx, func() {
		cancel()
		cancelParent()
	}
}

// Reattach implements beechlink.StreamHandler. It attaches a stream to a generation,
// which it finds by request id or by idempotency key.
func (a *Agent) Reattach(ctx context.Context, s beechlink.ServerStream, r beechwire.Reattach) {
	g, missing := a.findGeneration(r)
	if g == nil {
		reason := beechwire.ReasonGone
		if a.neverReceived(r) {
			reason, missing = beechwire.ReasonNever, "the request never came here"
		}
		a.log.Info("answer not joined", beechlog.RequestID(r.RequestID), beechlog.Step("join"), beechlog.Peer(s.Peer().Address),
			beechlog.Workspace(r.Workspace), zap.Uint64("after", r.After), zap.String("reason", missing))
		_ = s.Send(ctx, a.refusal(reason, 0, "%s", missing))
		return
	}
	a.counters.Joined.Add(1)
	a.serveStream(ctx, s, g, r.After)
}

// neverReceived reports whether a request that may not be repeated, and that an entry
// host wants to join, was lost before it reached the agent. It marks the claim token
// as used, so that the request is not run if it arrives later.
func (a *Agent) neverReceived(r beechwire.Reattach) bool {
	return r.Claim != "" && r.Incarnation == a.incarnation && a.usedClaims.markUsed(r.Claim)
}

// findGeneration returns the generation to attach to, or the reason why there is
// none.
func (a *Agent) findGeneration(r beechwire.Reattach) (g *generation, missing string) {
	if r.Incarnation != 0 && r.Incarnation != a.incarnation {
		return nil, "the agent was started again since"
	}
	g = a.generations.find(r.Workspace, r.RequestID)
	if r.RequestID == "" {
		g = a.generations.findByRecordKey(r.Workspace, r.RecordKey)
	}
	switch {
	case g == nil:
		return nil, "no such answer is kept here"
	case r.After < g.base:
		return nil, fmt.Sprintf("the answer is kept from piece %d on", g.base+1)
	default:
		return g, ""
	}
}

// serveStream attaches a stream to a generation and sends it the answer. If the caller
// cancels its request, the generation is cancelled, unless another stream is attached
// or the request may not be repeated.
func (a *Agent) serveStream(ctx context.Context, s beechlink.ServerStream, g *generation, after uint64) {
	g.attach()
	if g.request.Claim != "" {
		defer a.pendingOutcomes.endDelivery(a.pendingOutcomes.startDelivery(s.Peer(), g))
	}
	err := g.follow(ctx, s, after)
	g.detach(a.clock.Now())
	switch {
	case err == nil:
	case !s.Detached() && g.unattached() && g.request.Repeatable:
		a.counters.Cancelled.Add(1)
		a.logDetached("generation cancelled", s, g, err)
		g.cancel()
	default:
		a.logDetached("stream detached", s, g, err)
		a.recordIfUnattached(g)
	}
}

// logDetached logs how much of the answer had been received when the stream ended
// early.
func (a *Agent) logDetached(message string, s beechlink.ServerStream, g *generation, err error) {
	ended, _, size := g.endState()
	a.log.Info(message, beechlog.RequestID(g.request.ID), beechlog.Step("follow"), beechlog.Peer(s.Peer().Address),
		beechlog.Workspace(g.request.Workspace), zap.Uint64("last", g.lastSequence()), zap.Int("bytes", size), zap.Bool("ended", ended), zap.Error(err))
}

// sweep periodically cancels abandoned generations and evicts ended ones, until ctx
// ends. Requests that may not be repeated are never cancelled.
func (a *Agent) sweep(ctx context.Context) error {
	return beechtask.Every(ctx, a.clock, sweepInterval, func() {
		abandoned, evicted := a.generations.sweep()
		for _, g := range abandoned {
			if g.request.Repeatable {
				a.counters.Abandoned.Add(1)
				a.log.Info("generation abandoned", beechlog.RequestID(g.request.ID), beechlog.Step("sweep"),
					beechlog.Workspace(g.request.Workspace), zap.Uint64("last", g.lastSequence()))
				g.cancel()
			}
		}
		if evicted.expired+evicted.overLimit > 0 {
			a.log.Info("retained answers evicted", beechlog.Step("sweep"), zap.Int("byAge", evicted.expired), zap.Int("forRoom", evicted.overLimit))
		}
	})
}

func failedReply(reason, ran, message string) beechlink.FailedReply {
	return beechlink.FailedReply{Failed: beechwire.Failed{Reason: reason, Ran: ran, Message: message}}
}

func levelKey(l beechwire.Level) (key [16]byte) {
	copy(key[:], l.Key)
	return key
}

func indexLevels(levels []beechwire.Level) []beechindex.Level {
	out := make([]beechindex.Level, 0, len(levels))
	for _, l := range levels {
		out = append(out, beechindex.Level{Key: levelKey(l), Tokens: l.Tokens})
	}
	return out
}
