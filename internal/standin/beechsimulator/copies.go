package beechsimulator

import (
	"net/http"
	"strings"
	"time"
)

type (
	// copies are the copies of other engines' runs that an engine keeps. The engine's lock guards
	// them.
	copies struct {
		kept      map[string]runCopy   // by request
		continued map[string]time.Time // when a run went on here, by request
		peer      func(address string) *Engine
		refused   bool // none are accepted
	}

	runCopy struct {
		events  int
		version uint64
	}

	// backup sends copies of a run to another engine. A nil one sends none.
	backup struct {
		to      *Engine
		id      string
		version uint64
		sentAt  time.Time
	}
)

const (
	headerKVFrom   = "Kv-From"
	headerKVBackup = "Beechring-Kv-Backup"
	copyPath       = "/beechring/kv-handle/"
	copyInterval   = 20 * time.Millisecond
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

// RefuseCopies sets whether copies of other engines' runs are dropped as they arrive.
func (e *Engine) RefuseCopies(refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies.refused = refuse
}

// Copies returns the number of copies that the engine keeps.
func (e *Engine) Copies() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.copies.kept)
}

// ContinuedAt returns when a run went on at this engine, or the zero time.
func (e *Engine) ContinuedAt(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copies.continued[id]
}

// takeCopy uses the copy that a request names, if it is there. The caller holds the lock.
func (e *Engine) takeCopy(r *http.Request) bool {
	_, id, _ := strings.Cut(r.Header.Get(headerKVFrom), "/")
	kept, ok := e.copies.kept[id]
	if !ok || kept.version != e.version || id != r.Header.Get(headerAttemptID) {
		return false
	}
	delete(e.copies.kept, id)
	return true
}

func (e *Engine) dropCopy(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.copies.kept[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(e.copies.kept, id)
}

func (e *Engine) beginBackup(r *http.Request) *backup {
	address := r.Header.Get(headerKVBackup)
	if address == "" {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	to := e.copies.peer(address)
	if to == nil {
		return nil
	}
	return &backup{to: to, id: r.Header.Get(headerAttemptID), version: e.version}
}

// send sends what is new to the other engine, from time to time.
func (b *backup) send(events int) {
	if b == nil || time.Since(b.sentAt) < copyInterval {
		return
	}
	b.sentAt = time.Now()
	b.to.mu.Lock()
	defer b.to.mu.Unlock()
	if !b.to.copies.refused {
		b.to.copies.kept[b.id] = runCopy{events: events, version: b.version}
	}
}

// end frees the copy of a run that has ended successfully.
func (b *backup) end() {
	if b == nil {
		return
	}
	b.to.mu.Lock()
	defer b.to.mu.Unlock()
	delete(b.to.copies.kept, b.id)
}
