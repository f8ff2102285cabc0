//go:build review

package main

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// item is an item of the store, or its removal.
	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created,omitempty"`
		Lease    uint64 `json:"lease,omitempty"`
		Removed  bool   `json:"removed,omitempty"`
	}

	// store is the platform's metadata store, as far as gates use it: ranges and watches.
	store struct {
		lab     *lab
		address string
		mux     *http.ServeMux

		mu       sync.Mutex
		revision uint64
		items    map[string]item
		history  []item
		changed  chan struct{} // closed at the next change
		away     map[string]bool
		watches  map[string]int // calls that wait for changes of servers, so far, by door
		reads    map[string]int // reads of all servers, likewise
		latency  time.Duration  // of each answer
	}
)

// doorKey is the key of a request's context for the machine that has sent it.
type doorKey struct{}

func newStore(l *lab) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{lab: l, address: listener.Addr().String(), revision: 100, items: make(map[string]item), watches: make(map[string]int), reads: make(map[string]int), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /beechring/kv-range", s.serveRange)
	mux.HandleFunc("GET /beechring/kv-watch", s.serveWatch)
	s.mux = mux
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// open opens another address of the store, for one machine.
func (s *store) open(machine string) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isAway(machine) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), doorKey{}, machine)))
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *store) isAway(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away[machine]
}

// turnAway turns machines away, or no machine any more. Watches that wait are cut.
func (s *store) turnAway(machines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = make(map[string]bool)
	for _, m := range machines {
		s.away[m] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// watchers returns how many watches of servers each machine has begun.
func (s *store) watchers() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.watches)
}

// readers returns how often each machine has read the list of servers.
func (s *store) readers() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reads)
}

// put writes an item. The return is the confirmation.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	old, ok := s.items[key]
	written := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if ok {
		written.Created = old.Created
	}
	s.items[key] = written
	s.append(written)
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) append(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	if machine, _ := r.Context().Value(doorKey{}).(string); prefix == "servers/" {
		s.reads[machine]++
	}
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	time.Sleep(s.latency)
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	respond(w, map[string]any{"items": list, "hasMore": false, "currentRev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	machine, _ := r.Context().Value(doorKey{}).(string)
	s.mu.Lock()
	if prefix == "servers/" && wait > 0 {
		s.watches[machine]++
	}
	s.mu.Unlock()
	for {
		if s.isAway(machine) {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			time.Sleep(s.latency)
			respond(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}
