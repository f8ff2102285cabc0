package beechpoison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// momentGap is how far apart crashes are at least that count as two moments.
	momentGap = 200 * time.Millisecond
	// sameCrash is how far apart two reports of one crash may be. A server that restarts under its
	// ID takes longer until it crashes again.
	sameCrash = 2 * time.Second

	minMoments  = 2   // at which a trait is blamed
	minShare    = 0.5 // of the moments between its first and last crash
	sureMoments = 4   // from which on the share does not matter

	firstRefusal = 10 * time.Second
	nextRefusal  = 5 * time.Minute // after a third moment; doubles
	retention    = 30 * time.Minute
	// trialTime is how long a trial takes: the request has waited at its server, and its outcome is
	// known to all.
	trialTime = 3 * time.Second
	// turnTime is the time between the turns of two processes that may begin a trial, so that the
	// others have heard of it.
	turnTime = 500 * time.Millisecond
	maxTurns = 20

	maxCrashes  = 256
	maxSuspects = 64 // of one crash
	maxEvents   = 4096
)

type (
	// Tracker holds what one process knows. It is safe for concurrent use.
	Tracker struct {
		clock    clockwork.Clock
		turn     func(key uint64) int
		onChange func()
		idle     atomic.Bool // no crash is known

		mu      sync.Mutex
		now     time.Time // never steps back
		crashes []*crash  // by time
		starts  map[uint64]*event
		trials  map[uint64]*event
		open    map[uint64]int // crashes of each suspect without an answer since
		blamed  map[uint64]*blame
		counts  Counts
	}

	crash struct {
		seen
		server   uint64
		at       time.Time
		suspects []Suspect
	}

	event struct {
		seen
		at time.Time
	}

	// blame is the conclusion from the crashes that a trait explains.
	blame struct {
		crashes    []*crash
		moments    int
		workspaces []uint32
	}
)

// New returns a tracker that knows nothing. The function turn returns how many processes may begin
// a trial of a trait before this one; onChange is called, with no lock held, when there is something
// new to send.
func New(clock clockwork.Clock, turn func(key uint64) int, onChange func()) *Tracker {
	t := &Tracker{
		clock: clock, turn: turn, onChange: onChange, now: clock.Now(), starts: make(map[uint64]*event), trials: make(map[uint64]*event),
		open: make(map[uint64]int), blamed: make(map[uint64]*blame),
	}
	t.idle.Store(true)
	return t
}

// Check returns whether a request may run. It must be called before each attempt, and again after
// each wait.
func (t *Tracker) Check(r Request) Verdict {
	if t.idle.Load() {
		return Allow{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	var due []uint64
	var refuse Refuse
	for _, trait := range r.Traits {
		b := t.blamed[trait.Key]
		if b == nil || !b.applies(r.Workspace) {
			continue
		}
		left := t.trialAt(trait.Key, b).Sub(t.now)
		if left > refuse.After {
			refuse = Refuse{After: left, Key: trait.Key}
		}
		due = append(due, trait.Key)
	}
	switch {
	case refuse.After > 0:
		t.counts.Refused++
		return refuse
	case len(due) > 0:
		return Trial{keys: due}
	}
	return Allow{}
}

// Explained returns the number of crashes at which a trait was suspect and for which another one is
// blamed.
func (t *Tracker) Explained(key uint64) int {
	if t.idle.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for blamed, b := range t.blamed {
		if blamed == key {
			continue
		}
		for _, c := range b.crashes {
			if slices.ContainsFunc(c.suspects, func(s Suspect) bool { return s.Key == key }) {
				count++
			}
		}
	}
	return count
}

// Idle reports whether no crash is known, so that every request is allowed.
func (t *Tracker) Idle() bool { return t.idle.Load() }

// applies reports whether requests of a workspace are refused.
func (b *blame) applies(workspace uint32) bool {
	return len(b.workspaces) > 1 || slices.Contains(b.workspaces, workspace)
}

// trialAt returns when this process may begin a trial.
func (t *Tracker) trialAt(key uint64, b *blame) time.Time {
	at := b.last().Add(refusalTime(b.moments))
	if trial := t.trials[key]; trial != nil && at.Before(trial.at.Add(trialTime)) {
		at = trial.at.Add(trialTime)
	}
	if at.After(t.now) {
		return at // the turn is only asked for when it matters
	}
	return at.Add(time.Duration(min(t.turn(key), maxTurns)) * turnTime)
}

// BeginTrial reports whether a request may run as a trial. No other one may until its outcome is
// known or trialTime is over.
func (t *Tracker) BeginTrial(trial Trial) bool {
	if !t.beginTrial(trial) {
		return false
	}
	t.onChange()
	return true
}

func (t *Tracker) beginTrial(trial Trial) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	for _, key := range trial.keys {
		if e := t.trials[key]; e != nil && t.now.Sub(e.at) < trialTime {
			return false
		}
	}
	t.counts.Trials++
	for _, key := range trial.keys {
		t.trials[key] = &event{at: t.now, seen: seen{at: t.now}}
	}
	return true
}

// RecordCrash records that a server crashed, and the requests whose answers had not begun there. It
// is called for crashes without such requests too: these tell that servers crash for other reasons.
func (t *Tracker) RecordCrash(server uint64, at time.Time, requests []Request) {
	var suspects []Suspect
	for _, r := range requests {
		for _, trait := range r.Traits {
			suspects = append(suspects, Suspect{Trait: trait, Workspace: r.Workspace})
		}
	}
	t.mu.Lock()
	t.updateTime()
	changed := t.mergeCrash(server, at, suspects, Own)
	if changed {
		t.conclude()
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// RecordStart records that the answer to a request has begun, which clears its traits.
func (t *Tracker) RecordStart(r Request) {
	if t.idle.Load() {
		return
	}
	t.mu.Lock()
	t.updateTime()
	changed, blamed := false, false
	for _, trait := range r.Traits {
		if t.open[trait.Key] == 0 {
			continue
		}
		t.starts[trait.Key] = &event{at: t.now, seen: seen{at: t.now}}
		delete(t.open, trait.Key)
		changed, blamed = true, blamed || t.blamed[trait.Key] != nil
	}
	if blamed {
		t.conclude()
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// Apply merges an update of another process.
func (t *Tracker) Apply(u Update, origin Origin) {
	if u.IsEmpty() {
		return
	}
	t.mu.Lock()
	t.updateTime()
	changed, decisive := false, false
	for _, c := range u.Crashes {
		if c.Age >= 0 && c.Age < retention {
			decisive = t.mergeCrash(c.Server, t.now.Add(-c.Age), c.Suspects, origin) || decisive
		}
	}
	for _, e := range u.Starts {
		if t.mergeEvent(t.starts, e, origin) {
			changed = true
			t.reopen(e.Key)
			decisive = decisive || t.blamed[e.Key] != nil
		}
	}
	for _, e := range u.Trials {
		changed = t.mergeEvent(t.trials, e, origin) || changed
	}
	if decisive {
		t.conclude()
	}
	t.forgetEvents(t.starts)
	t.forgetEvents(t.trials)
	changed = changed || decisive
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// mergeCrash adds what is new of a crash, and reports whether anything is.
func (t *Tracker) mergeCrash(server uint64, at time.Time, suspects []Suspect, origin Origin) bool {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.server == server && at.Sub(c.at).Abs() < sameCrash })
	changed := i < 0
	var c *crash
	if changed {
		c = &crash{server: server, at: at}
		t.crashes = append(t.crashes, c)
	} else {
		c = t.crashes[i]
	}
	if at.Before(c.at) {
		c.at = at // each process that passes it on makes it look younger
	}
	for _, s := range suspects {
		if s.Key != 0 && len(c.suspects) < maxSuspects && !slices.Contains(c.suspects, s) {
			c.suspects = append(c.suspects, s)
			changed = true
		}
	}
	if changed {
		c.seen = seen{origin: origin, at: t.now}
	}
	return changed
}

// reopen counts the crashes of a suspect since its last answer.
func (t *Tracker) reopen(key uint64) {
	delete(t.open, key)
	for _, c := range t.crashes {
		if !t.answered(key, c) && slices.ContainsFunc(c.suspects, func(s Suspect) bool { return s.Key == key }) {
			t.open[key]++
		}
	}
}

// mergeEvent keeps the later event of a trait, and reports whether it is a new one.
func (t *Tracker) mergeEvent(events map[uint64]*event, e Event, origin Origin) bool {
	at := t.now.Add(-e.Age)
	if e.Key == 0 || e.Age < 0 || e.Age >= retention {
		return false
	}
	if known := events[e.Key]; known != nil && !at.After(known.at.Add(momentGap)) {
		return false
	}
	events[e.Key] = &event{at: at, seen: seen{origin: origin, at: t.now}}
	return true
}

// Counts returns the tracker's numbers.
func (t *Tracker) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	counts := t.counts
	counts.Crashes, counts.Suspect = len(t.crashes), len(t.open)
	for key := range t.blamed {
		counts.Blamed = append(counts.Blamed, t.describe(key))
	}
	slices.SortFunc(counts.Blamed, func(x, y Blame) int { return cmp.Compare(x.Key, y.Key) })
	return counts
}

// Blamed returns the description of a blamed trait.
func (t *Tracker) Blamed(key uint64) (Blame, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	if t.blamed[key] == nil {
		return Blame{}, false
	}
	return t.describe(key), true
}

func (t *Tracker) describe(key uint64) Blame {
	b := t.blamed[key]
	return Blame{
		Key: key, Moments: b.moments, Servers: len(b.crashes), Workspaces: len(b.workspaces),
		First: t.now.Sub(b.crashes[0].at), Last: t.now.Sub(b.last()), Until: max(t.trialAt(key, b).Sub(t.now), 0),
	}
}

func (b *blame) last() time.Time { return b.crashes[len(b.crashes)-1].at }

// refusalTime returns how long requests are refused after the last crash.
func refusalTime(moments int) time.Duration {
	if moments <= minMoments {
		return firstRefusal
	}
	return min(nextRefusal<<min(moments-minMoments-1, 8), retention/2)
}

// updateTime advances the tracker's time, which never goes back.
func (t *Tracker) updateTime() {
	if now := t.clock.Now(); now.After(t.now) {
		t.now = now
	}
}
