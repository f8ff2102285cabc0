package beechpoison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evidence is what speaks against a trait.
type evidence struct {
	Trait
	crashes  []*crash // without an answer since, by time
	answered bool     // since another crash
}

// conclude derives which traits are blamed. An answer to a trait that is not blamed cannot change
// that, since only blamed ones explain crashes.
func (t *Tracker) conclude() {
	t.forget()
	slices.SortStableFunc(t.crashes, func(x, y *crash) int { return x.at.Compare(y.at) })
	t.countOpen()
	all := t.collect()
	before := t.blamed
	t.blamed = make(map[uint64]*blame)
	unexplained := slices.Clone(t.crashes)
	for len(all) > 0 {
		best := slices.MaxFunc(all, func(x, y *evidence) int {
			return cmp.Or(cmp.Compare(moments(x.crashes), moments(y.crashes)), cmp.Compare(x.Rank, y.Rank), cmp.Compare(y.Key, x.Key))
		})
		count := moments(best.crashes)
		if count < minMoments {
			break
		}
		if isBlamed(best, count, unexplained) {
			t.blamed[best.Key] = &blame{crashes: best.crashes, moments: count, workspaces: best.workspaces()}
			unexplained = without(unexplained, best.crashes)
			for _, e := range all {
				if e != best {
					e.crashes = without(e.crashes, best.crashes)
				}
			}
		}
		all = slices.DeleteFunc(all, func(e *evidence) bool { return e == best })
	}
	for key := range before {
		if t.blamed[key] == nil && t.open[key] == 0 {
			t.counts.Cleared++
		}
	}
	t.idle.Store(len(t.crashes) == 0)
}

// isBlamed reports whether a trait was there often enough among the crashes of its time.
func isBlamed(e *evidence, count int, unexplained []*crash) bool {
	if count >= sureMoments || e.answered {
		return count >= sureMoments
	}
	first, last := e.crashes[0].at, e.crashes[len(e.crashes)-1].at
	var meanwhile []*crash
	for _, c := range unexplained {
		if !c.at.Before(first) && !c.at.After(last) {
			meanwhile = append(meanwhile, c)
		}
	}
	return float64(count) >= minShare*float64(moments(meanwhile))
}

// answered reports whether an answer to a trait has begun since a crash.
func (t *Tracker) answered(key uint64, c *crash) bool {
	start := t.starts[key]
	return start != nil && !start.at.Before(c.at)
}

func (t *Tracker) countOpen() {
	clear(t.open)
	for _, c := range t.crashes {
		for _, s := range c.suspects {
			if !t.answered(s.Key, c) {
				t.open[s.Key]++
			}
		}
	}
}

// collect returns the evidence against suspects of several crashes.
func (t *Tracker) collect() []*evidence {
	byKey := make(map[uint64]*evidence)
	for _, c := range t.crashes {
		for _, s := range c.suspects {
			if t.open[s.Key] < minMoments {
				continue
			}
			e := byKey[s.Key]
			if e == nil {
				e = &evidence{Trait: s.Trait}
				byKey[s.Key] = e
			}
			if t.answered(s.Key, c) {
				e.answered = true
				continue
			}
			e.Rank = min(e.Rank, s.Rank)
			if len(e.crashes) == 0 || e.crashes[len(e.crashes)-1] != c {
				e.crashes = append(e.crashes, c)
			}
		}
	}
	return slices.Collect(maps.Values(byKey))
}

// workspaces returns those whose requests with the trait were there.
func (e *evidence) workspaces() []uint32 {
	var all []uint32
	for _, c := range e.crashes {
		for _, s := range c.suspects {
			if s.Key == e.Key && !slices.Contains(all, s.Workspace) {
				all = append(all, s.Workspace)
			}
		}
	}
	return all
}

// moments returns the number of moments of crashes that are sorted by time.
func moments(crashes []*crash) int {
	count := 0
	var last time.Time
	for _, c := range crashes {
		if count == 0 || c.at.Sub(last) >= momentGap {
			count, last = count+1, c.at
		}
	}
	return count
}

// without returns the crashes that are not among the explained ones.
func without(crashes, explained []*crash) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return slices.Contains(explained, c) })
}

// forget deletes what is too old, and what exceeds the bounds: first the oldest crashes that no
// blame rests on.
func (t *Tracker) forget() {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return t.now.Sub(c.at) >= retention })
	if excess := len(t.crashes) - maxCrashes; excess > 0 {
		supports := make(map[*crash]bool)
		for _, b := range t.blamed {
			for _, c := range b.crashes {
				supports[c] = true
			}
		}
		slices.SortStableFunc(t.crashes, func(x, y *crash) int {
			return cmp.Or(compareBool(supports[x], supports[y]), x.at.Compare(y.at))
		})
		t.crashes = slices.Clone(t.crashes[excess:])
	}
	t.forgetEvents(t.starts)
	t.forgetEvents(t.trials)
}

func (t *Tracker) forgetEvents(events map[uint64]*event) {
	maps.DeleteFunc(events, func(_ uint64, e *event) bool { return t.now.Sub(e.at) >= retention })
	if len(events) <= maxEvents {
		return
	}
	keys := slices.SortedFunc(maps.Keys(events), func(x, y uint64) int { return events[x].at.Compare(events[y].at) })
	for _, key := range keys[:len(events)-maxEvents] {
		delete(events, key)
	}
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}
