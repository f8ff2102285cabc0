package beechentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
)

// backgroundOutcome is what was learned of a request whose caller left.
type backgroundOutcome int

const (
	outcomeUnknown  backgroundOutcome = iota
	outcomeComplete                   // the complete answer is in the job's writer
	outcomeNotRun                     // it never reached its server, and the server will not run it any more

	// backgroundTimeout bounds how long the outcome of a request is awaited after
	// its caller left.
	backgroundTimeout = 5 * time.Minute

	// rejoinTimeout bounds how long the background follow-up waits for a lost link
	// to the agent.
	rejoinTimeout = 30 * time.Second
)

// recordOutcome records the outcome of a request that may not be repeated
// before its caller sees the answer, so that an immediate repeat gets the same
// answer. If recording fails the caller still gets its answer, and until the
// outcome is recorded a repeat is told that it is unknown.
func (e *Entry) recordOutcome(j *job) {
	p, plain := j.writer.(*plainWriter)
	if j.request.Claim == "" || !plain {
		return
	}
	e.notifyOwnerOrRetry(j.request.ID, &beechwire.FinishAsk{
		RecordKey: j.request.RecordKey, Token: j.request.Claim, Status: p.status, ContentType: p.contentType, Answer: p.body,
	})
}

// recordOutcomeLater follows a request that may not be repeated to its end
// after its caller left or its deadline passed, and records the outcome.
// Callers on weak links disconnect in the middle of a booking and retry;
// without this they would be told that the outcome is unknown although the
// service has answered.
func (e *Entry) recordOutcomeLater(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	j.writer = &plainWriter{out: discardWriter{}}
	switch e.readOutcome(ctx, j) {
	case outcomeComplete:
		e.recordOutcome(j)
	case outcomeNotRun:
		e.releaseKey(j)
	default:
		if e.ending.Err() != nil {
			return // the agent records the outcome, as no stream of its answer is open any more
		}
		e.recordUnknownOutcome(j)
	}
}

// readOutcome reads the complete answer of a request that is running, or ran,
// at an agent.
func (e *Entry) readOutcome(ctx context.Context, j *job) backgroundOutcome {
	stream := e.rejoin(ctx, j)
	if stream == nil {
		return outcomeUnknown
	}
	defer stream.Close(true)
	for {
		reply, err := stream.Next(ctx)
		if err != nil {
			e.log.Info("lost the stream of a request that was followed for its outcome", beechlog.RequestID(j.request.ID), beechlog.Step("settle"), beechlog.Peer(j.sentTo.agent), zap.Error(err))
			return outcomeUnknown
		}
		switch r := reply.(type) {
		case beechlink.HeadReply:
			j.writer.writeHead(answerHead{status: r.Status, contentType: r.ContentType})
		case beechlink.DataReply:
			_ = j.writer.writePiece(r.Sequence, r.Data.Data)
		case beechlink.EndReply:
			return outcomeComplete
		case beechlink.RefusedReply:
			if r.Reason == beechwire.ReasonNever {
				return outcomeNotRun
			}
			return outcomeUnknown
		default:
			return outcomeUnknown
		}
	}
}

// rejoin attaches to the request at the agent that it was sent to. It returns
// nil if that agent stays unreachable for rejoinTimeout.
func (e *Entry) rejoin(ctx context.Context, j *job) beechlink.Stream {
	limit := e.clock.Now().Add(rejoinTimeout)
	for e.clock.Now().Before(limit) && !e.draining.Load() {
		client := e.joinClient(ctx, j.sentTo.agent)
		if client == nil {
			continue
		}
		stream, err := client.Reattach(ctx, beechwire.Reattach{
			Workspace: j.workspace.Name, RequestID: j.request.ID, Incarnation: j.sentTo.incarnation, Claim: j.request.Claim,
		})
		if err == nil {
			return stream
		}
		e.clock.Sleep(reattachPause)
	}
	return nil
}

// recordUnknownOutcome tells the key's owner that the outcome will not be
// known, so that repeats need not wait for it.
func (e *Entry) recordUnknownOutcome(j *job) {
	if err := e.notifyOwner(&beechwire.FinishAsk{RecordKey: j.request.RecordKey, Token: j.request.Claim}); err != nil {
		e.log.Info("owner of the idempotency key not notified; outcome stays unknown", beechlog.RequestID(j.request.ID), beechlog.Step("record"), zap.Error(err))
	}
}
