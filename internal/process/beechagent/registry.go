package beechagent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/process/beechsettings"
)

type (
	// generationKey identifies a generation. Request ids are assigned by entry
	// hosts; with the workspace in the key, a workspace can find only its own
	// generations.
	generationKey struct {
		workspace string
		requestID string
	}

	// generationRegistry holds the running generations and, for callers that
	// reconnect, those that ended recently. Ended generations are evicted after the
	// retention period, and earlier, oldest first, if together they exceed maxBytes.
	// Without the second limit, the memory used would grow with the traffic of the
	// server.
	generationRegistry struct {
		clock       clockwork.Clock
		gracePeriod time.Duration
		retention   time.Duration
		maxBytes    int

		mu          sync.Mutex
		generations map[generationKey]*generation
		byRecordKey map[string]*generation
	}

	// evictionCounts counts the ended generations that a sweep evicted.
	evictionCounts struct {
		expired   int
		overLimit int
	}
)

const (
	maxRetainedBytes = 16 << 20
	sweepInterval    = time.Second
)

func newGenerationRegistry(limits beechsettings.AgentLimits, clock clockwork.Clock) *generationRegistry {
	return &generationRegistry{
		clock:       clock,
		gracePeriod: time.Duration(limits.Grace),
		retention:   time.Duration(limits.Keep),
		maxBytes:    maxRetainedBytes,
		generations: map[generationKey]*generation{},
		byRecordKey: map[string]*generation{},
	}
}

// add registers g, unless a joinable generation exists under its key; then it
// returns that one. A request that is sent again over a new link thereby joins its
// first run.
func (r *generationRegistry) add(g *generation) (existing *generation, added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := generationKey{g.request.Workspace, g.request.ID}
	if old, ok := r.generations[key]; ok && old.joinable() {
		return old, false
	}
	r.generations[key] = g
	if g.request.RecordKey != "" {
		r.byRecordKey[g.request.RecordKey] = g
	}
	return g, true
}

func (r *generationRegistry) find(workspace, requestID string) *generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generations[generationKey{workspace, requestID}]
}

// findByRecordKey finds a generation by its idempotency key, which is scoped to the
// workspace.
func (r *generationRegistry) findByRecordKey(workspace, recordKey string) *generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.byRecordKey[recordKey]
	if g == nil || g.request.Workspace != workspace {
		return nil
	}
	return g
}

func (r *generationRegistry) remove(g *generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(g)
}

func (r *generationRegistry) removeLocked(g *generation) {
	key := generationKey{g.request.Workspace, g.request.ID}
	if r.generations[key] == g {
		delete(r.generations, key)
	}
	if r.byRecordKey[g.request.RecordKey] == g {
		delete(r.byRecordKey, g.request.RecordKey)
	}
}

// sweep evicts ended generations and counts them. It also returns the running
// generations that have had no stream for the grace period.
func (r *generationRegistry) sweep() (abandoned []*generation, evicted evictionCounts) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	retained := 0
	var candidates []*generation
	for _, g := range r.generations {
		if g.abandoned(now, r.gracePeriod) {
			abandoned = append(abandoned, g)
			continue
		}
		ended, at, size := g.endState()
		if !ended {
			continue
		}
		if now.Sub(at) >= r.retention {
			r.removeLocked(g)
			evicted.expired++
			continue
		}
		retained += size
		candidates = append(candidates, g)
	}
	evicted.overLimit = r.evictOldest(candidates, retained)
	return abandoned, evicted
}

// evictOldest evicts the oldest ended generations until the others fit into
// maxBytes, and returns how many were evicted.
func (r *generationRegistry) evictOldest(ended []*generation, retained int) (evicted int) {
	if retained <= r.maxBytes {
		return 0
	}
	sortByEndTime(ended)
	for _, g := range ended {
		if retained <= r.maxBytes {
			break
		}
		_, _, size := g.endState()
		retained -= size
		r.removeLocked(g)
		evicted++
	}
	return evicted
}

func (r *generationRegistry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.generations)
}

// needsModel reports whether a generation that has not ended uses the model.
func (r *generationRegistry) needsModel(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.generations {
		if ended, _, _ := g.endState(); !ended && modelKey(g.request.Model, g.request.Weights) == model {
			return true
		}
	}
	return false
}

// cancelRepeatable cancels the generations whose requests may be run again on
// another server.
func (r *generationRegistry) cancelRepeatable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.generations {
		if g.request.Repeatable {
			g.cancel()
		}
	}
}
