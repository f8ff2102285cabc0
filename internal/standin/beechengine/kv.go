package beechengine

import (
	"encoding/json"
	"net/http"
)

type (
	// ExportRequest is the body of POST /kv/export. Prompt is a complete request
	// body, as Prompt takes it.
	ExportRequest struct {
		Salt   string          `json:"salt"`
		Prompt json.RawMessage `json:"prompt"`
	}

	// CacheBlocks is the reply to POST /kv/export and the body of POST
	// /kv/import.
	CacheBlocks struct {
		Salt   string  `json:"salt"`
		Blocks []block `json:"blocks"`
	}

	// ImportResult is the reply to POST /kv/import.
	ImportResult struct {
		Tokens int `json:"tokens"`
	}
)

func (e *Engine) serveExport(inst *instance, w http.ResponseWriter, r *http.Request) {
	var x ExportRequest
	if !readJSON(w, r, &x) {
		return
	}
	prompt, err := Prompt(x.Prompt)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed_prompt", err.Error(), "no")
		return
	}
	held := inst.cache.lookup(chainBlocks(x.Salt, "", prompt, e.settings.BlockTokens))
	for i := range held {
		held[i].Fill = make([]byte, e.settings.BlockBytes)
	}
	writeJSON(w, http.StatusOK, CacheBlocks{Salt: x.Salt, Blocks: held})
}

// serveImport stores blocks under the salt they were exported with. It trusts
// the model recorded in each block; prompts of other weights that match such a
// block count it as stale.
func (e *Engine) serveImport(inst *instance, w http.ResponseWriter, r *http.Request) {
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
	inst.cache.store(b.Blocks)
	writeJSON(w, http.StatusOK, ImportResult{Tokens: tokens})
}
