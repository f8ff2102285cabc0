package beechsimulator

import (
	"context"
	"net/http"
	"time"
)

type (
	// Silence is a period in which an engine wrote nothing.
	Silence struct {
		From, Until time.Time
	}

	// silentWriter holds back what is written while the engine is silent.
	silentWriter struct {
		http.ResponseWriter
		engine *Engine
		ctx    context.Context // of the request
	}
)

// FallSilent has the engine write nothing for a time and then go on: responses, reports and the ends
// of streams are held back. Connections stay open and are accepted, and requests that arrive meanwhile
// begin to run. A silence that has begun may become longer, not shorter.
func (e *Engine) FallSilent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	until := now.Add(d)
	if last := len(e.silences) - 1; last >= 0 && e.silences[last].Until.After(now) {
		if until.After(e.silences[last].Until) {
			e.silences[last].Until = until
		}
		return
	}
	e.silences = append(e.silences, Silence{From: now, Until: until})
}

// Silences returns the engine's silences in the order of their beginning.
func (e *Engine) Silences() []Silence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Silence(nil), e.silences...)
}

// waitWhileSilent blocks until the engine's silence is over or the context ends.
func (e *Engine) waitWhileSilent(ctx context.Context) {
	for {
		e.mu.Lock()
		left := time.Duration(0)
		if last := len(e.silences) - 1; last >= 0 {
			left = time.Until(e.silences[last].Until)
		}
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		t := time.NewTimer(left)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

func (w *silentWriter) Write(data []byte) (int, error) {
	w.engine.waitWhileSilent(w.ctx)
	return w.ResponseWriter.Write(data)
}

// FlushError makes flushes wait too, as called by http.ResponseController.
func (w *silentWriter) FlushError() error {
	w.engine.waitWhileSilent(w.ctx)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *silentWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
