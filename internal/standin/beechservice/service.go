package beechservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// Defaults of the Settings fields that are zero.
const (
	DefaultJournalLimit = 1 << 17
	DefaultCrashPause   = 200 * time.Millisecond
)

const (
	requestHeader = "X-Request-Id"
	ranHeader     = "X-Ran"
	maxBody       = 16 << 20
)

// Faults that POST /standin/fault can inject.
const (
	FaultCrash     FaultKind = "crash"      // close all connections, restart after PauseMillis
	FaultFreeze    FaultKind = "freeze"     // stop answering for PauseMillis, or until FaultThaw if it is 0
	FaultThaw      FaultKind = "thaw"       // end a freeze
	FaultDropReply FaultKind = "drop_reply" // run the next Count requests and close their connections without a reply
	FaultBusy      FaultKind = "busy"       // reject the next Count requests with status 503 and the header X-Ran: no
)

type (
	// Settings configures a service. Zero fields without a default disable what
	// they describe.
	Settings struct {
		Delay        time.Duration // time between running a request and its reply
		CrashPause   time.Duration // downtime after a crash
		JournalLimit int           // number of runs retained; the oldest are dropped first
		Journal      io.Writer     // also receives each run as a JSON line before its reply
	}

	// FaultKind is the type of a fault.
	FaultKind string

	// Fault is the body of POST /standin/fault.
	Fault struct {
		Kind        FaultKind `json:"kind"`
		PauseMillis int64     `json:"pause_millis,omitempty"`
		Count       int       `json:"count,omitempty"`
	}

	// Run records a request that ran.
	Run struct {
		RequestID string    `json:"request_id"`
		Method    string    `json:"method"`
		Path      string    `json:"path"`
		BodyHash  string    `json:"body_hash"`
		At        time.Time `json:"at"`
	}

	// Journal is the reply to GET /journal. PerRequestID and PerBody count the
	// runs of each request ID and each body hash, including those dropped from
	// Runs because the journal was full. Dropped is the number of the latter.
	Journal struct {
		Runs         []Run          `json:"runs"`
		PerRequestID map[string]int `json:"per_request_id"`
		PerBody      map[string]int `json:"per_body"`
		Dropped      int            `json:"dropped"`
	}

	// Receipt is the reply to a request that ran.
	Receipt struct {
		RequestID string `json:"request_id"`
		Number    int    `json:"number"` // number of this run, from 1
		BodyHash  string `json:"body_hash"`
	}

	// Service simulates a plain service. Use New to create one.
	Service struct {
		settings Settings
		clock    clockwork.Clock

		mu        sync.Mutex
		runs      []Run
		perID     map[string]int
		perBody   map[string]int
		dropped   int
		number    int
		down      bool
		crashed   chan struct{} // closed when the service crashes
		frozen    chan struct{} // nil unless frozen
		dropReply int
		busy      int
	}
)

// New returns a service that is ready to serve.
func New(s Settings, clock clockwork.Clock) *Service {
	if s.JournalLimit <= 0 {
		s.JournalLimit = DefaultJournalLimit
	}
	if s.CrashPause <= 0 {
		s.CrashPause = DefaultCrashPause
	}
	return &Service{
		settings: s,
		clock:    clock,
		perID:    map[string]int{},
		perBody:  map[string]int{},
		crashed:  make(chan struct{}),
	}
}

// BodyHash returns the hash that identifies a body in the journal.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Handler returns the handler of the service's HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveRun)
	mux.HandleFunc("POST /shipments", s.serveRun)
	mux.HandleFunc("/anything", s.serveRun)
	mux.HandleFunc("/anything/{rest...}", s.serveRun)
	mux.HandleFunc("GET /ready", s.serveReady)
	mux.HandleFunc("GET /journal", s.serveJournal)
	mux.HandleFunc("POST /standin/fault", s.serveFault)
	return mux
}

// Journal returns a snapshot of the journal.
func (s *Service) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := Journal{
		Runs:         append([]Run{}, s.runs...),
		PerRequestID: make(map[string]int, len(s.perID)),
		PerBody:      make(map[string]int, len(s.perBody)),
		Dropped:      s.dropped,
	}
	for id, n := range s.perID {
		j.PerRequestID[id] = n
	}
	for body, n := range s.perBody {
		j.PerBody[body] = n
	}
	return j
}

func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	crashed := s.waitUntilAvailable(r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		w.Header().Set(ranHeader, "no")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.consume(&s.busy) {
		w.Header().Set(ranHeader, "no")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	receipt := s.record(r, body)
	s.delay(r, crashed)
	if s.consume(&s.dropReply) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(requestHeader, receipt.RequestID)
	writeJSON(w, receipt)
}

// waitUntilAvailable blocks while the service is frozen. It closes the
// connection if the service is down. The returned channel is closed when the
// service crashes.
func (s *Service) waitUntilAvailable(r *http.Request) (crashed <-chan struct{}) {
	s.mu.Lock()
	frozen, down, crashed := s.frozen, s.down, s.crashed
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if frozen == nil {
		return crashed
	}
	select {
	case <-frozen:
		return crashed
	case <-crashed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) record(r *http.Request, body []byte) Receipt {
	run := Run{
		RequestID: r.Header.Get(requestHeader),
		Method:    r.Method,
		Path:      r.URL.Path,
		BodyHash:  BodyHash(body),
		At:        s.clock.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.perID[run.RequestID]++
	s.perBody[run.BodyHash]++
	if len(s.runs) >= 2*s.settings.JournalLimit {
		gone := len(s.runs) - s.settings.JournalLimit
		s.runs = append([]Run(nil), s.runs[gone:]...)
		s.dropped += gone
	}
	s.runs = append(s.runs, run)
	if s.settings.Journal != nil {
		line, _ := json.Marshal(run)
		s.settings.Journal.Write(append(line, '\n'))
	}
	return Receipt{RequestID: run.RequestID, Number: s.number, BodyHash: run.BodyHash}
}

func (s *Service) delay(r *http.Request, crashed <-chan struct{}) {
	if s.settings.Delay <= 0 {
		return
	}
	t := s.clock.NewTimer(s.settings.Delay)
	defer t.Stop()
	select {
	case <-t.Chan():
		return
	case <-crashed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) consume(count *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// serveReady replies once the service accepts requests.
func (s *Service) serveReady(w http.ResponseWriter, r *http.Request) {
	s.waitUntilAvailable(r)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveJournal(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Journal())
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}
