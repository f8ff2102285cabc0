package beechagent

import (
	"context"
	"time"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
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
	g := a.findGeneration(r)
	if g == nil {
		_ = s.Send(ctx, a.refusal(beechwire.ReasonGone, 0, "no such answer is kept here"))
		return
	}
	if r.After < g.base {
		_ = s.Send(ctx, a.refusal(beechwire.ReasonGone, 0, "the answer is kept from piece %d on", g.base+1))
		return
	}
	a.numbers.Joined.Add(1)
	a.serveStream(ctx, s, g, r.After)
}

func (a *Agent) findGeneration(r beechwire.Reattach) *generation {
	if r.Incarnation != 0 && r.Incarnation != a.incarnation {
		return nil
	}
	if r.RequestID != "" {
		return a.library.find(r.Workspace, r.RequestID)
	}
	return a.library.findRecord(r.Workspace, r.RecordKey)
}

// serveStream lets a stream follow a generation. A caller that cancels for
// good ends the generation, unless another stream follows it too.
func (a *Agent) serveStream(ctx context.Context, s beechlink.ServerStream, g *generation, after uint64) {
	g.attach()
	err := g.follow(ctx, s, after)
	g.detach(a.clock.Now())
	a.unsettled.note(s.Peer(), g)
	if err != nil && !s.Detached() && g.alone() && g.request.Repeatable {
		a.numbers.Cancelled.Add(1)
		g.cancel()
	}
}

// sweep ends generations without callers and drops old answers, until ctx
// ends. What may not be repeated is never cancelled half way.
func (a *Agent) sweep(ctx context.Context) error {
	return beechtask.Every(ctx, a.clock, sweepInterval, func() {
		for _, g := range a.library.sweep() {
			if g.request.Repeatable {
				a.numbers.Abandoned.Add(1)
				g.cancel()
			}
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
