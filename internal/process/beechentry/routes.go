package beechentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechending"
	"github.com/beechring/beechring/internal/prompt/beechprefix"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

type (
	// modelList and modelObject are the response formats of OpenAI's GET
	// /v1/models.
	modelList struct {
		Object string        `json:"object"`
		Data   []modelObject `json:"data"`
	}

	modelObject struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
)

// Request headers and their limits.
const (
	headerIdempotency       = "Idempotency-Key"
	headerLastEvent         = "Last-Event-ID"
	headerTimeout           = "X-Request-Timeout-Ms" // how long the caller will wait, in milliseconds
	headerRequestID         = "X-Request-Id"
	maxIdempotencyKeyLength = 255
	maxTimeout              = 30 * time.Minute
	servicesPath            = "/v1/services/"
	modelOwner              = "beechring"
)

func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+beechprefix.PathChat, e.limitOpenRequests(e.serveCompletion))
	mux.HandleFunc("POST "+beechprefix.PathCompletions, e.limitOpenRequests(e.serveCompletion))
	mux.HandleFunc("GET /v1/models", e.limitOpenRequests(e.serveModels))
	mux.HandleFunc("GET /v1/models/{model}", e.limitOpenRequests(e.serveModel))
	mux.HandleFunc(servicesPath+"{name}/{rest...}", e.limitOpenRequests(e.serveService))
	mux.HandleFunc("/", e.limitOpenRequests(func(w *beechending.Request, r *http.Request) {
		e.refuse(w, r, notRun(http.StatusNotFound, typeNotFound, "unknown_path", "no such path: %s %s", r.Method, r.URL.Path))
	}))
	return mux
}

// announceDrain tells callers with each response that their connections will be closed, once the
// entry drains.
func (e *Entry) announceDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// limitOpenRequests refuses requests beyond the host's limit of concurrent
// requests, and records how the others end.
func (e *Entry) limitOpenRequests(next func(w *beechending.Request, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request := e.door.Begin(w, r)
		defer request.End()
		e.counters.Requests.Add(1)
		defer e.openRequests.Add(-1)
		if e.openRequests.Add(1) > int64(e.settings.Limits.Streams) {
			e.counters.Overloaded.Add(1)
			e.refuse(request, r, retryLater(http.StatusServiceUnavailable, "entry_full", time.Second, "this entry host has all the requests it can hold"))
			return
		}
		next(request, r)
	}
}

// requestReader parses and validates an HTTP request into a job.
type requestReader func(w *beechending.Request, r *http.Request, c *beechmanifest.Configuration, workspace *beechmanifest.Workspace) (*job, *failure)

// serve authenticates, parses and runs a request.
func (e *Entry) serve(w *beechending.Request, r *http.Request, read requestReader) {
	began := e.clock.Now()
	if f := e.refuseStopping(r); f != nil {
		e.refuse(w, r, f)
		return
	}
	waited := e.awaitConfiguration(r)
	configuration, workspace, f := e.authenticate(r)
	if f != nil {
		e.refuse(w, r, f)
		return
	}
	w.Version = configuration.Generation
	j, f := read(w, r, configuration, workspace)
	if f != nil {
		e.observeRefusal(workspace.Name, f)
		e.refuse(w, r, f)
		return
	}
	defer j.held.Release()
	if f := e.refuseStopping(r); f != nil { // the body took a while
		e.refuse(w, r, f)
		return
	}
	w.ID, w.Route = j.request.ID, j.target()
	j.startedAt = began
	j.shortenTimeout(waited)
	e.admitAndRun(w, r, j)
}

// authenticate looks up the workspace of the bearer key in the current
// configuration.
func (e *Entry) authenticate(r *http.Request) (*beechmanifest.Configuration, *beechmanifest.Workspace, *failure) {
	configuration := e.holder.Current()
	if configuration == nil {
		e.counters.Unconfigured.Add(1)
		return nil, nil, retryLater(http.StatusServiceUnavailable, codeNoConfiguration, time.Second, "no configuration is in force yet")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, nil, notRun(http.StatusUnauthorized, typeKey, "missing_key", "give the workspace's key as Authorization: Bearer KEY")
	}
	workspace, known := configuration.WorkspaceByKey(strings.TrimSpace(key))
	if !known {
		return nil, nil, notRun(http.StatusUnauthorized, typeKey, "invalid_api_key", "the key is not one of any workspace")
	}
	return configuration, workspace, nil
}

// callerDeadline returns how long the caller will wait; 0 means no deadline.
func callerDeadline(r *http.Request) (time.Duration, *failure) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
		return 0, notRun(http.StatusBadRequest, typeInvalid, "invalid_timeout",
			"%s must be a number of milliseconds from 1 to %d", headerTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func idempotencyKey(r *http.Request) (string, *failure) {
	key := r.Header.Get(headerIdempotency)
	if len(key) > maxIdempotencyKeyLength {
		return "", notRun(http.StatusBadRequest, typeInvalid, "invalid_idempotency_key",
			"%s is longer than %d characters", headerIdempotency, maxIdempotencyKeyLength)
	}
	return key, nil
}

func (e *Entry) serveModels(w *beechending.Request, r *http.Request) {
	e.awaitConfiguration(r)
	configuration, workspace, f := e.authenticate(r)
	if f != nil {
		e.refuse(w, r, f)
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, m := range configuration.Manifest.Models {
		if workspace.AllowsModel(m.Name) {
			list.Data = append(list.Data, modelObject{ID: m.Name, Object: "model", OwnedBy: modelOwner})
		}
	}
	writeJSON(w, list)
}

func (e *Entry) serveModel(w *beechending.Request, r *http.Request) {
	e.awaitConfiguration(r)
	configuration, workspace, f := e.authenticate(r)
	if f != nil {
		e.refuse(w, r, f)
		return
	}
	name := r.PathValue("model")
	if _, known := configuration.Model(name); !known || !workspace.AllowsModel(name) {
		e.refuse(w, r, unknownModel(name))
		return
	}
	writeJSON(w, modelObject{ID: name, Object: "model", OwnedBy: modelOwner})
}

func unknownModel(name string) *failure {
	f := notRun(http.StatusNotFound, typeNotFound, "model_not_found", "the model %q does not exist or this workspace may not use it", name)
	f.Param = "model"
	return f
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// parseRan maps any value but the known ones to unknown.
func parseRan(text string) string {
	switch text {
	case beechwire.RanNo, beechwire.RanYes:
		return text
	default:
		return beechwire.RanUnknown
	}
}
