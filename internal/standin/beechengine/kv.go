package beechengine

import (
	"encoding/json"
	"net/http"
)

type (
	// ExportRequest is the body of POST /kv/export. Prompt is a request's body.
	ExportRequest struct {
		Salt   string          `json:"salt"`
		Prompt json.RawMessage `json:"prompt"`
	}

	// CacheBlocks is what an export gives and an import takes.
	CacheBlocks struct {
		Salt   string  `json:"salt"`
		Blocks []block `json:"blocks"`
	}

	// ImportResult is the answer to POST /kv/import.
	ImportResult struct {
		Tokens int `json:"tokens"`
	}
)

func (e *Engine) serveExport(l *life, w http.ResponseWriter, r *http.Request) {
	var x ExportRequest
	if !readJSON(w, r, &x) {
		return
	}
	prompt, err := Prompt(x.Prompt)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed_prompt", err.Error(), "no")
		return
	}
	held := l.cache.held(chain(x.Salt, "", prompt, e.settings.BlockTokens))
	for i := range held {
		held[i].Fill = make([]byte, e.settings.BlockBytes)
	}
	writeJSON(w, http.StatusOK, CacheBlocks{Salt: x.Salt, Blocks: held})
}

// serveImport takes blocks under the salt they were exported from. It believes
// what the blocks say of their weights, and counts them as stale when other
// weights use them.
func (e *Engine) serveImport(l *life, w http.ResponseWriter, r *http.Request) {
	var b CacheBlocks
	if !readJSON(w, r, &b) {
		return
	}
	salt := r.URL.Query().Get("salt")
	if salt != b.Salt {
		writeError(w, http.StatusBadRequest, "other_salt", "the blocks belong to another salt", "no")
		return
	}
	tokens := 0
	for i := range b.Blocks {
		b.Blocks[i].salt = salt
		b.Blocks[i].Fill = nil
		tokens = max(tokens, b.Blocks[i].Tokens)
	}
	l.cache.store(b.Blocks)
	writeJSON(w, http.StatusOK, ImportResult{Tokens: tokens})
}
