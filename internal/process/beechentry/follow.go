package beechentry

import (
	"context"
	"errors"
	"net/netip"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
)

// follow gives a stream's replies to the caller. Where the link is lost it
// joins the same generation again, so that a cut between two hosts costs the
// caller nothing. A link that gives nothing each time it is joined is left:
// joined again and again it would keep the caller and the host's processor busy
// without end.
func (e *Entry) follow(ctx context.Context, j *job, client *beechlink.Client, server netip.AddrPort, stream beechlink.Stream) attemptResult {
	idle, incarnation := 0, stream.Peer().Incarnation
	for tries := 0; ; tries++ {
		before := j.sequence
		result, lost := e.drainStream(ctx, j, server, stream)
		if _, isExpired := result.(expired); isExpired && tries > 0 {
			// The agent was replaced meanwhile. What it was running is lost,
			// as with a server that died.
			return e.lostResult(ctx)
		}
		if !lost {
			return result
		}
		if idle++; j.sequence > before {
			idle = 0
		}
		if idle > maxIdleJoins {
			return e.lostResult(ctx)
		}
		stream = e.reattach(ctx, j, client, incarnation)
		if stream == nil {
			return e.lostResult(ctx)
		}
	}
}

//go:noinline
func (e *Entry) lostResult(ctx context.Context) attemptResult {
	if ctx.Err() != nil {
		return callerLeft{}
	}
	return interrupted{ran: beechwire.RanUnknown, reason: beechwire.ReasonGone}
}

// reattach joins the job's generation again over a new connection, or returns
// nil when that fails for too long.
func (e *Entry) reattach(ctx context.Context, j *job, client *beechlink.Client, incarnation uint64) beechlink.Stream {
	e.numbers.Reattached.Add(1)
	limit := e.clock.Now().Add(reattachTime)
	for e.clock.Now().Before(limit) && ctx.Err() == nil {
		stream, err := client.Reattach(ctx, beechwire.Reattach{
			Workspace: j.workspace.Name, RequestID: j.request.ID, Incarnation: incarnation, After: j.sequence, Claim: j.request.Claim,
		})
		if err == nil {
			return stream
		}
		e.clock.Sleep(reattachPause)
	}
	return nil
}

// drainStream takes replies until the last. Lost is true where the link was
// lost before it.
func (e *Entry) drainStream(ctx context.Context, j *job, server netip.AddrPort, stream beechlink.Stream) (result attemptResult, lost bool) {
	for {
		reply, err := stream.Next(ctx)
		if ctx.Err() != nil {
			stream.Close(e.detach(ctx))
			return callerLeft{}, false
		}
		if err != nil {
			e.logLost(j, server, err)
			stream.Close(true)
			return nil, true
		}
		if result, over := e.takeReply(j, server, reply); over {
			if _, left := result.(callerLeft); left {
				stream.Close(true)
			}
			return result, false
		}
	}
}

func (e *Entry) logLost(j *job, server netip.AddrPort, err error) {
	e.log.Warn("stream lost", beechlog.RequestID(j.request.ID), beechlog.Attempt(j.request.Attempt),
		beechlog.Step("follow"), beechlog.Peer(server), zap.Error(err))
}

// takeReply gives one reply to the caller; over is true after the last.
func (e *Entry) takeReply(j *job, server netip.AddrPort, reply beechlink.Reply) (result attemptResult, over bool) {
	switch r := reply.(type) {
	case beechlink.HeadReply:
		j.writer.head(answerHead{
			status: r.Status, contentType: r.ContentType, headers: r.Headers,
			at: placed{agent: server, incarnation: r.Incarnation, requestID: j.request.ID},
		})
	case beechlink.DataReply:
		if err := e.take(j, r); err != nil {
			return callerLeft{}, true
		}
	case beechlink.EndReply:
		return e.finished(j, server, r.End), true
	case beechlink.RefusedReply:
		return e.refusedBy(server, r.Refused), true
	case beechlink.FailedReply:
		return e.failedBy(j, server, r.Failed), true
	}
	return nil, false
}

// detach tells whether a generation whose caller left goes on for its grace
// time: yes for a lost caller, no once the caller's own deadline has passed.
func (e *Entry) detach(ctx context.Context) bool {
	return !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// take gives one piece to the caller and notes what a resume needs.
func (e *Entry) take(j *job, r beechlink.DataReply) error {
	if j.firstToken == 0 {
		j.firstToken = max(1, e.clock.Since(j.began))
	}
	j.sequence = r.Sequence
	if j.resumable {
		j.note(r.Data.Data)
	}
	return j.writer.piece(r.Sequence, r.Data.Data)
}
