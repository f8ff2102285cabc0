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

// relay sends a stream's replies to the caller. If the link is lost it
// reattaches to the same generation, so that a short network failure between
// two hosts does not affect the caller. After maxEmptyReattaches reattachments
// in a row that brought nothing it gives up; otherwise it would occupy the
// caller and the host's CPU without end.
func (e *Entry) relay(ctx context.Context, j *job, client *beechlink.Client, server netip.AddrPort, stream beechlink.Stream) attemptResult {
	empty, incarnation := 0, stream.Peer().Incarnation
	for tries := 0; ; tries++ {
		before := j.sequence
		result, lost := e.relayReplies(ctx, j, server, stream)
		if _, isExpired := result.(expired); isExpired && tries > 0 {
			// The agent was replaced in the meantime. What it was running is lost, as
			// after a server crash.
			return e.lostResult(ctx)
		}
		if !lost {
			return result
		}
		if empty++; j.sequence > before {
			empty = 0
		}
		if empty > maxEmptyReattaches {
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
		return callerGone{}
	}
	return interrupted{ran: beechwire.RanUnknown, reason: beechwire.ReasonGone}
}

// reattach attaches to the job's generation over a new connection. It returns
// nil if that does not succeed within reattachTimeout.
func (e *Entry) reattach(ctx context.Context, j *job, client *beechlink.Client, incarnation uint64) beechlink.Stream {
	e.counters.Reattached.Add(1)
	limit := e.clock.Now().Add(reattachTimeout)
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

// relayReplies relays replies until the last one. lost is true if the link was
// lost before it.
func (e *Entry) relayReplies(ctx context.Context, j *job, server netip.AddrPort, stream beechlink.Stream) (result attemptResult, lost bool) {
	for {
		reply, err := stream.Next(ctx)
		if ctx.Err() != nil {
			stream.Close(e.shouldDetach(ctx))
			return callerGone{}, false
		}
		if err != nil {
			e.logStreamLost(j, server, err)
			stream.Close(true)
			return nil, true
		}
		if result, over := e.relayReply(j, server, reply); over {
			if _, left := result.(callerGone); left {
				stream.Close(true)
			}
			return result, false
		}
	}
}

func (e *Entry) logStreamLost(j *job, server netip.AddrPort, err error) {
	e.log.Warn("stream lost", beechlog.RequestID(j.request.ID), beechlog.Attempt(j.request.Attempt),
		beechlog.Step("follow"), beechlog.Peer(server), zap.Error(err))
}

// relayReply passes one reply to the caller; over is true after the last one.
func (e *Entry) relayReply(j *job, server netip.AddrPort, reply beechlink.Reply) (result attemptResult, over bool) {
	switch r := reply.(type) {
	case beechlink.HeadReply:
		j.writer.writeHead(answerHead{
			status: r.Status, contentType: r.ContentType, headers: r.Headers,
			source: generationRef{agent: server, incarnation: r.Incarnation, requestID: j.request.ID},
		})
	case beechlink.DataReply:
		if err := e.relayPiece(j, r); err != nil {
			return callerGone{}, true
		}
	case beechlink.EndReply:
		return e.completeAnswer(j, server, r.End), true
	case beechlink.RefusedReply:
		return e.classifyRefusal(server, r.Refused), true
	case beechlink.FailedReply:
		return e.recordFailure(j, server, r.Failed), true
	}
	return nil, false
}

// shouldDetach reports whether a generation whose caller left continues for its
// grace period: yes if the caller disconnected, no if its own deadline has
// passed.
func (e *Entry) shouldDetach(ctx context.Context) bool {
	return !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// relayPiece passes one piece to the caller and keeps what a resume needs.
func (e *Entry) relayPiece(j *job, r beechlink.DataReply) error {
	if j.firstToken == 0 {
		j.firstToken = max(1, e.clock.Since(j.startedAt))
	}
	j.sequence = r.Sequence
	if j.resumable {
		j.recordText(r.Data.Data)
	}
	return j.writer.writePiece(r.Sequence, r.Data.Data)
}
