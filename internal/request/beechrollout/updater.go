package beechrollout

import "time"

type (
	// Target is the version that an engine is to have.
	Target struct {
		Model      string
		Version    uint64
		Fence      uint64    // grows with the version
		Granted    bool      // the engine's turn has come
		FallbackAt time.Time // it takes its turn by itself then, if no gate is heard
	}

	// Report is what an engine says of itself.
	Report struct {
		Known    bool
		Versions map[string]uint64
		Busy     bool // an order is being carried out
		Sequence uint64
		Born     uint64 // Unix milliseconds at which its lifetime began; 0 is not told
		Running  int
		Waiting  int
	}

	// Updater takes one engine through its turns. It is not safe for concurrent
	// use.
	Updater struct {
		settings   Settings
		targets    map[string]Target
		versions   map[string]*VersionHistory
		heard      time.Time // when a gate last named a target
		left       time.Time // when the engine left the choice; zero: it is in it
		tried      time.Time // when the last order was sent
		silent     int       // reports in a row that did not come
		unanswered int       // orders in a row
		loading    bool      // an order was sent and is not seen to have ended
		began      time.Time // when the load under way was taken up; zero: none is
		had        uint64    // sum of the engine's versions then
		took       time.Duration
		ordered    Target // by the last order
		last       Report // the last that came
	}

	// Step is what to do next: Wait, Leave or Order.
	Step interface{ step() }

	// Wait does nothing for a time. Phase says how the engine may be used.
	Wait struct {
		After time.Duration
		Phase Phase
	}

	// Order sends the order for the target, on condition that the engine's
	// sequence is still Sequence.
	Order struct {
		Target   Target
		Sequence uint64
	}

	// Answer is how an engine took an order.
	Answer int

	// Phase says how an engine may be used.
	Phase int
)

// Phases of an engine.
const (
	Serving Phase = iota
	Leaving       // no new work, its turn is near
	Loading       // an order is being carried out
	Down          // it does not answer its own host
)

// Answers to orders.
const (
	Taken    Answer = iota // it is being carried out, or holds already
	Conflict               // another is under way, or the sequence differs: look again
	Silent                 // no answer
)

const (
	idlePoll    = 200 * time.Millisecond
	activePoll  = 40 * time.Millisecond
	repeatAfter = 700 * time.Millisecond // an order without effect is sent again
	silentMost  = 2                      // one report may be lost with a kept connection
	aloneAfter  = 3 * time.Second        // without a gate's word a keeper acts by itself; gates speak each 0.7 s
	settleTime  = 60 * time.Millisecond  // what was sent before the gates heard of leaving has arrived by then
)

func (Wait) step()  {}
func (Order) step() {}

// String names a phase, as metrics do.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Loading:
		return "loading"
	case Down:
		return "down"
	}
	return "unknown" // it came in a datagram
}

// String names an answer, as metrics do.
func (a Answer) String() string {
	switch a {
	case Taken:
		return "taken"
	case Conflict:
		return "conflict"
	}
	return "silent"
}

// NewUpdater returns the turns of one engine, which has no target yet.
func NewUpdater(s Settings) *Updater {
	return &Updater{settings: s.withDefaults(), targets: make(map[string]Target), versions: make(map[string]*VersionHistory)}
}

// SetTarget takes in a gate's word on a target. A turn that any gate has granted
// stays granted. Older versions are passed over, so a version that was overtaken
// before the order is never loaded.
func (t *Updater) SetTarget(target Target, now time.Time) {
	t.heard = now
	if t.versions[target.Model] == nil {
		t.versions[target.Model] = &VersionHistory{}
	}
	t.versions[target.Model].Add(target.Version, now)
	old, ok := t.targets[target.Model]
	if ok && old.Version > target.Version {
		return
	}
	leaving := !t.left.IsZero() && !t.loading
	if ok && old.Granted && (old.Version == target.Version || leaving) {
		target.Granted = true
	}
	t.targets[target.Model] = target
}

// SupersededFor is the time since the engine's weights were overtaken, as far as this
// keeper was told; 0: they were not.
func (t *Updater) SupersededFor(now time.Time) time.Duration {
	var longest time.Duration
	for model, have := range t.last.Versions {
		if v, ok := t.versions[model]; ok {
			age, _ := v.SupersededFor(have, now)
			longest = max(longest, age)
		}
	}
	return longest
}

// LoadTime is how long the engine's last load took, from the order's being taken up to
// the report of newer weights; 0 before the first. Only the keeper can tell: what
// gates see of it begins with the order's sending, and an order without an answer
// may be taken up seconds later.
func (t *Updater) LoadTime() time.Duration { return t.took }

// time follows a load from its beginning to its end.
func (t *Updater) time(now time.Time, r Report) {
	switch {
	case r.Busy && t.began.IsZero():
		t.began, t.had = now, r.sum()
	case !r.Busy && !t.began.IsZero() && r.sum() > t.had:
		t.began, t.took = time.Time{}, now.Sub(t.began)
	case !r.Busy && !t.loading:
		t.began = time.Time{}
	}
}

// sum adds up the engine's versions: it grows with each load.
func (r Report) sum() uint64 {
	sum := uint64(0)
	for _, version := range r.Versions {
		sum += version
	}
	return sum
}

// UnansweredOrders is how many orders in a row the engine has left unanswered.
func (t *Updater) UnansweredOrders() int { return t.unanswered }

// Restarted tells whether the engine has begun another lifetime since an
// earlier report, under the same ID: by its birth, or since its count of orders
// has gone back.
func (r Report) Restarted(before Report) bool {
	return (r.Born != before.Born && before.Born != 0) || r.Sequence < before.Sequence
}

// Next says what to do, given what the engine reports.
func (t *Updater) Next(now time.Time, r Report) Step {
	if !r.Known {
		if t.silent++; t.silent < silentMost {
			return Wait{After: activePoll, Phase: t.phase()}
		}
		return Wait{After: activePoll, Phase: Down}
	}
	t.silent = 0
	if r.Restarted(t.last) {
		t.done() // an order that was under way is lost with the lifetime it was for
	}
	t.time(now, r)
	t.last = r
	if r.Busy {
		t.loading, t.unanswered = true, 0
		return Wait{After: activePoll, Phase: Loading}
	}
	if t.loading && r.Versions[t.ordered.Model] >= t.ordered.Version {
		t.done() // a newer one that was named meanwhile has a turn of its own
	}
	target, ok := t.due(r)
	if !ok {
		t.done()
		return Wait{After: idlePoll, Phase: Serving}
	}
	if t.left.IsZero() && !t.comes(target, now) {
		return Wait{After: idlePoll, Phase: Serving}
	}
	if t.left.IsZero() {
		t.left = now
		return Wait{After: activePoll, Phase: Leaving}
	}
	if t.loading && now.Sub(t.tried) < repeatAfter {
		return Wait{After: activePoll, Phase: Loading}
	}
	if t.unanswered > 0 && now.Sub(t.tried) < repeatAfter {
		// The order may be carried out at any time or never. Until then the
		// engine works as before; kept out of the choice it would stand idle
		// for as long as its orders are lost, and a whole fleet with it.
		return Wait{After: activePoll, Phase: Serving}
	}
	empty := r.Running == 0 && r.Waiting == 0 && now.Sub(t.left) >= settleTime
	if t.unanswered == 0 && !empty && now.Sub(t.left) < t.settings.DrainTime {
		return Wait{After: activePoll, Phase: Leaving}
	}
	t.tried, t.loading, t.ordered = now, true, target
	return Order{Target: target, Sequence: r.Sequence}
}

// RecordAnswer tells how the engine took the last order. Without an answer it may
// be carried out yet, on condition of the sequence, which it then changes.
func (t *Updater) RecordAnswer(a Answer) {
	switch a {
	case Taken:
		t.loading, t.unanswered = true, 0
		if t.began.IsZero() {
			t.began, t.had = t.tried, t.last.sum()
		}
	case Conflict:
		t.loading = false
		t.tried = time.Time{}
	case Silent:
		t.loading = false
		t.unanswered++
	}
}

func (t *Updater) phase() Phase {
	switch {
	case t.loading:
		return Loading
	case !t.left.IsZero() && t.unanswered == 0:
		return Leaving
	}
	return Serving
}

// done puts the engine back into the choice.
func (t *Updater) done() {
	t.left, t.began = time.Time{}, time.Time{}
	t.loading, t.unanswered = false, 0
}

// comes tells whether the engine's turn has come.
func (t *Updater) comes(target Target, now time.Time) bool {
	return target.Granted || (now.Sub(t.heard) >= aloneAfter && !now.Before(target.FallbackAt))
}

// due gives a target that the engine does not have yet, one whose turn was
// granted before others.
func (t *Updater) due(r Report) (Target, bool) {
	var due Target
	found := false
	for model, target := range t.targets {
		have, serves := r.Versions[model]
		if !serves || have >= target.Version {
			continue
		}
		if !found || (target.Granted && !due.Granted) {
			due, found = target, true
		}
	}
	return due, found
}
