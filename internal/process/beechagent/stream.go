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

// Open implements beechlink.StreamHandler: it runs a request, or joins the run
// of the same request that an earlier link asked for. Only what follows the
// answer stays on the stream's stack, which is then 4 KB instead of 8.
func (a *Agent) Open(ctx context.Context, s beechlink.ServerStream, r *beechwire.Request, body []byte) {
	g, reply := a.accept(ctx, s, r, body)
	if reply != nil {
		_ = s.Send(ctx, reply)
		return
	}
	a.serveStream(ctx, s, g, r.ResumeSequence)
}

// accept finds or starts the generation that a request asks for, or gives the
// reply that ends its stream.
//
//go:noinline
func (a *Agent) accept(ctx context.Context, s beechlink.ServerStream, r *beechwire.Request, body []byte) (*generation, beechlink.Reply) {
	if g := a.library.find(r.Workspace, r.ID); g != nil && g.joinable() {
		return g, nil
	}
	if reply := a.admit(ctx, s.Peer(), r, body); reply != nil {
		return nil, reply
	}
	if r.Claim != "" && !a.used.use(r.Claim) {
		return nil, failed(beechwire.ReasonClaim, beechwire.RanUnknown, "the token to run was used before")
	}
	g, added := a.begin(*r, body)
	if !added {
		a.numbers.Joined.Add(1)
	}
	return g, nil
}

// begin starts a generation in a goroutine of its own, so that it outlives the
// stream.
func (a *Agent) begin(r beechwire.Request, body []byte) (*generation, bool) {
	ctx, cancel := context.WithCancel(a.life)
	deadline := time.Time{}
	if r.DeadlineMillis > 0 {
		deadline = a.clock.Now().Add(time.Duration(r.DeadlineMillis) * time.Millisecond)
	}
	if r.Repeatable && !deadline.IsZero() {
		// What may not be repeated goes on: cut off, its outcome would be
		// unknown for ever.
		ctx, cancel = deadlineContext(ctx, cancel, deadline)
	}
	g, added := a.library.add(newGeneration(r, a.clock.Now(), cancel))
	if !added {
		cancel()
		return g, false
	}
	a.numbers.Begun.Add(1)
	a.runs.Go(func() {
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

// Reattach implements beechlink.StreamHandler: it joins a generation by its
// request's id or by its idempotency key.
func (a *Agent) Reattach(ctx context.Context, s beechlink.ServerStream, r beechwire.Reattach) {
	g, missing := a.findGeneration(r)
	if g == nil {
		reason := beechwire.ReasonGone
		if a.neverCame(r) {
			reason, missing = beechwire.ReasonNever, "the request never came here"
		}
		a.log.Info("answer not joined", beechlog.RequestID(r.RequestID), beechlog.Step("join"), beechlog.Peer(s.Peer().Address),
			beechlog.Workspace(r.Workspace), zap.Uint64("after", r.After), zap.String("reason", missing))
		_ = s.Send(ctx, a.refusal(reason, 0, "%s", missing))
		return
	}
	a.numbers.Joined.Add(1)
	a.serveStream(ctx, s, g, r.After)
}

// neverCame tells whether a request that may not be repeated, and that an entry
// host wants to join, was lost on its way here. Its token is used up with that:
// should the request still come, it is not run.
func (a *Agent) neverCame(r beechwire.Reattach) bool {
	return r.Claim != "" && r.Incarnation == a.incarnation && a.used.use(r.Claim)
}

// findGeneration returns the generation to join, or why there is none.
func (a *Agent) findGeneration(r beechwire.Reattach) (g *generation, missing string) {
	if r.Incarnation != 0 && r.Incarnation != a.incarnation {
		return nil, "the agent was started again since"
	}
	g = a.library.find(r.Workspace, r.RequestID)
	if r.RequestID == "" {
		g = a.library.findRecord(r.Workspace, r.RecordKey)
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

// serveStream lets a stream follow a generation. A caller that cancels for
// good ends the generation, unless another stream follows it too.
func (a *Agent) serveStream(ctx context.Context, s beechlink.ServerStream, g *generation, after uint64) {
	g.attach()
	if g.request.Claim != "" {
		defer a.unsettled.end(a.unsettled.begin(s.Peer(), g))
	}
	err := g.follow(ctx, s, after)
	g.detach(a.clock.Now())
	switch {
	case err == nil:
	case !s.Detached() && g.alone() && g.request.Repeatable:
		a.numbers.Cancelled.Add(1)
		a.logLeft("generation cancelled", s, g, err)
		g.cancel()
	default:
		a.logLeft("stream detached", s, g, err)
		a.recordIfAlone(g)
	}
}

// logLeft tells how far a stream had come whose entry host takes no more of it.
func (a *Agent) logLeft(message string, s beechlink.ServerStream, g *generation, err error) {
	ended, _, size := g.endedSince()
	a.log.Info(message, beechlog.RequestID(g.request.ID), beechlog.Step("follow"), beechlog.Peer(s.Peer().Address),
		beechlog.Workspace(g.request.Workspace), zap.Uint64("last", g.lastSequence()), zap.Int("bytes", size), zap.Bool("ended", ended), zap.Error(err))
}

// sweep ends generations without callers and drops old answers, until ctx
// ends. What may not be repeated is never cancelled half way.
func (a *Agent) sweep(ctx context.Context) error {
	return beechtask.Every(ctx, a.clock, sweepInterval, func() {
		abandoned, dropped := a.library.sweep()
		for _, g := range abandoned {
			if g.request.Repeatable {
				a.numbers.Abandoned.Add(1)
				a.log.Info("generation abandoned", beechlog.RequestID(g.request.ID), beechlog.Step("sweep"),
					beechlog.Workspace(g.request.Workspace), zap.Uint64("last", g.lastSequence()))
				g.cancel()
			}
		}
		if dropped.byAge+dropped.forRoom > 0 {
			a.log.Info("answers dropped", beechlog.Step("sweep"), zap.Int("byAge", dropped.byAge), zap.Int("forRoom", dropped.forRoom))
		}
	})
}

func failed(reason, ran, message string) beechlink.FailedReply {
	return beechlink.FailedReply{Failed: beechwire.Failed{Reason: reason, Ran: ran, Message: message}}
}

func keyOf(l beechwire.Level) (key [16]byte) {
	copy(key[:], l.Key)
	return key
}

func indexLevels(levels []beechwire.Level) []beechindex.Level {
	out := make([]beechindex.Level, 0, len(levels))
	for _, l := range levels {
		out = append(out, beechindex.Level{Key: keyOf(l), Tokens: l.Tokens})
	}
	return out
}
