package beechorigin

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Origin is what generated the beginning of a stream.
	Origin struct {
		Service  string
		Software string // version; empty: not known, so that the stream cannot be continued
	}

	// Source tells how this gate learned of an origin.
	Source int

	// Registry holds the origins of recent streams. It is safe for concurrent use.
	Registry struct {
		clock clockwork.Clock

		mu       sync.Mutex
		lifetime time.Duration
		entries  map[string]entry
		order    []string // IDs by age; those before first have been removed
		first    int
	}

	entry struct {
		origin     Origin
		source     Source
		recordedAt time.Time
	}
)

// The sources of origins.
const (
	Own  Source = iota // this gate served the beginning, or a part of the stream
	Told               // another gate told it
)

const (
	// DefaultLifetime is how long origins are kept until SetLifetime is called.
	DefaultLifetime = 30 * time.Second
	// maxEntries bounds the memory, at some 150 bytes for each entry.
	maxEntries = 1 << 16
	// maxIDBytes and maxNameBytes bound what a caller or an entry of a server may have stored.
	maxIDBytes   = 64
	maxNameBytes = 64
	// compactAt is the number of removed IDs from which on the order is copied.
	compactAt = 1024
)

// NewRegistry returns an empty registry.
func NewRegistry(clock clockwork.Clock) *Registry {
	return &Registry{clock: clock, lifetime: DefaultLifetime, entries: make(map[string]entry)}
}

// SetLifetime sets for how long a stream can be resumed after its beginning.
func (r *Registry) SetLifetime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lifetime = d
}

// Record keeps the origin of the stream that began with a request. If another origin is known for
// the same request, the stream's origin is unknown from then on.
func (r *Registry) Record(id string, origin Origin, source Source) {
	if id == "" || len(id) > maxIDBytes || len(origin.Service) > maxNameBytes {
		return
	}
	if len(origin.Software) > maxNameBytes {
		origin.Software = ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.expire(now)
	if known, ok := r.entries[id]; ok {
		if known.origin != origin {
			known.origin.Software = ""
		}
		known.source = min(known.source, source)
		r.entries[id] = known
		return
	}
	r.entries[id] = entry{origin: origin, source: source, recordedAt: now}
	r.order = append(r.order, id)
}

// Find returns the origin of the stream that began with a request.
func (r *Registry) Find(id string) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.clock.Now())
	e, ok := r.entries[id]
	return e.origin, ok
}

// Served returns the streams of a service that this gate has served, by version. An empty service
// stands for all.
func (r *Registry) Served(service string) map[Origin][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.clock.Now())
	served := make(map[Origin][]string)
	for _, id := range r.order[r.first:] {
		if e := r.entries[id]; e.source == Own && (service == "" || e.origin.Service == service) {
			served[e.origin] = append(served[e.origin], id)
		}
	}
	return served
}

// Len returns the number of streams.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// expire removes what is older than the lifetime or beyond maxEntries. The caller holds the lock.
func (r *Registry) expire(now time.Time) {
	for r.first < len(r.order) {
		id := r.order[r.first]
		if len(r.entries) < maxEntries && now.Sub(r.entries[id].recordedAt) < r.lifetime {
			break
		}
		delete(r.entries, id)
		r.first++
	}
	if r.first >= compactAt && r.first*2 >= len(r.order) {
		r.order = append([]string(nil), r.order[r.first:]...)
		r.first = 0
	}
}
