package beechengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// Limits of request bodies and of the events in one reply.
const (
	maxBody   = 64 << 20
	maxEvents = 4096
)

type (
	// CacheEvents is the reply to GET /cache/events.
	CacheEvents struct {
		Incarnation uint64       `json:"incarnation"`
		Events      []CacheEvent `json:"events"`
	}

	errorDetail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
		Ran     string `json:"ran"`
	}

	errorBody struct {
		Error errorDetail `json:"error"`
	}

	modelItem struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}

	modelList struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}
)

// Handler returns the handler of the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.withInstance(e.serveChat))
	mux.HandleFunc("POST /v1/completions", e.withInstance(e.serveCompletion))
	mux.HandleFunc("GET /v1/models", e.withInstance(e.serveModels))
	mux.HandleFunc("GET /cache/events", e.withInstance(e.serveEvents))
	mux.HandleFunc("GET /load", e.withInstance(e.serveLoad))
	mux.HandleFunc("POST /cancel/{id}", e.withInstance(e.serveCancel))
	mux.HandleFunc("POST /orders", e.withInstance(e.serveOrder))
	mux.HandleFunc("POST /kv/export", e.withInstance(e.serveExport))
	mux.HandleFunc("POST /kv/import", e.withInstance(e.serveImport))
	mux.HandleFunc("GET /journal", e.serveJournal)
	mux.HandleFunc("POST /standin/fault", e.serveFault)
	return mux
}

func (e *Engine) serveModels(inst *instance, w http.ResponseWriter, _ *http.Request) {
	var r LoadReport
	inst.models.describe(&r)
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range r.Models {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: "standin"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) serveEvents(inst *instance, w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, http.StatusOK, CacheEvents{Incarnation: inst.incarnation, Events: inst.cache.eventsAfter(after, maxEvents)})
}

func (e *Engine) serveLoad(inst *instance, w http.ResponseWriter, _ *http.Request) {
	report := LoadReport{
		Incarnation: inst.incarnation,
		Slots:       e.settings.Slots,
		PrefillRate: e.settings.PrefillRate,
		TokenTime:   e.settings.TokenTime,
	}
	report.Running, report.Waiting = inst.loads.report()
	inst.models.describe(&report)
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveCancel(inst *instance, w http.ResponseWriter, r *http.Request) {
	if inst.cancelRequest(r.PathValue("id")) == 0 {
		writeError(w, http.StatusNotFound, "unknown_request", "no such request is running", "no")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(inst *instance, w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	err := inst.models.apply(o)
	e.journal.recordOrder(OrderEntry{Order: o, Accepted: err == nil, Incarnation: inst.incarnation, At: e.clock.Now()})
	if err != nil {
		writeError(w, http.StatusConflict, "old_fencing_number", err.Error(), "no")
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveJournal(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Journal())
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	if !e.Inject(f) {
		writeError(w, http.StatusBadRequest, "unknown_fault", "no such fault: "+string(f.Kind), "no")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "unreadable_body", err.Error(), "no")
		return nil, false
	}
	return body, true
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, into); err != nil {
		writeError(w, http.StatusBadRequest, "malformed_json", err.Error(), "no")
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func writeError(w http.ResponseWriter, status int, code, message, ran string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Message: message, Type: "engine_error", Code: code, Ran: ran}})
}
