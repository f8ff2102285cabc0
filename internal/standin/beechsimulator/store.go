package beechsimulator

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// Store is the part of the platform's key-value store that gates read. It is safe
	// for concurrent use.
	Store struct {
		mu       sync.Mutex
		items    map[string]*item
		history  []item
		dropped  uint64 // revisions up to this one were compacted
		revision uint64
		era      uint64 // rises with each Restore
		faults   StoreFaults
		changed  chan struct{} // closed and replaced at each change
		calls    map[string]int
	}

	// StoreFaults are the faults that the store simulates.
	StoreFaults struct {
		Status int           // status of every response; 0 for the normal ones
		Silent bool          // calls get no response
		Slow   time.Duration // delay of each response
		Deaf   bool          // watches report no changes
		Body   string        // sent instead of the response, as by another server
	}

	// Snapshot is a copy of the store's contents at one moment.
	Snapshot struct {
		items    map[string]item
		revision uint64
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created,omitempty"`
		Lease    uint64 `json:"lease"`
		Removed  bool   `json:"removed,omitempty"`
	}

	page struct {
		Items   []item `json:"items"`
		More    bool   `json:"hasMore"`
		Current uint64 `json:"currentRev"`
	}

	watchPage struct {
		Events  []item `json:"events"`
		Current uint64 `json:"currentRev"`
	}
)

const (
	// PageItems is the maximum number of items in a page of a range.
	PageItems = 500

	headerEra = "Store-Era"
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]*item), revision: 1, era: 1, changed: make(chan struct{}), calls: make(map[string]int)}
}

// Put writes a value and returns its revision. A value other than []byte is encoded as
// JSON.
func (s *Store) Put(key string, value any) uint64 {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value) // documents of tests can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it, exists := s.items[key]
	if !exists {
		it = &item{Key: key, Created: s.revision}
		s.items[key] = it
	}
	it.Value, it.Revision = data, s.revision
	s.appendHistory(*it)
	return s.revision
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendHistory(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) appendHistory(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that watches of earlier revisions get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot returns a copy of the current contents.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := Snapshot{items: make(map[string]item, len(s.items)), revision: s.revision}
	for key, it := range s.items {
		copied.items[key] = *it
	}
	return copied
}

// RestoreAndRewrite restores the store, after which its writers write again what was lost.
func (s *Store) RestoreAndRewrite(from Snapshot) {
	lost := s.Snapshot().items
	s.Restore(from)
	for key, it := range lost {
		if it.Revision > from.revision {
			s.Put(key, it.Value)
		}
	}
	for key := range from.items {
		if _, kept := lost[key]; !kept {
			s.Remove(key)
		}
	}
}

// Restore replaces the contents with a snapshot, as after a failure: later writes are lost, and
// their revisions are given out again. The era rises by one.
func (s *Store) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.items)
	for key := range maps.Keys(from.items) {
		it := from.items[key]
		s.items[key] = &it
	}
	s.history = slices.DeleteFunc(s.history, func(it item) bool { return it.Revision > from.revision })
	s.revision, s.dropped = from.revision, min(s.dropped, from.revision)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ServeHTTP serves range reads and watches.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	faults, era := s.faults, s.era
	s.mu.Unlock()
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(faults.Slow):
	case <-r.Context().Done():
		return
	}
	switch {
	case faults.Status != 0:
		w.WriteHeader(faults.Status)
	case faults.Body != "":
		_, _ = w.Write([]byte(faults.Body))
	case r.URL.Path == RangePath:
		s.serveRange(w, r)
	case r.URL.Path == WatchPath:
		s.serveWatch(w, r, faults.Deaf)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	p := page{Items: []item{}, Current: s.revision}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, prefix) && it.Key > after {
			p.Items = append(p.Items, *it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Items, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
	if len(p.Items) > PageItems {
		p.Items, p.More = p.Items[:PageItems], true
	}
	writeJSON(w, p)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, deaf bool) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		compacted := after < s.dropped || after > s.revision
		era := s.era
		found := watchPage{Events: []item{}, Current: s.revision}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("pathPrefix")) && !deaf {
				found.Events = append(found.Events, it)
			}
		}
		changed, silent := s.changed, s.faults.Silent
		s.mu.Unlock()
		if silent { // also applies to watches that were already waiting
			<-r.Context().Done()
			return
		}
		w.Header().Set(headerEra, strconv.FormatUint(era, 10)) // it may have risen while the watch waited
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found.Events) > 0 {
			writeJSON(w, found)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	data, _ := json.Marshal(body) // the types of this package can be encoded
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
