package beechentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
)

// collected is what is found of a request whose caller left.
type collected int

const (
	ranUnknown collected = iota
	ranWhole             // its answer is in the job's writer
	ranNever             // it never came to its server, and is not run there any more

	// laterLimit is how long the outcome of a request is waited for after its
	// caller left.
	laterLimit = 5 * time.Minute

	// rejoinLimit is how long a lost link to its server is waited for then.
	rejoinLimit = 30 * time.Second
)

// settle records the outcome of a request that may not be repeated, before its
// caller sees the answer, so that a repeat right after it gets the same answer.
// If that fails the caller still gets its answer, and until it is recorded a
// repeat is told that the outcome is unknown.
func (e *Entry) settle(j *job) {
	p, plain := j.writer.(*plainWriter)
	if j.request.Claim == "" || !plain {
		return
	}
	e.tellOrKeepTelling(j.request.ID, &beechwire.FinishAsk{
		RecordKey: j.request.RecordKey, Token: j.request.Claim, Status: p.status, ContentType: p.contentType, Answer: p.body,
	})
}

// settleLater follows a request that may not be repeated to its end after its
// caller left or its deadline passed, and records the outcome. Callers on weak
// links leave in the middle of a booking and ask again; without this they would
// be told that nobody knows, although the service has answered.
func (e *Entry) settleLater(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), laterLimit)
	defer cancel()
	j.writer = &plainWriter{out: discard{}}
	switch e.collect(ctx, j) {
	case ranWhole:
		e.settle(j)
	case ranNever:
		e.giveBack(j)
	default:
		e.abandon(j)
	}
}

// collect reads the whole answer of a request that runs, or ran, at an agent.
func (e *Entry) collect(ctx context.Context, j *job) collected {
	stream := e.joinLater(ctx, j)
	if stream == nil {
		return ranUnknown
	}
	defer stream.Close(true)
	for {
		reply, err := stream.Next(ctx)
		if err != nil {
			e.log.Info("outcome not followed", beechlog.RequestID(j.request.ID), beechlog.Step("settle"), beechlog.Peer(j.sentTo.agent), zap.Error(err))
			return ranUnknown
		}
		switch r := reply.(type) {
		case beechlink.HeadReply:
			j.writer.head(answerHead{status: r.Status, contentType: r.ContentType})
		case beechlink.DataReply:
			_ = j.writer.piece(r.Sequence, r.Data.Data)
		case beechlink.EndReply:
			return ranWhole
		case beechlink.RefusedReply:
			if r.Reason == beechwire.ReasonNever {
				return ranNever
			}
			return ranUnknown
		default:
			return ranUnknown
		}
	}
}

// joinLater joins the request where it was sent, or returns nil where that
// agent cannot be reached for a while.
func (e *Entry) joinLater(ctx context.Context, j *job) beechlink.Stream {
	limit := e.clock.Now().Add(rejoinLimit)
	for e.clock.Now().Before(limit) && !e.leaving.Load() {
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

// abandon tells the owner that the outcome will not be known, so that repeats
// need not wait for it.
func (e *Entry) abandon(j *job) {
	if err := e.tellOwner(&beechwire.FinishAsk{RecordKey: j.request.RecordKey, Token: j.request.Claim}); err != nil {
		e.log.Info("record not told", beechlog.RequestID(j.request.ID), beechlog.Step("record"), zap.Error(err))
	}
}
