package beechburn

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// copiedAtOnce is how many workspaces a snapshot copies before it lets requests
// be counted again. Copying thousands at once held them up for 20 ms and more,
// which callers saw as late first tokens whenever somebody read the report.
const copiedAtOnce = 64

type (
	// Burn counts the outcomes that one process sees. Make it by New. It is
	// safe for concurrent use.
	Burn struct {
		mu         sync.Mutex
		clock      clockwork.Clock
		start      time.Time
		objectives Objectives
		workspaces int
		histograms int

		all       series
		latencies [windowCount]latencyRing
		named     map[string]*workspace
		recents   int // workspaces that have percentiles
	}

	workspace struct {
		series
		recent *recent
	}

	// latencies are histograms to be encoded into a window.
	latencies struct {
		window *Window
		first  encodable
		total  encodable
	}
)

// New returns an empty Burn.
func New(s Settings, clock clockwork.Clock) *Burn {
	b := &Burn{
		clock:      clock,
		start:      clock.Now(),
		objectives: s.Objectives,
		workspaces: s.Workspaces,
		histograms: s.Histograms,
		named:      map[string]*workspace{},
	}
	if b.workspaces <= 0 {
		b.workspaces = DefaultWorkspaces
	}
	if b.histograms <= 0 {
		b.histograms = DefaultHistograms
	}
	return b
}

// SetObjectives changes what counts as late from now on. What was counted before
// stays as it was.
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

// elapsed counts from the start, so that a step of the wall clock moves nothing
// where the clock has a monotonic reading, and is never negative.
func (b *Burn) elapsed() time.Duration {
	return max(b.clock.Since(b.start), 0)
}

func (b *Burn) workspace(name string, elapsed time.Duration) *workspace {
	if w, ok := b.named[name]; ok {
		return w
	}
	if len(b.named) >= b.workspaces {
		b.sweep(elapsed)
	}
	if len(b.named) >= b.workspaces {
		name = OtherWorkspaces
	}
	w, ok := b.named[name]
	if !ok {
		w = &workspace{}
		b.named[name] = w
	}
	return w
}

func (b *Burn) observeRecent(w *workspace, elapsed time.Duration, o Outcome) {
	half := halfHour(elapsed)
	if w.recent == nil {
		if b.recents >= b.histograms || !enough(w, elapsed) {
			return
		}
		w.recent = newRecent(half)
		b.recents++
	}
	w.recent.add(half, o)
}

func enough(w *workspace, elapsed time.Duration) bool {
	c := w.rings[hourWindow].sum(windows[hourWindow].bucketAt(elapsed))
	return c.Served >= enoughForPercentiles
}

// sweep frees what has expired. Without it a workspace seen once would hold its
// place for as long as the process runs.
func (b *Burn) sweep(elapsed time.Duration) {
	for name, w := range b.named {
		b.free(name, w, elapsed)
	}
}

// free drops a workspace's percentiles once they have expired, and the workspace
// once all has. It tells whether the workspace is gone.
func (b *Burn) free(name string, w *workspace, elapsed time.Duration) bool {
	gone := w.idle(elapsed)
	if w.recent != nil && (gone || w.recent.empty(halfHour(elapsed))) {
		w.recent = nil
		b.recents--
	}
	if gone {
		delete(b.named, name)
	}
	return gone
}

// Snapshot returns the counts of all windows, by workspace and over all. What is
// observed meanwhile may be in some of its rows and not in others.
func (b *Burn) Snapshot() Snapshot {
	s, names := b.copyAll()
	var copies []latencies
	for i := range s.All.Windows {
		copies = append(copies, b.copyLatencies(i, &s.All.Windows[i]))
	}
	s.Workspaces = make([]Series, 0, len(names))
	for chunk := range slices.Chunk(names, copiedAtOnce) {
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

func (b *Burn) copyAll() (Snapshot, []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{At: b.clock.Now(), Since: b.start, Hosts: 1, Objectives: b.objectives, All: b.all.snapshot("", b.elapsed())}
	return s, slices.Collect(maps.Keys(b.named))
}

func (b *Burn) copyLatencies(i int, into *Window) latencies {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, total := b.latencies[i].merged(windows[i].bucketAt(b.elapsed()))
	return latencies{into, first, total}
}

func (b *Burn) copyWorkspaces(names []string) (rows []Series, copies []latencies) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := b.elapsed()
	for _, name := range names {
		w, ok := b.named[name]
		if !ok || b.free(name, w, elapsed) {
			continue
		}
		row := w.snapshot(name, elapsed)
		rows = append(rows, row)
		if w.recent != nil {
			sum := w.recent.merged(halfHour(elapsed))
			copies = append(copies, latencies{&row.Windows[hourWindow], sum.first, sum.total})
		}
	}
	return rows, copies
}

// Report is the snapshot's.
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
