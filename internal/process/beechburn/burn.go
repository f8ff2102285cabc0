package beechburn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

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
	half := halfHour(elapsed)
	for name, w := range b.named {
		if w.recent != nil && w.recent.empty(half) {
			w.recent = nil
			b.recents--
		}
		if w.idle(elapsed) {
			if w.recent != nil {
				b.recents--
			}
			delete(b.named, name)
		}
	}
}

// Snapshot returns the counts of all windows, by workspace and over all.
func (b *Burn) Snapshot() Snapshot {
	s, latencies := b.copy()
	for _, l := range latencies {
		l.window.FirstTimes = encode(l.first)
		l.window.TotalTimes = encode(l.total)
	}
	return s
}

// copy takes the counts, and copies of the latencies, which are encoded after
// the lock is given back: encoding thousands of histograms would hold up every
// request that wants to be counted.
func (b *Burn) copy() (Snapshot, []latencies) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := b.elapsed()
	b.sweep(elapsed)
	s := Snapshot{At: b.clock.Now(), Hosts: 1, Objectives: b.objectives, All: b.all.snapshot("", elapsed)}
	var copies []latencies
	for i, v := range windows {
		first, total := b.latencies[i].merged(v.bucketAt(elapsed))
		copies = append(copies, latencies{&s.All.Windows[i], first, total})
	}
	s.Workspaces = make([]Series, 0, len(b.named))
	for name, w := range b.named {
		row := w.snapshot(name, elapsed)
		s.Workspaces = append(s.Workspaces, row)
		if w.recent != nil {
			sum := w.recent.merged(halfHour(elapsed))
			copies = append(copies, latencies{&row.Windows[hourWindow], sum.first, sum.total})
		}
	}
	sortByName(s.Workspaces)
	return s, copies
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
