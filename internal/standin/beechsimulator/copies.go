package beechsimulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

type (
	// copies are the copies of other engines' runs that an engine keeps. The engine's lock guards
	// them.
	copies struct {
		kept      map[string]runCopy   // by handle
		continued map[string]time.Time // when a run went on here, by request
		peer      func(address string) *Engine
		refused   bool // none are accepted
	}

	runCopy struct {
		request string
		version uint64
		at      time.Time
	}

	moveRequest struct {
		ID string `json:"id"`
		To string `json:"to"`
	}
)

const (
	headerKVFrom = "Kv-From"
	copyPath     = "/beechring/kv-handle/"
	healthPath   = "/health" // of all services
	handlePrefix = "h-"
	// copyLifetime is how long a copy is kept that is neither used nor freed.
	copyLifetime = 5 * time.Second
)

func newCopies() copies {
	return copies{kept: make(map[string]runCopy), continued: make(map[string]time.Time), peer: func(string) *Engine { return nil }}
}

// SetPeers sets the function that finds the engine at an address, to which copies are sent. It
// returns nil if there is none.
func (e *Engine) SetPeers(peer func(address string) *Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies.peer = peer
}

// RefuseCopies sets whether the engine has no room for copies of other engines' runs.
func (e *Engine) RefuseCopies(refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies.refused = refuse
}

// Copies returns the number of copies that the engine keeps.
func (e *Engine) Copies() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireCopies()
	return len(e.copies.kept)
}

// ContinuedAt returns when a run went on at this engine, or the zero time.
func (e *Engine) ContinuedAt(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copies.continued[id]
}

// expireCopies drops the copies that were kept for too long. The caller holds the lock.
func (e *Engine) expireCopies() {
	for handle, kept := range e.copies.kept {
		if time.Since(kept.at) > copyLifetime {
			delete(e.copies.kept, handle)
		}
	}
}

// takeCopy uses the copy that a request names, if it is there. The caller holds the lock.
func (e *Engine) takeCopy(r *http.Request) bool {
	e.expireCopies()
	_, handle, _ := strings.Cut(r.Header.Get(headerKVFrom), "/")
	kept, ok := e.copies.kept[handle]
	if !ok || kept.version != e.versions[e.settings.Model] || kept.request != r.Header.Get(headerAttemptID) {
		return false
	}
	delete(e.copies.kept, handle)
	return true
}

func (e *Engine) dropCopy(w http.ResponseWriter, handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.copies.kept[handle]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(e.copies.kept, handle)
}

// copyRun copies a run of this engine to another one.
func (e *Engine) copyRun(w http.ResponseWriter, r *http.Request) {
	var m moveRequest
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.ID == "" || m.To == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	running, version, to := e.active[m.ID] > 0, e.versions[e.settings.Model], e.copies.peer(m.To)
	e.mu.Unlock()
	switch {
	case !running:
		w.WriteHeader(http.StatusNotFound)
	case to == nil || !to.keepCopy(m.ID, version):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeJSON(w, map[string]any{"handle": handlePrefix + m.ID, "created": 0})
	}
}

// keepCopy keeps a copy of another engine's run, if there is room.
func (e *Engine) keepCopy(request string, version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.copies.refused {
		return false
	}
	e.copies.kept[handlePrefix+request] = runCopy{request: request, version: version, at: time.Now()}
	return true
}
