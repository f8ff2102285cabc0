package beechagent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/process/beechsettings"
)

type (
	// generationKey names a generation: request ids are the entry hosts' and
	// a workspace only ever finds its own.
	generationKey struct {
		workspace string
		requestID string
	}

	// library holds the generations that run, and for a while those that
	// ended, for callers that reconnect. Ended answers are dropped by age and,
	// when they hold too many bytes together, the oldest first; without the
	// second bound a busy server's kept answers would grow with its traffic.
	library struct {
		clock     clockwork.Clock
		grace     time.Duration
		keep      time.Duration
		keepBytes int

		mu          sync.Mutex
		generations map[generationKey]*generation
		byRecord    map[string]*generation
	}

	// dropped counts ended answers that a sweep let go.
	dropped struct {
		byAge   int
		forRoom int
	}
)

const (
	keptAnswersBytes = 16 << 20
	sweepInterval    = time.Second
)

func newLibrary(limits beechsettings.AgentLimits, clock clockwork.Clock) *library {
	return &library{
		clock:       clock,
		grace:       time.Duration(limits.Grace),
		keep:        time.Duration(limits.Keep),
		keepBytes:   keptAnswersBytes,
		generations: map[generationKey]*generation{},
		byRecord:    map[string]*generation{},
	}
}

// add puts g in, unless a generation that is running, or that gave a whole
// answer, is there already under its key: then that one is returned. A request
// sent again over a new link thereby joins its first run.
func (l *library) add(g *generation) (there *generation, added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := generationKey{g.request.Workspace, g.request.ID}
	if old, ok := l.generations[key]; ok && old.joinable() {
		return old, false
	}
	l.generations[key] = g
	if g.request.RecordKey != "" {
		l.byRecord[g.request.RecordKey] = g
	}
	return g, true
}

func (l *library) find(workspace, requestID string) *generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generations[generationKey{workspace, requestID}]
}

// findRecord finds by idempotency key, which is scoped to the workspace.
func (l *library) findRecord(workspace, recordKey string) *generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.byRecord[recordKey]
	if g == nil || g.request.Workspace != workspace {
		return nil
	}
	return g
}

func (l *library) remove(g *generation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(g)
}

func (l *library) removeLocked(g *generation) {
	key := generationKey{g.request.Workspace, g.request.ID}
	if l.generations[key] == g {
		delete(l.generations, key)
	}
	if l.byRecord[g.request.RecordKey] == g {
		delete(l.byRecord, g.request.RecordKey)
	}
}

// sweep drops old answers, counts them and returns the generations whose callers
// have been away for the grace time.
func (l *library) sweep() (abandoned []*generation, gone dropped) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := 0
	var oldest []*generation
	for _, g := range l.generations {
		if g.abandoned(now, l.grace) {
			abandoned = append(abandoned, g)
			continue
		}
		ended, at, size := g.endedSince()
		if !ended {
			continue
		}
		if now.Sub(at) >= l.keep {
			l.removeLocked(g)
			gone.byAge++
			continue
		}
		kept += size
		oldest = append(oldest, g)
	}
	gone.forRoom = l.shrink(oldest, kept)
	return abandoned, gone
}

// shrink drops the oldest answers until the others fit, and counts them.
func (l *library) shrink(ended []*generation, kept int) (dropped int) {
	if kept <= l.keepBytes {
		return 0
	}
	sortByEnd(ended)
	for _, g := range ended {
		if kept <= l.keepBytes {
			break
		}
		_, _, size := g.endedSince()
		kept -= size
		l.removeLocked(g)
		dropped++
	}
	return dropped
}

func (l *library) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.generations)
}

// waits tells whether a generation that has not ended wants the model.
func (l *library) waits(model string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.generations {
		if ended, _, _ := g.endedSince(); !ended && modelKey(g.request.Model, g.request.Weights) == model {
			return true
		}
	}
	return false
}

// cancelRepeatable ends what runs and may be run again elsewhere.
func (l *library) cancelRepeatable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.generations {
		if g.request.Repeatable {
			g.cancel()
		}
	}
}
