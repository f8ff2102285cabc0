package beechburn

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// snapshotBatch is how many workspaces a snapshot copies while it holds the
// lock. Copying thousands at once blocked Observe for 20 ms and more, which
// delayed first tokens whenever the report was read.
const snapshotBatch = 64

type (
	// Burn counts the outcomes that one process sees. Create one with New. It is
	// safe for concurrent use.
	Burn struct {
		mu            sync.Mutex
		clock         clockwork.Clock
		start         time.Time
		objectives    Objectives
		maxWorkspaces int
		maxHistograms int

		all         series
		latencies   [windowCount]latencyRing
		byWorkspace map[string]*workspace
		recentCount int // workspaces that have histograms
	}

	workspace struct {
		series
		recent *recentLatencies
	}

	// latencyCopy holds copied histograms, to be encoded into a window without
	// holding the lock.
	latencyCopy struct {
		window *Window
		first  encodable
		total  encodable
	}
)

// New returns an empty Burn.
func New(s Settings, clock clockwork.Clock) *Burn {
	b := &Burn{
		clock:         clock,
		start:         clock.Now(),
		objectives:    s.Objectives,
		maxWorkspaces: s.Workspaces,
		maxHistograms: s.Histograms,
		byWorkspace:   map[string]*workspace{},
	}
	if b.maxWorkspaces <= 0 {
		b.maxWorkspaces = DefaultWorkspaces
	}
	if b.maxHistograms <= 0 {
		b.maxHistograms = DefaultHistograms
	}
	return b
}

// SetObjectives sets the objectives for requests observed from now on. Earlier
// counts do not change.
func (b *Burn) SetObjectives(o Objectives) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.objectives = o
}

// Observe counts one request.
func (b *Burn) Observe(o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := b.elapsed()
	c := b.objectives.count(o)
	b.all.add(elapsed, c)
	w := b.workspace(o.Workspace, elapsed)
	w.add(elapsed, c)
	if o.Result != Served {
		return
	}
	for i, v := range windows {
		b.latencies[i].add(v.bucketAt(elapsed), o)
	}
	b.observeRecent(w, elapsed, o)
}

// elapsed returns the time since the start. It is never negative, and a clock
// with a monotonic reading is not affected by steps of the wall clock.
func (b *Burn) elapsed() time.Duration {
	return max(b.clock.Since(b.start), 0)
}

func (b *Burn) workspace(name string, elapsed time.Duration) *workspace {
	if w, ok := b.byWorkspace[name]; ok {
		return w
	}
	if len(b.byWorkspace) >= b.maxWorkspaces {
		b.removeExpired(elapsed)
	}
	if len(b.byWorkspace) >= b.maxWorkspaces {
		name = OtherWorkspaces
	}
	w, ok := b.byWorkspace[name]
	if !ok {
		w = &workspace{}
		b.byWorkspace[name] = w
	}
	return w
}

func (b *Burn) observeRecent(w *workspace, elapsed time.Duration, o Outcome) {
	half := halfHourAt(elapsed)
	if w.recent == nil {
		if b.recentCount >= b.maxHistograms || !hasEnoughForPercentiles(w, elapsed) {
			return
		}
		w.recent = newRecent(half)
		b.recentCount++
	}
	w.recent.add(half, o)
}

func hasEnoughForPercentiles(w *workspace, elapsed time.Duration) bool {
	c := w.rings[hourWindow].sum(windows[hourWindow].bucketAt(elapsed))
	return c.Served >= minForPercentiles
}

// removeExpired removes expired data. Without it a workspace seen once would
// take up memory for as long as the process runs.
func (b *Burn) removeExpired(elapsed time.Duration) {
	for name, w := range b.byWorkspace {
		b.removeIfExpired(name, w, elapsed)
	}
}

// removeIfExpired removes a workspace's histograms once they have expired, and
// the workspace once everything has. It reports whether the workspace was
// removed.
func (b *Burn) removeIfExpired(name string, w *workspace, elapsed time.Duration) bool {
	gone := w.empty(elapsed)
	if w.recent != nil && (gone || w.recent.empty(halfHourAt(elapsed))) {
		w.recent = nil
		b.recentCount--
	}
	if gone {
		delete(b.byWorkspace, name)
	}
	return gone
}

// Snapshot returns the counts of all windows, by workspace and in total.
// Requests observed while it runs may be in some of its rows and not in others.
func (b *Burn) Snapshot() Snapshot {
	s, names := b.copyTotals()
	var copies []latencyCopy
	for i := range s.All.Windows {
		copies = append(copies, b.copyTotalLatencies(i, &s.All.Windows[i]))
	}
	s.Workspaces = make([]Series, 0, len(names))
	for chunk := range slices.Chunk(names, snapshotBatch) {
		rows, more := b.copyWorkspaces(chunk)
		s.Workspaces = append(s.Workspaces, rows...)
		copies = append(copies, more...)
	}
	for _, l := range copies {
		l.window.FirstTimes = encode(l.first)
		l.window.TotalTimes = encode(l.total)
	}
	sortByName(s.Workspaces)
	return s
}

func (b *Burn) copyTotals() (Snapshot, []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{At: b.clock.Now(), Since: b.start, Hosts: 1, Objectives: b.objectives, All: b.all.snapshot("", b.elapsed())}
	return s, slices.Collect(maps.Keys(b.byWorkspace))
}

func (b *Burn) copyTotalLatencies(i int, into *Window) latencyCopy {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, total := b.latencies[i].merged(windows[i].bucketAt(b.elapsed()))
	return latencyCopy{into, first, total}
}

func (b *Burn) copyWorkspaces(names []string) (rows []Series, copies []latencyCopy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := b.elapsed()
	for _, name := range names {
		w, ok := b.byWorkspace[name]
		if !ok || b.removeIfExpired(name, w, elapsed) {
			continue
		}
		row := w.snapshot(name, elapsed)
		rows = append(rows, row)
		if w.recent != nil {
			sum := w.recent.merged(halfHourAt(elapsed))
			copies = append(copies, latencyCopy{&row.Windows[hourWindow], sum.first, sum.total})
		}
	}
	return rows, copies
}

// Report returns the report of a new snapshot.
func (b *Burn) Report() Report {
	return b.Snapshot().Report()
}

func (s *series) snapshot(name string, elapsed time.Duration) Series {
	out := Series{Workspace: name, Windows: make([]Window, windowCount)}
	for i, w := range windows {
		out.Windows[i] = Window{Name: w.name, Counts: s.rings[i].sum(w.bucketAt(elapsed))}
	}
	return out
}

func sortByName(s []Series) {
	slices.SortFunc(s, func(a, b Series) int { return strings.Compare(a.Workspace, b.Workspace) })
}
