package beechentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
)

// laterLimit is how long the outcome of a request is waited for after its
// caller left.
const laterLimit = 5 * time.Minute

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
	if e.collect(ctx, j) {
		e.settle(j)
		return
	}
	e.abandon(j)
}

// collect reads the whole answer of a request that runs, or ran, at an agent;
// false is one that cannot be had.
func (e *Entry) collect(ctx context.Context, j *job) bool {
	client := e.joinClient(ctx, j.leftAt)
	if client == nil {
		return false
	}
	stream, err := client.Reattach(ctx, beechwire.Reattach{Workspace: j.workspace.Name, RequestID: j.request.ID})
	if err != nil {
		return false
	}
	defer stream.Close(true)
	for {
		reply, err := stream.Next(ctx)
		if err != nil {
			e.log.Info("outcome not followed", beechlog.RequestID(j.request.ID), beechlog.Step("settle"), beechlog.Peer(j.leftAt), zap.Error(err))
			return false
		}
		switch r := reply.(type) {
		case beechlink.HeadReply:
			j.writer.head(answerHead{status: r.Status, contentType: r.ContentType})
		case beechlink.DataReply:
			_ = j.writer.piece(r.Sequence, r.Data.Data)
		case beechlink.EndReply:
			return true
		default:
			return false
		}
	}
}

// abandon tells the owner that the outcome will not be known, so that repeats
// need not wait for it.
func (e *Entry) abandon(j *job) {
	if err := e.tellOwner(&beechwire.FinishAsk{RecordKey: j.request.RecordKey, Token: j.request.Claim}); err != nil {
		e.log.Info("record not told", beechlog.RequestID(j.request.ID), beechlog.Step("record"), zap.Error(err))
	}
}
