package beechengine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"
)

// Header that names a request to the engine, and in its answer.
const requestHeader = "X-Request-Id"

// statusCancelled is what a cancelled plain request is answered with.
const statusCancelled = 499

type (
	// call is a request's body as the engine reads it.
	call struct {
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

	// run is one request on its way through the engine.
	run struct {
		call
		chat    bool
		id      string
		served  string // model@weights
		prompt  []byte
		seed    uint64
		tokens  int // of the whole answer
		resumed int // of them given by an earlier run
		finish  string
		created int64
		entry   *Entry
	}

	promptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	// usage counts the whole answer, also what an earlier run gave of it.
	usage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		TotalTokens      int           `json:"total_tokens"`
		PromptDetails    promptDetails `json:"prompt_tokens_details"`
	}
)

func (e *Engine) serveChat(l *life, w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(l, w, r, true)
}

func (e *Engine) servePlain(l *life, w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(l, w, r, false)
}

func (e *Engine) serveGenerate(l *life, w http.ResponseWriter, r *http.Request, chat bool) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	g := &run{chat: chat, id: r.Header.Get(requestHeader), created: e.clock.Now().Unix()}
	if err := g.read(body, l.holdings); err != nil {
		refuseCall(w, err)
		return
	}
	g.entry = e.journal.begin(Entry{
		RequestID:   g.id,
		Salt:        g.CacheSalt,
		Fingerprint: Fingerprint(g.prompt),
		Model:       g.served,
		Adapter:     g.Adapter,
		Incarnation: l.incarnation,
		Priority:    g.Priority,
		State:       StateWaiting,
		Prompt:      promptTokens(g.prompt),
		Resumed:     g.resumed,
		Began:       e.clock.Now(),
	})
	ctx, done := l.watch(r.Context(), g.entry)
	defer done()
	if e.faults.takeBusy() {
		e.refuseBusy(w, g, errBusy)
		return
	}
	if err := l.batch.enter(ctx, g.Priority); err != nil {
		e.refuseBusy(w, g, err)
		return
	}
	defer l.batch.leave()
	e.answer(ctx, l, w, g)
}

func (g *run) read(body []byte, h *holdings) error {
	if err := json.Unmarshal(body, &g.call); err != nil {
		return err
	}
	prompt, err := joinPrompt(g.Messages, g.PlainPrompt)
	if err != nil {
		return err
	}
	g.prompt = prompt
	if g.served, err = h.serve(g.Model); err != nil {
		return err
	}
	g.seed = answerSeed(g.served, prompt)
	g.finish = "length"
	g.tokens = max(g.MaxTokens, g.MaxCompletion)
	if g.tokens <= 0 {
		g.tokens = ownTokens(g.seed)
		g.finish = "stop"
	}
	g.resumed, err = resumedTokens(g.seed, g.ResumeText)
	g.resumed = min(g.resumed, g.tokens)
	return err
}

func refuseCall(w http.ResponseWriter, err error) {
	if errors.Is(err, errNoModel) {
		writeError(w, http.StatusNotFound, "model_not_found", err.Error(), "no")
		return
	}
	writeError(w, http.StatusBadRequest, "invalid_request", err.Error(), "no")
}

// refuseBusy answers a request that never got a slot.
func (e *Engine) refuseBusy(w http.ResponseWriter, g *run, err error) {
	state := StateRefused
	switch {
	case errors.Is(err, errCrashed):
		state = StateCrashed
	case errors.Is(err, errGone), errors.Is(err, errCancelled):
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

// answer prefills and generates in a slot.
func (e *Engine) answer(ctx context.Context, l *life, w http.ResponseWriter, g *run) {
	use, err := e.prefill(ctx, l, g)
	out := newWriter(w, g, e.settings.TokenTime > 0, e.faults.takeCross())
	if err == nil {
		err = e.generate(ctx, l, out, g)
	}
	e.end(g, err)
	switch {
	case err == nil:
		out.finish(use)
	case errors.Is(err, errCancelled):
		out.cancelled()
	default:
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) prefill(ctx context.Context, l *life, g *run) (usage, error) {
	blocks := chain(g.CacheSalt, g.served, g.prompt, e.settings.BlockTokens)
	cached, stale := l.cache.match(blocks)
	prompt := promptTokens(g.prompt)
	computed := prompt - cached + g.resumed
	e.journal.update(g.entry, func(n *Entry) {
		n.State = StateRunning
		n.Ran = true
		n.Cached = cached
		n.Stale = stale
		n.Computed = computed
	})
	if e.faults.poisons(g.prompt) {
		e.Crash(0)
	}
	if err := e.sleepUntil(ctx, l.batch.prefill(computed)); err != nil {
		return usage{}, err
	}
	l.cache.store(blocks)
	return usage{
		PromptTokens:     prompt,
		CompletionTokens: g.tokens,
		TotalTokens:      prompt + g.tokens,
		PromptDetails:    promptDetails{CachedTokens: cached},
	}, nil
}

func (e *Engine) generate(ctx context.Context, l *life, out *writer, g *run) error {
	due := e.clock.Now()
	for i := g.resumed; i < g.tokens; i++ {
		if i > g.resumed {
			due = due.Add(l.batch.tokenTime())
		}
		if err := e.sleepUntil(ctx, due); err != nil {
			return err
		}
		out.token(token(g.seed, i))
		e.journal.update(g.entry, func(n *Entry) { n.Output++ })
	}
	if e.settings.EndTime <= 0 {
		return nil
	}
	return e.sleepUntil(ctx, e.clock.Now().Add(e.settings.EndTime))
}

func (e *Engine) end(g *run, err error) {
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

// sleepUntil waits for a moment, for the end of a freeze, or for the end of ctx
// and then returns its cause.
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
	return e.faults.wait(ctx)
}

func promptTokens(prompt []byte) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// answerID is the id in the answer's JSON.
func answerID(chat bool, id string) string {
	if chat {
		return "chatcmpl-" + id
	}
	return "cmpl-" + strings.TrimSpace(id)
}
