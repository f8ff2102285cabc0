package beechengine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"
)

// requestHeader carries the request ID in requests and answers.
const requestHeader = "X-Request-Id"

// statusCancelled is the status of a cancelled answer that is not streamed, or
// of which nothing was sent yet.
const statusCancelled = 499

type (
	// completionRequest is the body of a chat or text completion request.
	completionRequest struct {
		Model         string            `json:"model"`
		Messages      []json.RawMessage `json:"messages"`
		PlainPrompt   json.RawMessage   `json:"prompt"`
		MaxTokens     int               `json:"max_tokens"`
		MaxCompletion int               `json:"max_completion_tokens"`
		Stream        bool              `json:"stream"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
		CacheSalt  string `json:"cache_salt"`
		Priority   int    `json:"priority"`
		ResumeText string `json:"resume_text"`
		Adapter    string `json:"adapter"`
	}

	// generation is the state of one request in the engine.
	generation struct {
		completionRequest
		chat    bool
		id      string
		served  string // model@weights
		prompt  []byte
		seed    uint64
		tokens  int // in the complete answer
		resumed int // tokens already delivered by an earlier attempt
		finish  string
		created int64
		entry   *Entry
	}

	promptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	// usage counts the tokens of the complete answer, including those delivered
	// by an earlier attempt.
	usage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		TotalTokens      int           `json:"total_tokens"`
		PromptDetails    promptDetails `json:"prompt_tokens_details"`
	}
)

func (e *Engine) serveChat(inst *instance, w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(inst, w, r, true)
}

func (e *Engine) serveCompletion(inst *instance, w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(inst, w, r, false)
}

func (e *Engine) serveGenerate(inst *instance, w http.ResponseWriter, r *http.Request, chat bool) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	g := &generation{chat: chat, id: r.Header.Get(requestHeader), created: e.clock.Now().Unix()}
	if err := g.read(body, inst.models); err != nil {
		rejectInvalid(w, err)
		return
	}
	g.entry = e.journal.begin(Entry{
		RequestID:   g.id,
		Salt:        g.CacheSalt,
		Fingerprint: Fingerprint(g.prompt),
		Model:       g.served,
		Adapter:     g.Adapter,
		Incarnation: inst.incarnation,
		Priority:    g.Priority,
		State:       StateWaiting,
		Prompt:      promptTokens(g.prompt),
		Resumed:     g.resumed,
		Began:       e.clock.Now(),
	})
	ctx, done := inst.requestContext(r.Context(), g.entry)
	defer done()
	if e.faults.consumeBusy() {
		e.rejectUnstarted(w, g, errQueueFull)
		return
	}
	if err := inst.batch.acquire(ctx, g.Priority); err != nil {
		e.rejectUnstarted(w, g, err)
		return
	}
	defer inst.batch.release()
	e.generateAnswer(ctx, inst, w, g)
}

func (g *generation) read(body []byte, models *modelSet) error {
	if err := json.Unmarshal(body, &g.completionRequest); err != nil {
		return err
	}
	prompt, err := joinPrompt(g.Messages, g.PlainPrompt)
	if err != nil {
		return err
	}
	g.prompt = prompt
	if g.served, err = models.resolve(g.Model); err != nil {
		return err
	}
	g.seed = answerSeed(g.served, prompt)
	g.finish = "length"
	g.tokens = max(g.MaxTokens, g.MaxCompletion)
	if g.tokens <= 0 {
		g.tokens = defaultTokens(g.seed)
		g.finish = "stop"
	}
	g.resumed, err = resumedTokens(g.seed, g.ResumeText)
	g.resumed = min(g.resumed, g.tokens)
	return err
}

func rejectInvalid(w http.ResponseWriter, err error) {
	if errors.Is(err, errNoModel) {
		writeError(w, http.StatusNotFound, "model_not_found", err.Error(), "no")
		return
	}
	writeError(w, http.StatusBadRequest, "invalid_request", err.Error(), "no")
}

// rejectUnstarted ends a request that did not get a slot.
func (e *Engine) rejectUnstarted(w http.ResponseWriter, g *generation, err error) {
	state := StateRefused
	switch {
	case errors.Is(err, errCrashed):
		state = StateCrashed
	case errors.Is(err, errCallerGone), errors.Is(err, errCancelled):
		state = StateCancelled
	}
	e.journal.update(g.entry, func(n *Entry) {
		n.State = state
		n.Ended = e.clock.Now()
	})
	switch state {
	case StateCrashed:
		panic(http.ErrAbortHandler)
	case StateCancelled:
		writeError(w, statusCancelled, "cancelled", err.Error(), "no")
	default:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "busy", err.Error(), "no")
	}
}

// generateAnswer runs prefill and token generation. The caller holds a slot.
func (e *Engine) generateAnswer(ctx context.Context, inst *instance, w http.ResponseWriter, g *generation) {
	use, err := e.prefill(ctx, inst, g)
	if form, pause, ok := e.faults.consumeEndless(false); ok && err == nil {
		e.recordEnd(g, e.sendEndless(ctx, w, form, pause))
		return
	}
	out := newWriter(w, g, e.settings.TokenTime > 0, e.faults.consumeWrongID())
	if err == nil {
		err = e.generate(ctx, inst, out, g)
	}
	e.recordEnd(g, err)
	switch {
	case err == nil:
		out.writeEnd(use)
	case errors.Is(err, errCancelled):
		out.writeCancelled()
	default:
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) prefill(ctx context.Context, inst *instance, g *generation) (usage, error) {
	blocks := chainBlocks(g.CacheSalt, g.served, g.prompt, e.settings.BlockTokens)
	cached, stale := inst.cache.match(blocks)
	prompt := promptTokens(g.prompt)
	computed := prompt - cached + g.resumed
	e.journal.update(g.entry, func(n *Entry) {
		n.State = StateRunning
		n.Ran = true
		n.Cached = cached
		n.Stale = stale
		n.Computed = computed
	})
	if e.faults.containsMarker(g.prompt) {
		e.Crash(0)
	}
	if err := e.sleepUntil(ctx, inst.batch.prefill(computed)); err != nil {
		return usage{}, err
	}
	inst.cache.store(blocks)
	return usage{
		PromptTokens:     prompt,
		CompletionTokens: g.tokens,
		TotalTokens:      prompt + g.tokens,
		PromptDetails:    promptDetails{CachedTokens: cached},
	}, nil
}

func (e *Engine) generate(ctx context.Context, inst *instance, out *writer, g *generation) error {
	due := e.clock.Now()
	for i := g.resumed; i < g.tokens; i++ {
		if i > g.resumed {
			due = due.Add(inst.batch.tokenTime())
		}
		if err := e.sleepUntil(ctx, due); err != nil {
			return err
		}
		out.writeToken(token(g.seed, i))
		e.journal.update(g.entry, func(n *Entry) { n.Output++ })
	}
	if e.settings.EndTime <= 0 {
		return e.faults.waitWhileFrozen(ctx)
	}
	return e.sleepUntil(ctx, e.clock.Now().Add(e.settings.EndTime))
}

func (e *Engine) recordEnd(g *generation, err error) {
	state := StateFinished
	switch {
	case errors.Is(err, errCrashed):
		state = StateCrashed
	case err != nil:
		state = StateCancelled
	}
	e.journal.update(g.entry, func(n *Entry) {
		n.State = state
		n.Ended = e.clock.Now()
	})
}

// sleepUntil waits until due and until the engine is no longer frozen. It
// returns the cause of ctx if ctx ends first.
func (e *Engine) sleepUntil(ctx context.Context, due time.Time) error {
	if wait := due.Sub(e.clock.Now()); wait > 0 {
		t := e.clock.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.Chan():
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return e.faults.waitWhileFrozen(ctx)
}

func promptTokens(prompt []byte) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// answerID returns the ID field of the answer's JSON.
func answerID(chat bool, id string) string {
	if chat {
		return "chatcmpl-" + id
	}
	return "cmpl-" + strings.TrimSpace(id)
}
