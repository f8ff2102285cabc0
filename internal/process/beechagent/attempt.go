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

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechshare"
	"github.com/beechring/beechring/internal/prompt/beechindex"
)

type (
	// attempt is one generation at the backend server.
	attempt struct {
		agent       *Agent
		generation  *generation
		id          uint64
		incarnation uint64
		began       time.Time // at the server
		firstToken  time.Duration
		usage       beechbackend.Usage
		usageKnown  bool
		headSent    bool
		moved       atomic.Int64 // when the server gave something last, in ns since 1970
		abort       context.CancelCauseFunc
	}
)

const (
	pieceBytes    = 16 << 10
	cancelTimeout = time.Second
)

var (
	errAnswerTooLong = errors.New("the answer is longer than the agent keeps")
	errServerFailed  = errors.New("the server ended its answer with an error")
	usageField       = []byte(`"usage"`)
	errorField       = []byte(`"error"`)

	errStalled = errors.New("the server gives nothing and does not answer its reports")
)

// execute calls the backend server and returns the last reply.
func (t *attempt) execute(ctx context.Context, body []byte) beechlink.Reply {
	answer, err := t.call(ctx, body)
	if err != nil {
		return t.failure(ctx, err)
	}
	defer answer.Body.Close()
	if t.generation.request.Service == "" && answer.Status >= http.StatusInternalServerError {
		// The engine's own failure, not an answer: another may do better.
		return t.ended(beechwire.ReasonServer, false)
	}
	t.generation.begin(t.head(answer))
	t.headSent = true
	if answer.Streamed {
		err = t.copyEvents(answer.Body)
	} else {
		err = t.copyBody(answer)
	}
	if err != nil {
		return t.failure(ctx, err)
	}
	t.learn()
	return t.end()
}

// head is what the caller is told first. An engine's own headers stay here.
func (t *attempt) head(answer *beechbackend.Answer) beechwire.Head {
	head := beechwire.Head{Status: answer.Status, ContentType: answer.ContentType, Incarnation: t.agent.incarnation}
	if t.generation.request.Service != "" {
		head.Headers = beechshare.WireAnswerHeaders(answer.Header)
	}
	return head
}

func (t *attempt) call(ctx context.Context, body []byte) (*beechbackend.Answer, error) {
	r := &t.generation.request
	if r.Service != "" {
		return t.agent.service.Relay(ctx, beechbackend.Relay{
			RequestID: r.ID, Method: r.Method, Path: r.Path, ContentType: r.ContentType, Header: beechshare.HTTPHeader(r.Headers), Body: body,
		})
	}
	return t.agent.engine.Generate(ctx, beechbackend.Generate{
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

// copyEvents takes a stream's events into the generation. Only the stream's own
// last event makes it whole; anything else that ends it is an error.
func (t *attempt) copyEvents(body io.Reader) error {
	events := beechbackend.Events(body, beechbackend.DefaultEventLimit)
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if event.Done() {
			return nil
		}
		if err := t.takeEvent(event.Data); err != nil {
			return err
		}
	}
}

func (t *attempt) takeEvent(data []byte) error {
	t.noteFirst()
	if bytes.Contains(data, usageField) || bytes.Contains(data, errorField) {
		chunk, err := beechbackend.ReadChunk(data)
		if err != nil {
			return err
		}
		if chunk.Failure != "" {
			return fmt.Errorf("%w: %s", errServerFailed, chunk.Failure)
		}
		t.noteUsage(chunk.Usage)
		if chunk.Choices == 0 && chunk.Usage != nil && !t.generation.request.WantsUsage {
			return nil
		}
	}
	return t.keep(bytes.Clone(data))
}

// copyBody takes a plain answer into the generation. The usage is read from it
// where it is an engine's.
func (t *attempt) copyBody(answer *beechbackend.Answer) error {
	limit := int64(t.agent.settings.Limits.AnswerBytes)
	data, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return errAnswerTooLong
	}
	t.noteFirst()
	if t.generation.request.Service == "" && answer.Status == http.StatusOK {
		if chunk, err := beechbackend.ReadChunk(data); err == nil {
			t.noteUsage(chunk.Usage)
		}
	}
	for start := 0; start < len(data); start += pieceBytes {
		if err := t.keep(data[start:min(start+pieceBytes, len(data))]); err != nil {
			return err
		}
	}
	return nil
}

func (t *attempt) keep(piece []byte) error {
	t.move()
	if t.generation.add(piece) > t.agent.settings.Limits.AnswerBytes {
		return errAnswerTooLong
	}
	return nil
}

func (t *attempt) move() { t.moved.Store(t.agent.clock.Now().UnixNano()) }

func (t *attempt) movedAt() time.Time { return time.Unix(0, t.moved.Load()) }

func (t *attempt) noteFirst() {
	if t.firstToken > 0 {
		return
	}
	t.firstToken = max(1, t.agent.clock.Since(t.generation.started))
	t.agent.scheduler.prefilled(t.id)
}

func (t *attempt) noteUsage(usage *beechbackend.Usage) {
	if usage == nil {
		return
	}
	t.usage = *usage
	t.usageKnown = true
}

// learn takes in what a whole answer showed.
func (t *attempt) learn() {
	r := &t.generation.request
	t.agent.suspects.RecordSuccess(r.Fingerprint)
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

func (t *attempt) end() beechlink.Reply {
	g := t.generation
	return beechlink.EndReply{End: beechwire.End{
		Last:             g.lastSequence(),
		Usage:            beechwire.Usage{Known: t.usageKnown, Prompt: t.usage.Prompt, Cached: t.usage.Cached, Output: t.usage.Output},
		QueueMicros:      t.began.Sub(g.started).Microseconds(),
		FirstTokenMicros: t.firstToken.Microseconds(),
		Load:             t.agent.wireLoad(),
	}}
}

// failure turns an error into the last reply, saying no more about whether the
// request ran than is known.
func (t *attempt) failure(ctx context.Context, err error) beechlink.Reply {
	a := t.agent
	a.numbers.Failed.Add(1)
	r := &t.generation.request
	a.log.Warn("attempt failed", beechlog.RequestID(r.ID), beechlog.Attempt(r.Attempt), beechlog.Step("run"),
		beechlog.Peer(a.settings.Backend), beechlog.Workspace(r.Workspace), zap.Error(err))
	var refused *beechbackend.Refused
	switch {
	case errors.As(err, &refused):
		return a.refusal(beechwire.ReasonBusy, max(refused.After, retrySoon), "the backend server refused it")
	case beechbackend.NotRun(err):
		if a.isEngine() {
			a.brokenByCrash(ctx, t.incarnation)
		}
		return a.refusal(beechwire.ReasonServer, retrySoon, "the backend server could not be reached")
	case errors.Is(context.Cause(ctx), errStalled):
		return t.ended(beechwire.ReasonServer, false)
	case ctx.Err() != nil:
		t.cancelAtServer()
		return t.ended(cancelReason(ctx), false)
	case errors.Is(err, errAnswerTooLong), errors.Is(err, errServerFailed):
		t.cancelAtServer()
		return t.ended(beechwire.ReasonServer, false)
	default:
		return t.ended(beechwire.ReasonCrash, a.isEngine() && a.brokenByCrash(ctx, t.incarnation))
	}
}

func cancelReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return beechwire.ReasonTimeout
	}
	return beechwire.ReasonCancelled
}

func (t *attempt) ended(reason string, crashed bool) beechlink.Reply {
	ran := beechwire.RanUnknown
	if t.headSent {
		ran = beechwire.RanYes
	}
	reply := failed(reason, ran, "the backend server did not finish its answer")
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
