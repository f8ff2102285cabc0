package beechhome

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// EngineSettings describe an engine, or with no model a plain service.
	EngineSettings struct {
		ID       string
		Model    string
		Version  uint64
		Slots    int
		Token    time.Duration // for each event of a stream
		ReadRate float64       // prompt tokens in a millisecond; 0 reads at once
		Load     time.Duration // of new weights
	}

	// Engine runs requests. It is safe for concurrent use.
	Engine struct {
		settings EngineSettings

		mu            sync.Mutex
		version       uint64
		busy          bool
		sequence      uint64
		running       int
		runs          map[string]int
		seen          map[string]http.Header // headers of the last run of an id
		cached        map[string]int         // tokens by salt and part
		events        [][]any
		prefillTokens int
		trouble       EngineFaults
		orders        []Order
		limit         string // named with each answer; empty is none
		born          int64  // Unix milliseconds; 0 is not told
		arrivals      []time.Time
	}

	// EngineFaults is what is wrong with an engine.
	EngineFaults struct {
		Refuse       bool   // every request is turned away
		Hang         bool   // requests run and are never answered
		Drop         bool   // requests run and the connection is reset
		CutAfter     int    // a stream breaks off after so many events
		Status       int    // of every answer; 0 is 200
		Twice        bool   // each answer comes twice
		Foreign      string // another request's id in the answer
		Encoding     string // of the answer's body, as some proxies add one
		SilentOrders bool   // orders get no answer and are not carried out
	}

	// Order is an order that came in.
	Order struct {
		Model    string `json:"model"`
		Version  uint64 `json:"version"`
		Mode     string `json:"mode"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fencingToken"`
		Expected uint64 `json:"expected"`
	}
)

const (
	headerAttemptID     = "Beechring-Attempt-Id"
	headerNotExecuted   = "Beechring-Not-Executed"
	headerSeal          = "Beechring-Response-Seal"
	headerInstanceID    = "Beechring-Instance-Id"
	headerWeightVersion = "Beechring-Weight-Versions"
	headerLoad          = "Beechring-Server-Load"
	headerLimit         = "Server-Limit"
	headerTokenUsage    = "Beechring-Token-Usage"
	eventPollInterval   = 10 * time.Millisecond
	defaultSlots        = 8
)

// NewEngine returns an engine with nothing in its cache.
func NewEngine(s EngineSettings) *Engine {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	return &Engine{
		settings: s, version: s.Version, runs: make(map[string]int), seen: make(map[string]http.Header), cached: make(map[string]int),
	}
}

// Runs counts how often a request ran here.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// AllRuns counts the runs of each request.
func (e *Engine) AllRuns() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		all[id] = n
	}
	return all
}

// RequestHeader gives the headers with which a request came last.
func (e *Engine) RequestHeader(id string) http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[id]
}

// Running counts the requests at work.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Version is the version of the weights.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Orders gives the orders that came in.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// PrefillTokens counts the prompt tokens that were read.
func (e *Engine) PrefillTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefillTokens
}

// SetLimit has the engine name a limit with each answer from now on, as it is written;
// empty names none.
func (e *Engine) SetLimit(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = text
}

// Arrivals gives when requests came in, those that were turned away too.
func (e *Engine) Arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.arrivals...)
}

// MaxArrivals gives the largest number of requests that came since a time in a window
// which ends after from and not after until.
func (e *Engine) MaxArrivals(window time.Duration, since, from, until time.Time) int {
	arrivals := e.Arrivals()
	first, _ := slices.BinarySearchFunc(arrivals, since, time.Time.Compare)
	most := 0
	for i := first; i < len(arrivals); i++ {
		at := arrivals[i]
		for arrivals[first].Before(at.Add(-window)) {
			first++
		}
		if at.After(from) && !at.After(until) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Restart begins another lifetime under the engine's ID: what it held, named and was told
// is gone.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born = time.Now().UnixMilli()
	e.limit, e.sequence, e.busy = "", 0, false
	clear(e.cached)
	e.events = nil
}

// SetFaults changes what is wrong from now on.
func (e *Engine) SetFaults(t EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trouble = t
}

// ServeHTTP answers a request, a report, an order or a call for cache events.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/beechring/report":
		e.report(w)
	case "/beechring/order":
		e.order(w, r)
	case "/beechring/kv-events":
		e.cacheEvents(w, r)
	case "/beechring/kv-list":
		e.cacheList(w)
	default:
		e.request(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []map[string]any{}
	if e.settings.Model != "" {
		models = append(models, map[string]any{"name": e.settings.Model, "version": e.version, "adapters": []string{}})
	}
	report := map[string]any{
		"stage": "colocated", "models": models, "busy": e.busy, "sequence": e.sequence,
		"waiting": 0, "running": e.running, "kvUsed": 0, "kvTotal": 100000, "handles": 0,
	}
	if e.born > 0 {
		report["born"] = e.born
	}
	writeJSON(w, report)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	switch {
	case e.trouble.SilentOrders:
		panic(http.ErrAbortHandler)
	case e.version == o.Version:
		w.WriteHeader(http.StatusOK)
		return
	case e.busy || o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.busy = true
	e.sequence++
	time.AfterFunc(e.settings.Load, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy, e.version = false, o.Version
		clear(e.cached)
	})
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); time.Now().Before(end) && !e.hasEvents(since); {
		select {
		case <-time.After(eventPollInterval):
		case <-r.Context().Done():
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := [][]any{}
	if since < len(e.events) {
		events = e.events[since:]
	}
	writeJSON(w, map[string]any{"bootEpoch": 1, "next": len(e.events), "lost": false, "events": events})
}

// cacheList tells all that is cached now.
func (e *Engine) cacheList(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := [][]any{}
	for key, tokens := range e.cached {
		salt, part, _ := strings.Cut(key, "|")
		if tokens > 0 {
			held = append(held, []any{salt, part, tokens, e.settings.Model})
		}
	}
	writeJSON(w, map[string]any{"bootEpoch": 1, "next": len(e.events), "held": held})
}

func (e *Engine) hasEvents(since int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return since < len(e.events)
}

// Evict has the engine forget a part, and tell so.
func (e *Engine) Evict(salt, part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cached, salt+"|"+part)
	e.appendEvent("-", salt, part, 0)
}

// appendEvent adds a cache event. The caller holds the lock.
func (e *Engine) appendEvent(sign, salt, part string, tokens int) {
	e.events = append(e.events, []any{len(e.events) + 1, sign, salt, part, tokens, e.settings.Model})
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(headerAttemptID)
	w.Header().Set(headerAttemptID, id)
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	if e.limit != "" {
		w.Header().Set(headerLimit, e.limit)
	}
	e.mu.Unlock()
	if !e.admit(w, r) {
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.mu.Lock()
	e.runs[id]++
	e.seen[id] = r.Header.Clone()
	trouble, version := e.trouble, e.version
	e.mu.Unlock()
	if trouble.Foreign != "" {
		w.Header().Set(headerAttemptID, trouble.Foreign)
	}
	if trouble.Encoding != "" {
		w.Header().Set("Content-Encoding", trouble.Encoding)
	}
	w.Header().Set(headerSeal, "seal."+id)
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", e.Running(), e.settings.Slots))
	switch {
	case trouble.Hang:
		<-r.Context().Done()
	case trouble.Drop:
		panic(http.ErrAbortHandler)
	case trouble.Status != 0:
		w.WriteHeader(trouble.Status)
	case e.settings.Model == "":
		_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.RequestURI(), len(body))
	default:
		w.Header().Set(headerWeightVersion, strconv.FormatUint(version, 10))
		e.prefill(r)
		e.stream(w, r, trouble)
	}
}

// admit turns away what this engine may not or cannot run.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := r.Header.Get("Beechring-Expect-Instance")
	wants := r.Header.Get("Beechring-Expect-Version")
	switch {
	case other != "" && other != e.settings.ID:
		w.Header().Set(headerInstanceID, e.settings.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case wants != "" && wants != strconv.FormatUint(e.version, 10):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.busy || e.trouble.Refuse || e.running >= e.settings.Slots:
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		e.running++
		return true
	}
	return false
}

// prefill takes the time for the parts of the prompt that are not cached.
func (e *Engine) prefill(r *http.Request) {
	salt := r.Header.Get("Beechring-Cache-Salt")
	tokens := 0
	e.mu.Lock()
	for _, field := range strings.Split(r.Header.Get("Beechring-Prompt-Prefix"), ",") {
		part, size, _ := strings.Cut(field, ":")
		n, _ := strconv.Atoi(size)
		if e.cached[salt+"|"+part] == 0 {
			tokens += n
			e.cached[salt+"|"+part] = n
			e.appendEvent("+", salt, part, n)
		}
	}
	e.prefillTokens += tokens
	e.mu.Unlock()
	if e.settings.ReadRate > 0 {
		time.Sleep(time.Duration(float64(tokens) / e.settings.ReadRate * float64(time.Millisecond)))
	}
}

// stream answers in events, from the one after Last-Event-Id on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, trouble EngineFaults) {
	_, most, _ := strings.Cut(r.Header.Get(headerTokenUsage), ",")
	count, _ := strconv.Atoi(most)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := from + 1; i <= count; i++ {
		if trouble.CutAfter > 0 && i > from+trouble.CutAfter {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil {
			return
		}
		_ = control.Flush()
		select {
		case <-time.After(e.settings.Token):
		case <-r.Context().Done():
			return
		}
	}
}

// HasModel tells whether it is a model engine.
func (e *Engine) HasModel() bool { return e.settings.Model != "" }
