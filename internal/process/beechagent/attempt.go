package beechagent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/prompt/beechindex"
)

type (
	// attempt is one call to the backend server on behalf of a generation.
	attempt struct {
		agent        *Agent
		generation   *generation
		id           uint64
		incarnation  uint64
		startedAt    time.Time // when the queue let it start
		firstToken   time.Duration
		usage        beechbackend.Usage
		usageKnown   bool
		headSent     bool
		held         int          // bytes of the agent's memory for answers
		lastProgress atomic.Int64 // when the server last sent data, in ns since 1970
		begunAt      atomic.Int64 // when the first output arrived; 0: it has not
		survived     bool         // the answer has begun and gone on
		abort        context.CancelCauseFunc
	}
)

const (
	pieceSize     = 16 << 10
	cancelTimeout = time.Second
	// settleTime is how long an answer must have gone on for its server to have survived its
	// beginning.
	settleTime = 250 * time.Millisecond
	// maxSurvivalWait bounds the wait for a sign that the server has survived the end of an answer
	// that ends with its connection.
	maxSurvivalWait = 3 * time.Second
)

var (
	errAnswerTooLong = errors.New("answer exceeds the size limit of the agent")
	errServerFailed  = errors.New("backend server ended its answer with an error")
	usageField       = []byte(`"usage"`)
	errorField       = []byte(`"error"`)

	errStalled = errors.New("backend server sends no data and does not answer load reports")
)

// execute calls the backend server and returns the last reply.
func (t *attempt) execute(ctx context.Context, body []byte) beechlink.Reply {
	answer, err := t.sendToBackend(ctx, body)
	if err != nil {
		return t.failureReply(ctx, err)
	}
	defer answer.Body.Close()
	if t.generation.request.Service == "" && answer.Status >= http.StatusInternalServerError {
		// A 5xx of an engine is a failure of that engine, not an answer to the
		// request; another engine may succeed.
		return t.failedReply(beechwire.ReasonServer, false)
	}
	t.generation.setHead(t.head(answer))
	t.headSent = true
	if answer.Streamed {
		err = t.copyEvents(answer.Body)
	} else {
		err = t.copyBody(answer)
	}
	if err != nil {
		return t.failureReply(ctx, err)
	}
	t.recordSuccess()
	return t.endReply()
}

// head returns the start of the answer as sent to the caller. Headers of a plain
// service are passed on, headers of an engine are not.
func (t *attempt) head(answer *beechbackend.Answer) beechwire.Head {
	head := beechwire.Head{Status: answer.Status, ContentType: answer.ContentType, Incarnation: t.agent.incarnation}
	if t.generation.request.Service != "" {
		head.Headers = beechconvert.WireAnswerHeaders(answer.Header)
	}
	return head
}

func (t *attempt) sendToBackend(ctx context.Context, body []byte) (*beechbackend.Answer, error) {
	r := &t.generation.request
	if r.Service != "" {
		return t.agent.service.Relay(ctx, beechbackend.RelayRequest{
			RequestID: r.ID, Method: r.Method, Path: r.Path, ContentType: r.ContentType, Header: beechconvert.HTTPHeader(r.Headers), Body: body,
		})
	}
	return t.agent.engine.Generate(ctx, beechbackend.GenerateRequest{
		RequestID: r.ID,
		Path:      r.Path,
		Body:      body,
		Model:     modelKey(r.Model, r.Weights),
		Adapter:   r.Adapter,
		Salt:      r.Salt,
		Priority:  r.Priority,
		Streamed:  r.Streamed,
		Resume:    r.Resume,
	})
}

// copyEvents appends the events of a stream to the generation. The stream is
// complete only if its final event arrived; any other end is an error.
func (t *attempt) copyEvents(body io.Reader) error {
	events := beechbackend.NewEventReader(body, beechbackend.DefaultEventLimit)
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if event.Done() {
			return nil
		}
		if err := t.handleEvent(event.Data); err != nil {
			return err
		}
	}
}

func (t *attempt) handleEvent(data []byte) error {
	t.recordFirstOutput()
	if bytes.Contains(data, usageField) || bytes.Contains(data, errorField) {
		chunk, err := beechbackend.ParseChunk(data)
		if err != nil {
			return err
		}
		if chunk.Failure != "" {
			return fmt.Errorf("%w: %s", errServerFailed, chunk.Failure)
		}
		t.recordUsage(chunk.Usage)
		if chunk.Choices == 0 && chunk.Usage != nil && !t.generation.request.WantsUsage {
			return nil
		}
	}
	return t.appendPiece(bytes.Clone(data))
}

// copyBody appends an answer that is not streamed to the generation. For answers
// of engines it also reads the token usage.
func (t *attempt) copyBody(answer *beechbackend.Answer) error {
	pieces, err := t.readPieces(answer.Body)
	if err != nil {
		return err
	}
	if answer.Unframed {
		if err := t.agent.survivals.Check(t.agent.settings.Backend, beechsurvival.Lifetime{}, t.agent.clock.Now().Add(maxSurvivalWait)); err != nil {
			return err
		}
	}
	t.recordFirstOutput()
	if t.generation.request.Service == "" && answer.Status == http.StatusOK {
		if chunk, err := beechbackend.ParseChunk(bytes.Join(pieces, nil)); err == nil {
			t.recordUsage(chunk.Usage)
		}
	}
	for _, piece := range pieces {
		t.markProgress()
		if t.survivedStart() {
			t.recordStart()
		}
		t.generation.appendPiece(piece)
	}
	return nil
}

// readPieces reads a body to its end.
func (t *attempt) readPieces(body io.Reader) ([][]byte, error) {
	var pieces [][]byte
	for size := 0; ; {
		piece, err := io.ReadAll(io.LimitReader(body, pieceSize))
		if err != nil {
			return nil, err
		}
		if len(piece) == 0 {
			return pieces, nil
		}
		if size += len(piece); size > t.agent.settings.Limits.AnswerBytes {
			return nil, errAnswerTooLong
		}
		if err := t.hold(len(piece)); err != nil {
			return nil, err
		}
		pieces = append(pieces, piece)
	}
}

func (t *attempt) appendPiece(piece []byte) error {
	t.markProgress()
	if t.survivedStart() {
		t.recordStart()
	}
	if err := t.hold(len(piece)); err != nil {
		return err
	}
	if t.generation.appendPiece(piece) > t.agent.settings.Limits.AnswerBytes {
		return errAnswerTooLong
	}
	return nil
}

// hold counts a piece of the answer as memory.
func (t *attempt) hold(size int) error {
	held := t.held + size + pieceOverhead
	if !t.agent.answers.grow(t.held, held) {
		return errAnswerMemory
	}
	t.held = held
	return nil
}

func (t *attempt) markProgress() { t.lastProgress.Store(t.agent.clock.Now().UnixNano()) }

func (t *attempt) lastProgressAt() time.Time { return time.Unix(0, t.lastProgress.Load()) }

func (t *attempt) recordFirstOutput() {
	if t.firstToken > 0 {
		return
	}
	t.firstToken = max(1, t.agent.clock.Since(t.generation.started))
	t.begunAt.Store(t.agent.clock.Now().UnixNano())
	t.agent.scheduler.finishPrefill(t.id)
}

func (t *attempt) recordUsage(usage *beechbackend.Usage) {
	if usage == nil {
		return
	}
	t.usage = *usage
	t.usageKnown = true
}

// survivedStart reports whether the answer had gone on for a while when the server last sent data.
func (t *attempt) survivedStart() bool {
	begun := t.begunAt.Load()
	return begun != 0 && t.lastProgress.Load()-begun >= settleTime.Nanoseconds()
}

// recordStart records that the server has survived the beginning of the answer.
func (t *attempt) recordStart() {
	if !t.survived {
		t.survived = true
		t.agent.poison.RecordStart(beechconvert.PoisonRequest(&t.generation.request))
	}
}

// recordSuccess clears the request of suspicion and updates the cache index with
// the engine's token usage, after a complete answer.
func (t *attempt) recordSuccess() {
	r := &t.generation.request
	t.agent.suspects.RecordSuccess(r.Fingerprint)
	t.recordStart()
	if !t.usageKnown {
		return
	}
	t.agent.index.Learn(beechindex.Reply{
		Incarnation: t.incarnation,
		Salt:        r.Salt,
		Levels:      indexLevels(r.Levels),
		Estimated:   r.PromptTokens,
		Prompt:      t.usage.Prompt,
		Cached:      t.usage.Cached,
	})
}

func (t *attempt) endReply() beechlink.Reply {
	g := t.generation
	return beechlink.EndReply{End: beechwire.End{
		Last:             g.lastSequence(),
		Usage:            beechwire.Usage{Known: t.usageKnown, Prompt: t.usage.Prompt, Cached: t.usage.Cached, Output: t.usage.Output},
		QueueMicros:      t.startedAt.Sub(g.started).Microseconds(),
		FirstTokenMicros: t.firstToken.Microseconds(),
		Load:             t.agent.wireLoad(),
	}}
}

// failureReply converts an error into the last reply. The reply claims that the
// request was or was not run only where that is certain.
func (t *attempt) failureReply(ctx context.Context, err error) beechlink.Reply {
	a := t.agent
	a.counters.Failed.Add(1)
	r := &t.generation.request
	a.log.Warn("attempt failed", beechlog.RequestID(r.ID), beechlog.Attempt(r.Attempt), beechlog.Step("run"),
		beechlog.Peer(a.settings.Backend), beechlog.Workspace(r.Workspace), zap.Error(err))
	var refused *beechbackend.Refused
	switch {
	case errors.As(err, &refused):
		if refused.Status == http.StatusServiceUnavailable || refused.Status == http.StatusTooManyRequests {
			a.backoff.Record(a.backendName(), refused.After)
		}
		return a.refusal(beechwire.ReasonBusy, max(refused.After, shortRetryDelay), "the backend server refused it")
	case beechbackend.NotRun(err):
		if a.isEngine() {
			a.confirmCrash(ctx, t.incarnation)
		}
		return a.refusal(beechwire.ReasonServer, shortRetryDelay, "the backend server could not be reached")
	case errors.Is(context.Cause(ctx), errStalled):
		return t.failedReply(beechwire.ReasonServer, false)
	case ctx.Err() != nil:
		t.cancelAtServer()
		return t.failedReply(cancelReason(ctx), false)
	case errors.Is(err, errAnswerTooLong), errors.Is(err, errAnswerMemory), errors.Is(err, beechbackend.ErrEventTooLong), errors.Is(err, errServerFailed):
		t.cancelAtServer()
		return t.failedReply(beechwire.ReasonServer, false)
	default:
		return t.failedReply(beechwire.ReasonCrash, a.isEngine() && a.confirmCrash(ctx, t.incarnation))
	}
}

func cancelReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return beechwire.ReasonTimeout
	}
	return beechwire.ReasonCancelled
}

func (t *attempt) failedReply(reason string, crashed bool) beechlink.Reply {
	ran := beechwire.RanUnknown
	if t.headSent {
		ran = beechwire.RanYes
	}
	reply := failedReply(reason, ran, "the backend server did not finish its answer")
	reply.Crashed = crashed
	reply.Last = t.generation.lastSequence()
	return reply
}

func (t *attempt) cancelAtServer() {
	if t.generation.request.Service != "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = t.agent.engine.Cancel(ctx, t.generation.request.ID)
}
