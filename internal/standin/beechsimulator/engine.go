package beechsimulator

import (
	"cmp"
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
	// EngineSettings describe an engine, or a server without a model if Model is
	// empty.
	EngineSettings struct {
		ID       string
		Model    string
		Models   []string // served beside Model
		Version  uint64   // of all models
		Slots    int
		Token    time.Duration // duration of each event of a stream
		ReadRate float64       // prompt tokens per millisecond; 0 takes no time
		Load     time.Duration // duration of loading new weights
		Software string        // version of its software, which marks each event; empty: v1, without marks
		Slowness int           // of its host in percent, which each response tells; 0: it does not
		// CheckFence has the engine refuse orders under a lower fencing number than one seen before.
		CheckFence bool
	}

	// Engine simulates an engine. It is safe for concurrent use.
	Engine struct {
		settings EngineSettings

		mu            sync.Mutex
		versions      map[string]uint64 // by model
		fence         uint64            // highest of the orders seen
		busy          bool
		sequence      uint64
		running       int
		streams       int            // begun so far
		streamPaths   map[string]int // the same by path
		runs          map[string]int
		active        map[string]int         // running now, by request
		endedAt       map[string]time.Time   // when a request's last run ended
		begunAt       map[string]time.Time   // when a request ran last
		lastHeaders   map[string]http.Header // headers of the last run, by request id
		cached        map[string]int         // tokens by "salt|part"
		events        [][]any
		prefillTokens int
		faults        EngineFaults
		orders        []Order
		limit         string // Server-Limit of each response; empty is none
		leaving       bool   // each response says so
		born          int64  // start in Unix milliseconds; 0 is not reported
		restarts      int
		cutOffUntil   time.Time // until then it does not notice that connections have closed
		arrivals      []time.Time
		lasting       EngineFaults           // those of CrashPart, Ending, Endless and Twice that SetFaults leaves as they are
		partArrivals  map[string][]time.Time // of requests by shared prompt part
		crashes       []time.Time
		onCrash       func(down time.Duration) // ends all connections, and accepts none for a time
		copies        copies
		silences      []Silence
		endlessBytes  int64
		endlessCalls  endlessCalls
		answers       int // begun
		copiesSent    int // of earlier answers
		asked         int // requests that began to run
	}

	// EngineFaults are the faults that an engine simulates.
	EngineFaults struct {
		Refuse         bool          // every request is refused as not executed
		RetryAfter     string        // Retry-After of refusals and of responses with Status; empty is none
		Hang           bool          // requests run and get no response
		Drop           bool          // requests run and the connection is reset
		CutAfter       int           // number of events after which a stream is cut; 0 is never
		CutEvery       int           // of how many streams one is cut; 0 is all
		Status         int           // status of every response; 0 for the normal 200
		Twice          int           // of how many responses one follows a copy of an earlier one of its connection; 0: none
		Foreign        string        // another request's id, returned in responses
		Encoding       string        // Content-Encoding of responses, as some proxies add one
		SilentOrders   bool          // orders get no response and are not carried out
		UnknownVersion uint64        // orders for this version are refused as not announced; 0: none
		CrashPart      string        // shared prompt part on which the engine crashes before it responds; empty is none
		CrashDelay     time.Duration // from the first event of such a response to the crash; 0: it has none
		Ending         Ending        // how responses end
		Endless        Endless       // form of bytes that are sent without end instead of a response; empty is none
		EndlessEvery   int           // of how many requests one gets them; 0 is all
		EndlessRate    int           // bytes a second; 0: as fast as they are read
	}

	// Ending is how the end of a response is marked.
	Ending int

	// Order is an order that an engine received.
	Order struct {
		Model    string `json:"model"`
		Version  uint64 `json:"version"`
		Mode     string `json:"mode"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fencingToken"`
		Expected uint64 `json:"expected"`

		Status int       `json:"-"` // of the response; 0: none
		At     time.Time `json:"-"`
	}
)

// The endings of responses.
const (
	Framed        Ending = iota // by a length or the last chunk
	Unframed                    // by the end of the connection
	UnframedBreak               // an unframed stream ends inside an event
)

// crashDowntime is the time until a crashed engine accepts connections again.
const crashDowntime = 3 * time.Second

const (
	headerAttemptID     = "Beechring-Attempt-Id"
	headerNotExecuted   = "Beechring-Not-Executed"
	headerSeal          = "Beechring-Response-Seal"
	headerInstanceID    = "Beechring-Instance-Id"
	headerWeightVersion = "Beechring-Weight-Versions"
	headerLoad          = "Beechring-Server-Load"
	headerLimit         = "Server-Limit"
	headerLeaving       = "Server-Leaving"
	headerTokenUsage    = "Beechring-Token-Usage"
	eventPollInterval   = 10 * time.Millisecond
	defaultSlots        = 8
)

// NewEngine returns an engine with an empty cache.
func NewEngine(s EngineSettings) *Engine {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	versions := make(map[string]uint64)
	for _, model := range s.models() {
		versions[model] = s.Version
	}
	return &Engine{
		settings: s, versions: versions, runs: make(map[string]int), active: make(map[string]int), begunAt: make(map[string]time.Time), endedAt: make(map[string]time.Time), lastHeaders: make(map[string]http.Header), cached: make(map[string]int),
		streamPaths: make(map[string]int), partArrivals: make(map[string][]time.Time), onCrash: func(time.Duration) {}, copies: newCopies(),
		endlessCalls: endlessCalls{set: make(map[string]EndlessCall), sent: make(map[string]int)},
	}
}

// models returns the names of all models.
func (s EngineSettings) models() []string {
	if s.Model == "" {
		return nil
	}
	return append([]string{s.Model}, s.Models...)
}

// OnCrash sets the function that ends all connections at a crash.
func (e *Engine) OnCrash(crash func(down time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onCrash = crash
}

// Crash ends all connections and running requests. The engine is back after some seconds, with an
// empty cache.
func (e *Engine) Crash() { e.crashFor(crashDowntime) }

// CrashAndReturn simulates a crash after which the engine is back at its address before anybody looks.
func (e *Engine) CrashAndReturn() { e.crashFor(0) }

func (e *Engine) crashFor(downtime time.Duration) {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	crash := e.onCrash
	e.mu.Unlock()
	e.Restart()
	crash(downtime)
}

// CutOff has the engine not notice for a time that connections have closed, as behind a partition: its streams run on.
func (e *Engine) CutOff(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutOffUntil = time.Now().Add(d)
}

// runsOn reports whether a stream of a lifetime goes on though its connection has closed.
func (e *Engine) runsOn(restarts int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restarts == restarts && time.Now().Before(e.cutOffUntil)
}

// Crashes returns the times at which the engine crashed.
func (e *Engine) Crashes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.crashes...)
}

// Streams returns how many streams have begun on a path.
func (e *Engine) Streams(path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streamPaths[path]
}

// PartArrivals returns the times at which requests arrived whose prompts share a part.
func (e *Engine) PartArrivals(part string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.partArrivals[part]...)
}

// sharedParts returns the IDs of a request's prompt parts but the last.
func sharedParts(r *http.Request) []string {
	fields := strings.Split(r.Header.Get("Beechring-Prompt-Prefix"), ",")
	var ids []string
	for _, field := range fields[:len(fields)-1] {
		id, _, _ := strings.Cut(field, ":")
		ids = append(ids, id)
	}
	return ids
}

// Runs returns how often a request ran on this engine.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// BegunAt returns when a request ran last on this engine, or the zero time.
func (e *Engine) BegunAt(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begunAt[id]
}

// EndedAt returns when a request's last run on this engine ended, or the zero time if it has not
// run or runs still.
func (e *Engine) EndedAt(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ended := e.endedAt[id]; ended.After(e.begunAt[id]) {
		return ended
	}
	return time.Time{}
}

// AllRuns returns the number of runs of each request, by id.
func (e *Engine) AllRuns() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		all[id] = n
	}
	return all
}

// RequestHeader returns the headers of the last run of a request, or nil.
func (e *Engine) RequestHeader(id string) http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastHeaders[id]
}

// Running returns the number of requests that are running.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Version returns the version of the loaded weights of the first model.
func (e *Engine) Version() uint64 { return e.VersionOf(e.settings.Model) }

// VersionOf returns the version of the loaded weights of a model.
func (e *Engine) VersionOf(model string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}

// Orders returns the orders that the engine received.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// PrefillTokens returns the number of prompt tokens that were not cached and had to be
// processed.
func (e *Engine) PrefillTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefillTokens
}

// SetLimit sets the rate limit that each response names from now on, exactly as given;
// empty for none.
func (e *Engine) SetLimit(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = text
}

// SetLeaving has each response say from now on whether the engine is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Arrivals returns the times at which requests arrived, including refused ones.
func (e *Engine) Arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.arrivals...)
}

// MaxArrivals returns the largest number of requests in a window of the given length
// that ends after from and not after until. Requests before since are not counted.
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

// Restart simulates a restart under the same ID: the cache, the limit and the sequence
// of orders are lost.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born = time.Now().UnixMilli()
	e.restarts++
	e.limit, e.sequence, e.fence, e.busy, e.leaving = "", 0, 0, false, false
	clear(e.cached)
	clear(e.copies.kept)
	e.events = nil
}

// RestartWith simulates a restart under the same ID with another version of the software. The
// entry in the store is not written.
func (e *Engine) RestartWith(software string) {
	e.Restart()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.Software = software
}

// Born returns the start of the engine's lifetime in Unix milliseconds; 0 is not reported.
func (e *Engine) Born() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born
}

// Software returns the version of the software that the engine writes into its entry.
func (e *Engine) Software() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return cmp.Or(e.settings.Software, "v1")
}

// SetFaults replaces the simulated faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLasting sets a crashing part and an ending of responses that apply besides the faults.
func (e *Engine) SetLasting(crashPart string, ending Ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lasting.CrashPart, e.lasting.Ending = crashPart, ending
}

// SetEndless has one of so many requests get bytes without end in a form, at so many bytes a second, besides the
// faults. An empty form ends it.
func (e *Engine) SetEndless(form Endless, every, rate int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lasting.Endless, e.lasting.EndlessEvery, e.lasting.EndlessRate = form, every, rate
}

// ServeHTTP serves reports, orders and cache calls, and any other path as a caller's
// request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer e.waitWhileSilent(r.Context()) // what ends the response is written after this
	w = &silentWriter{ResponseWriter: w, engine: e, ctx: r.Context()}
	e.sendTwice(r)
	if e.sendEndlessCall(w, r) {
		return
	}
	e.mu.Lock()
	if e.leaving {
		w.Header().Set(headerLeaving, "1")
	}
	e.mu.Unlock()
	if id, ok := strings.CutPrefix(r.URL.Path, copyPath); ok && r.Method == http.MethodDelete {
		e.dropCopy(w, id)
		return
	}
	switch r.URL.Path {
	case CallReport:
		e.report(w)
	case CallOrder:
		e.order(w, r)
	case CallMove:
		e.copyRun(w, r)
	case CallEvents:
		e.cacheEvents(w, r)
	case CallList:
		e.cacheList(w)
	case healthPath:
		w.Header().Set(headerLoad, e.load())
	default:
		e.request(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	report := map[string]any{
		"stage": "colocated", "models": e.modelDocuments(), "busy": e.busy, "sequence": e.sequence,
		"waiting": 0, "running": e.running, "kvUsed": 0, "kvTotal": 100000, "handles": len(e.copies.kept),
	}
	if e.born > 0 {
		report["born"] = e.born
	}
	e.mu.Unlock()
	writeJSON(w, report)
}

// modelDocuments returns the models as reports and entries list them. The caller holds the lock.
func (e *Engine) modelDocuments() []Document {
	models := []Document{}
	for _, model := range e.settings.models() {
		models = append(models, Document{"name": model, "version": e.versions[model], "adapters": []string{}})
	}
	return models
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o.At = time.Now()
	if e.faults.SilentOrders {
		e.orders = append(e.orders, o)
		panic(http.ErrAbortHandler)
	}
	o.Status = e.answerOrder(o)
	e.orders = append(e.orders, o)
	e.fence = max(e.fence, o.Fence)
	if o.Status == http.StatusAccepted {
		e.busy = true
		e.sequence++
		time.AfterFunc(e.settings.Load, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy, e.versions[o.Model] = false, o.Version
			clear(e.cached)
			clear(e.copies.kept)
		})
	}
	w.WriteHeader(o.Status)
}

// answerOrder returns the status of the response to an order. The caller holds the lock.
func (e *Engine) answerOrder(o Order) int {
	version, serves := e.versions[o.Model]
	switch {
	case !serves || e.faults.UnknownVersion > 0 && o.Version == e.faults.UnknownVersion:
		return http.StatusBadRequest
	case e.settings.CheckFence && o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case version == o.Version:
		return http.StatusOK
	case e.busy || o.Expected != e.sequence:
		return http.StatusConflict
	}
	return http.StatusAccepted
}

// SetFence has the engine behave as if it had seen an order under a fencing number.
func (e *Engine) SetFence(number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fence = max(e.fence, number)
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
	events, next := [][]any{}, len(e.events)
	if since < next {
		events = e.events[since:]
	}
	e.mu.Unlock()
	writeJSON(w, map[string]any{"bootEpoch": 1, "next": next, "lost": false, "events": events})
}

// cacheList serves the content of the cache.
func (e *Engine) cacheList(w http.ResponseWriter) {
	e.mu.Lock()
	held, next := [][]any{}, len(e.events)
	for key, tokens := range e.cached {
		salt, part, _ := strings.Cut(key, "|")
		if tokens > 0 {
			held = append(held, []any{salt, part, tokens, e.settings.Model})
		}
	}
	e.mu.Unlock()
	writeJSON(w, map[string]any{"bootEpoch": 1, "next": next, "held": held})
}

func (e *Engine) hasEvents(since int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return since < len(e.events)
}

// Evict removes a part from the cache and adds the cache event.
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

// load returns the load that the engine tells with its responses.
func (e *Engine) load() string {
	load := fmt.Sprintf("%d,0,%d", e.Running(), e.settings.Slots)
	if e.settings.Slowness > 0 {
		load += fmt.Sprintf(",%d", e.settings.Slowness)
	}
	return load
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(headerAttemptID)
	w.Header().Set(headerAttemptID, id)
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	for _, part := range sharedParts(r) {
		e.partArrivals[part] = append(e.partArrivals[part], time.Now())
	}
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
		e.active[id]--
		e.endedAt[id] = time.Now()
		e.mu.Unlock()
	}()
	e.mu.Lock()
	if r.Header.Get(headerKVFrom) != "" {
		e.copies.continued[id] = time.Now()
	} else {
		e.runs[id]++
	}
	e.begunAt[id] = time.Now()
	e.active[id]++
	e.lastHeaders[id] = r.Header.Clone()
	faults, version := e.faults, e.versionFor(r)
	faults.CrashPart = cmp.Or(faults.CrashPart, e.lasting.CrashPart)
	faults.Ending = cmp.Or(faults.Ending, e.lasting.Ending)
	if faults.Endless == "" {
		faults.Endless, faults.EndlessEvery, faults.EndlessRate = e.lasting.Endless, e.lasting.EndlessEvery, e.lasting.EndlessRate
	}
	if e.asked++; faults.EndlessEvery > 0 && e.asked%faults.EndlessEvery != 0 {
		faults.Endless = ""
	}
	e.mu.Unlock()
	if form, rate, endless := e.nextEndless(CallRequest); endless {
		faults.Endless, faults.EndlessRate = form, rate
	}
	if faults.Foreign != "" {
		w.Header().Set(headerAttemptID, faults.Foreign)
	}
	if faults.Encoding != "" {
		w.Header().Set("Content-Encoding", faults.Encoding)
	}
	w.Header().Set(headerSeal, "seal."+id)
	w.Header().Set(headerLoad, e.load())
	switch {
	case faults.Endless != "":
		e.sendEndless(w, id, faults)
	case faults.Hang:
		<-r.Context().Done()
	case faults.Drop:
		panic(http.ErrAbortHandler)
	case faults.Status != 0:
		if faults.RetryAfter != "" {
			w.Header().Set("Retry-After", faults.RetryAfter)
		}
		w.WriteHeader(faults.Status)
	case e.settings.Model == "":
		end := e.beginUnframed(w, faults)
		_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.RequestURI(), len(body))
		end()
	default:
		w.Header().Set(headerWeightVersion, strconv.FormatUint(version, 10))
		e.prefill(r)
		end := e.beginUnframed(w, faults)
		if faults.CrashPart != "" && slices.Contains(sharedParts(r), faults.CrashPart) {
			w.Header().Set("Content-Type", "text/event-stream")
			if faults.CrashDelay > 0 {
				_, _ = io.WriteString(w, "id: 1\ndata: token 1\n\n")
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(faults.CrashDelay)
			e.Crash()
			panic(http.ErrAbortHandler)
		}
		e.stream(w, r, faults)
		end()
	}
}

// beginUnframed has the response end with its connection if the faults say so. The returned function
// ends it.
func (e *Engine) beginUnframed(w http.ResponseWriter, faults EngineFaults) func() {
	if faults.Ending == Framed {
		return func() {}
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Transfer-Encoding", "identity")
	return func() {
		if faults.Ending == UnframedBreak && e.HasModel() {
			_, _ = io.WriteString(w, "id: 1\ndata: to")
		}
	}
}

// admit refuses a request that is meant for another instance or version, or that finds
// no free slot.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	expectedInstance := r.Header.Get("Beechring-Expect-Instance")
	expectedVersion := r.Header.Get("Beechring-Expect-Version")
	switch {
	case expectedInstance != "" && expectedInstance != e.settings.ID:
		w.Header().Set(headerInstanceID, e.settings.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case expectedVersion != "" && expectedVersion != strconv.FormatUint(e.versionFor(r), 10):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.busy || e.faults.Refuse || e.running >= e.settings.Slots:
		w.Header().Set(headerNotExecuted, "1")
		if e.faults.RetryAfter != "" {
			w.Header().Set("Retry-After", e.faults.RetryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Header.Get(headerKVFrom) != "" && !e.takeCopy(r):
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		e.running++
		return true
	}
	return false
}

// prefill simulates the processing of the parts of the prompt that are not cached, and
// caches them.
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

// stream responds with events, starting after Last-Event-Id.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, faults EngineFaults) {
	_, maxOutput, _ := strings.Cut(r.Header.Get(headerTokenUsage), ",")
	count, _ := strconv.Atoi(maxOutput)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	e.mu.Lock()
	e.streams++
	e.streamPaths[r.URL.Path]++
	cut := faults.CutAfter > 0 && (faults.CutEvery == 0 || e.streams%faults.CutEvery == 0)
	mark := ""
	if e.settings.Software != "" {
		mark = " by " + e.settings.Software
	}
	restarts := e.restarts
	e.mu.Unlock()
	for i := from + 1; i <= count; i++ {
		if cut && i > from+faults.CutAfter {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d%s\n\n", i, i, mark); err != nil && !e.runsOn(restarts) {
			return
		}
		_ = control.Flush()
		next := time.After(e.settings.Token)
		select {
		case <-next:
		case <-r.Context().Done():
			if !e.runsOn(restarts) {
				return
			}
			<-next
		}
	}
}

// versionFor returns the version of the weights that a request runs on. The caller holds the lock.
func (e *Engine) versionFor(r *http.Request) uint64 {
	return e.versions[cmp.Or(r.Header.Get("Beechring-Model"), e.settings.Model)]
}

// HasModel reports whether the engine serves a model.
func (e *Engine) HasModel() bool { return e.settings.Model != "" }
