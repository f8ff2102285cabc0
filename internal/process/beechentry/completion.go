package beechentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/beechring/beechring/internal/decision/beechlimit"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechending"
	"github.com/beechring/beechring/internal/prompt/beechprefix"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

const (
	defaultOutputTokens = 512
	adapterSeparator    = ":"
	codeNoConfiguration = "no_configuration"
)

// serveCompletion handles chat and text completions, streamed or not.
func (e *Entry) serveCompletion(w *beechending.Request, r *http.Request) {
	e.serve(w, r, e.readCompletion)
}

// readCompletion is the requestReader of completions.
func (e *Entry) readCompletion(w *beechending.Request, r *http.Request, c *beechmanifest.Configuration, workspace *beechmanifest.Workspace) (*job, *failure) {
	deadline, f := callerDeadline(r)
	if f != nil {
		return nil, f
	}
	key, f := idempotencyKey(r)
	if f != nil {
		return nil, f
	}
	body, f := e.readBody(w, r, workspace)
	if f != nil {
		return nil, f
	}
	if f := e.expectDecoded(body, workspace, beechprefix.DecodedBytes(body.Data)); f != nil {
		return nil, f
	}
	j, f := e.decodeCompletion(r, c, workspace, body.Data, key)
	if f != nil {
		body.Release()
		return nil, f
	}
	j.held, j.timeout = body, deadline
	return j, nil
}

// decodeCompletion decodes the body of a completion into a job.
func (e *Entry) decodeCompletion(r *http.Request, c *beechmanifest.Configuration, workspace *beechmanifest.Workspace, body []byte, key string) (*job, *failure) {
	prompt, err := beechprefix.Decode(r.URL.Path, body)
	if err != nil {
		return nil, promptFailure(err)
	}
	j := &job{
		configuration: c,
		workspace:     workspace,
		prompt:        prompt,
		body:          body,
		lastEventID:   r.Header.Get(headerLastEvent),
		resumable:     prompt.Fields.Resumable && prompt.Fields.Stream,
	}
	j.request = beechwire.Request{
		ID:          newRequestID(),
		Workspace:   workspace.Name,
		Method:      http.MethodPost,
		Path:        r.URL.Path,
		ContentType: "application/json",
		Repeatable:  true,
		Streamed:    prompt.Fields.Stream,
		WantsUsage:  prompt.Fields.WantsUsage,
		BodyBytes:   len(body),
		Fingerprint: fingerprint(workspace.Name, body),
	}
	j.setBody(body, key)
	if f := e.resolveModel(j); f != nil {
		return nil, f
	}
	return j, nil
}

// setBody sets the hash that identifies the body and, with an idempotency key,
// the hash that a repeat under the same key must match. The latter covers
// method and path: the same body sent to another path is another call.
func (j *job) setBody(body []byte, key string) {
	sum := sha256.Sum256(body)
	j.request.BodyHash = sum[:]
	if key == "" {
		return
	}
	j.request.RecordKey = recordKey(j.workspace.Name, key)
	call := sha256.New()
	call.Write([]byte(j.request.Method + " " + j.request.Path + "\n"))
	call.Write(sum[:])
	j.callHash = call.Sum(nil)
}

// recordKey scopes an idempotency key to its workspace.
func recordKey(workspace, key string) string {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// fingerprint identifies a request by its content. It is the same for every
// repeat and on every entry host.
func fingerprint(workspace string, body []byte) uint64 {
	return xxh3.Hash(body) ^ xxh3.HashString(workspace)
}

func promptFailure(err error) *failure {
	var bad *beechprefix.Error
	if !errors.As(err, &bad) {
		return notRun(http.StatusBadRequest, typeInvalid, "invalid_body", "%v", err)
	}
	f := notRun(http.StatusBadRequest, typeInvalid, "invalid_"+string(bad.Kind), "%v", bad)
	f.Param = bad.Field
	return f
}

// resolveModel sets what depends on the configuration and the fleet: the
// adapter, the version of the weights that is being served, and the prefix
// chain computed from both.
func (e *Entry) resolveModel(j *job) *failure {
	model, adapter, known := findModel(j.configuration, j.prompt.Fields.Model)
	if !known || !j.workspace.AllowsModel(model.Name) {
		return unknownModel(j.prompt.Fields.Model)
	}
	name := model.Name
	weights := e.fleet.servedWeights(name, model.Weights)
	chain := j.prompt.Chain(beechprefix.Root{
		Workspace: j.workspace.Name, Model: name, Adapter: adapter, Weights: weights,
	}, &e.estimator)
	j.chain = chain
	r := &j.request
	r.Model = name
	r.Adapter = adapter
	r.Weights = weights
	r.Generation = j.configuration.Generation
	r.Priority = j.configuration.PriorityRank(j.workspace.Priority)
	r.Salt = chain.Salt
	r.Levels = wireLevels(chain.Levels)
	r.PromptTokens = chain.PromptTokens
	r.OutputTokens = outputTokens(j.prompt.Fields.MaxTokens, j.workspace.DefaultMaxTokens)
	return nil
}

// findModel parses "model" or "model:adapter".
func findModel(c *beechmanifest.Configuration, asked string) (model *beechmanifest.Model, adapter string, known bool) {
	if model, known = c.Model(asked); known {
		return model, "", true
	}
	cut := strings.LastIndex(asked, adapterSeparator)
	if cut < 0 {
		return nil, "", false
	}
	adapter = asked[cut+1:]
	model, known = c.Model(asked[:cut])
	return model, adapter, known && adapter != "" && model.HasAdapter(adapter)
}

func outputTokens(requested, workspaceDefault int) int {
	switch {
	case requested > 0:
		return requested
	case workspaceDefault > 0:
		return workspaceDefault
	default:
		return defaultOutputTokens
	}
}

func wireLevels(levels []beechprefix.Level) []beechwire.Level {
	out := make([]beechwire.Level, len(levels))
	for i, l := range levels {
		out[i] = beechwire.Level{Key: l.Key[:], Tokens: l.Tokens}
	}
	return out
}

// admitAndRun checks the workspace's limits, runs the job and answers the
// caller.
func (e *Entry) admitAndRun(w *beechending.Request, r *http.Request, j *job) {
	decision := e.limiter.Admit(j.workspace.Name, j.request.PromptTokens+j.request.OutputTokens)
	admitted, ok := decision.(beechlimit.Admitted)
	if !ok {
		f := limitFailure(decision)
		if f.Code == codeNoConfiguration {
			e.counters.Unconfigured.Add(1)
		}
		e.observe(j, f)
		f.write(w)
		return
	}
	untilEnd, release := e.untilEnd(r.Context())
	defer release()
	ctx, cancel := j.context(untilEnd)
	defer cancel()
	w.Header().Set(headerRequestID, j.request.ID)
	j.writer = newAnswerWriter(w, j, e.signer, time.Duration(e.settings.Limits.WriteTime))
	f := e.execute(ctx, j)
	e.release(admitted.Grant, j, f)
	e.observe(j, f)
	if f == nil {
		return
	}
	j.writer.fail(f)
	if f.Status == statusCallerGone {
		w.CallerLeft()
	}
}

func (e *Entry) release(grant *beechlimit.Grant, j *job, f *failure) {
	if f != nil && f.Ran == beechwire.RanNo {
		grant.Cancel()
		return
	}
	grant.Release(beechlimit.Usage{Known: j.usage.Known, Tokens: j.usage.Prompt + j.usage.Output})
}

func limitFailure(decision beechlimit.Decision) *failure {
	rejected, ok := decision.(beechlimit.Rejected)
	if !ok {
		return notRun(http.StatusInternalServerError, typeServer, "limit", "the limits gave no answer")
	}
	switch rejected.Reason {
	case beechlimit.ReasonTooLarge:
		return notRun(http.StatusBadRequest, typeInvalid, "request_too_large", "the request's tokens exceed the workspace's limit a minute")
	case beechlimit.ReasonUnknown:
		return retryLater(http.StatusServiceUnavailable, codeNoConfiguration, time.Second, "the workspace's limits are not known yet")
	default:
		return retryLater(http.StatusTooManyRequests, "limit_"+string(rejected.Reason), rejected.RetryAfter, "the workspace is over its limit of %s", rejected.Reason)
	}
}

// context derives the job's context, which ends at the caller's deadline.
func (j *job) context(parent context.Context) (context.Context, context.CancelFunc) {
	if j.timeout <= 0 {
		return context.WithCancel(parent)
	}
	j.deadline = time.Now().Add(j.timeout)
	return context.WithDeadline(parent, j.deadline)
}
