package beechsuspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// sameTime is how far apart two reports of one event may be. Each hop between
	// processes makes a record look younger by its transit; were that believed, two
	// processes that tell each other would keep a suspicion alive for ever.
	sameEventWithin = 2 * time.Second

	// lastPart: a record in the last tenth of its time is not taken in as new.
	// Two processes whose records are a little apart would else give it back to
	// each other each time it expires at one of them.
	nearExpiryDivisor = 10

	// news is how long a change is passed on with heartbeats: several of them,
	// so that one that is lost does no harm.
	recentTime = 5 * time.Second

	// maxCrashes bounds what is told of a request.
	maxCrashes = 16
)

type (
	// Settings of the register. Zero values are taken from Defaults.
	Settings struct {
		Retention   time.Duration // how long a suspicion or its clearing lasts
		RefusalTime time.Duration // after the second crash; doubles with each more, up to half of Keep
		MaxRecords  int           // records
	}

	// Record is a request that was running when a server crashed. Age is the
	// time since its last crash, or since it was cleared.
	Record struct {
		Fingerprint uint64
		Crashes     int
		Age         time.Duration
		Cleared     bool
	}

	// Verdict is the answer to Check: Clear, Alone or Refuse.
	Verdict interface{ verdict() }

	// Allow lets the request run as any other.
	Allow struct{}

	// Isolate lets the request run beside no other suspect.
	Isolate struct{}

	// Refuse turns the request away, not run. After says when it may be tried
	// again.
	Refuse struct{ After time.Duration }

	// Registry holds the suspects that one process knows. It is safe for
	// concurrent use.
	Registry struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		now      time.Time // never steps back
		entries  map[uint64]*entry
	}

	entry struct {
		crashes      int
		lastEvent    time.Time // of the last crash or the clearing
		cleared      bool
		triedCrashes int       // crashes that were known when it was last let run
		changed      time.Time // when this process learned of it
	}
)

// Defaults are the settings where none are given; the package comment says
// why.
var Defaults = Settings{Retention: 30 * time.Minute, RefusalTime: 5 * time.Minute, MaxRecords: 1024}

func (Allow) verdict()   {}
func (Isolate) verdict() {}
func (Refuse) verdict()  {}

// New returns an empty register.
func New(s Settings, c clockwork.Clock) *Registry {
	if s.Retention <= 0 {
		s.Retention = Defaults.Retention
	}
	if s.RefusalTime <= 0 {
		s.RefusalTime = Defaults.RefusalTime
	}
	if s.MaxRecords <= 0 {
		s.MaxRecords = Defaults.MaxRecords
	}
	return &Registry{settings: s, clock: c, now: c.Now(), entries: make(map[uint64]*entry)}
}

// RecordCrash tells what was running when a server crashed. A request that was let
// run as a suspect has crashed once more than was known then. One that was let
// run before anything was known has crashed once, however many processes tell
// of that crash, so that none is refused for a single one.
func (r *Registry) RecordCrash(running []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	for _, f := range running {
		if f == 0 {
			continue
		}
		e := r.lookup(f)
		if e == nil || e.cleared {
			e = &entry{}
			r.entries[f] = e
		}
		e.crashes = min(max(e.crashes, e.triedCrashes+1), maxCrashes)
		e.lastEvent, e.changed = r.now, r.now
	}
	r.evict()
}

// RecordSuccess clears a request that ran to its end. It is no poison, and a
// process that has not heard so yet must not bring the suspicion back; so the
// record stays, as cleared.
func (r *Registry) RecordSuccess(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	e := r.lookup(fingerprint)
	if e == nil || e.cleared {
		return
	}
	*e = entry{crashes: e.crashes, lastEvent: r.now, cleared: true, changed: r.now}
}

// Check says how a request may run, and is asked before each attempt.
func (r *Registry) Check(fingerprint uint64) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	e := r.lookup(fingerprint)
	if e == nil || e.cleared {
		return Allow{}
	}
	if left := e.lastEvent.Add(r.refusalTime(e.crashes)).Sub(r.now); left > 0 {
		return Refuse{After: left}
	}
	e.triedCrashes = e.crashes
	return Isolate{}
}

// RecordAttempt tells that another process lets the request run, and how many crashes
// it knows of. Merged as a record, whose crash is of now, a request that may be
// tried again after its refusal would be refused anew by each process it comes to.
func (r *Registry) RecordAttempt(fingerprint uint64, crashes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	crashes = min(crashes, maxCrashes)
	if fingerprint == 0 || crashes <= 0 {
		return
	}
	e := r.lookup(fingerprint)
	if e == nil || e.cleared {
		e = &entry{lastEvent: r.now.Add(-r.refusalTime(crashes))}
		r.entries[fingerprint] = e
	}
	e.crashes = max(e.crashes, crashes)
	e.triedCrashes = max(e.triedCrashes, crashes)
	r.evict()
}

// List gives all records, for a process that starts; the most dangerous first,
// then the latest.
func (r *Registry) List() []Record { return r.list(0) }

// RecentChanges gives the records that changed lately, for heartbeats. The whole list
// on each would cost more than all else that heartbeats carry.
func (r *Registry) RecentChanges() []Record { return r.list(recentTime) }

// Merge takes in other processes' records. The later event counts, and of one
// crash that both know the higher number.
func (r *Registry) Merge(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	for _, n := range records {
		if n.Fingerprint == 0 || n.Crashes <= 0 || n.Age >= r.settings.Retention {
			continue
		}
		r.mergeRecord(n)
	}
	r.evict()
}

func (r *Registry) mergeRecord(n Record) {
	crashes := min(n.Crashes, maxCrashes)
	at := r.now.Add(-max(n.Age, 0))
	e := r.lookup(n.Fingerprint)
	if e == nil && n.Age >= r.settings.Retention-r.settings.Retention/nearExpiryDivisor {
		return
	}
	if e == nil {
		r.entries[n.Fingerprint] = &entry{crashes: crashes, lastEvent: at, cleared: n.Cleared, changed: r.now}
		return
	}
	later := at.Sub(e.lastEvent)
	switch {
	case e.cleared == n.Cleared && crashes > e.crashes:
		e.crashes, e.changed = crashes, r.now
		if later > 0 {
			e.lastEvent = at
		}
	case e.cleared == n.Cleared && later > sameEventWithin:
		e.lastEvent, e.changed = at, r.now
	case e.cleared != n.Cleared && overrides(n.Cleared, later):
		*e = entry{crashes: crashes, lastEvent: at, cleared: n.Cleared, changed: r.now}
	}
}

// overrides tells whether news replaces what is known where one says cleared
// and the other not. A request is cleared after its crash, so at about the same
// time the clearing is the later of the two.
func overrides(cleared bool, later time.Duration) bool {
	if cleared {
		return later > -sameEventWithin
	}
	return later > sameEventWithin
}

// live gives a record that has not expired.
func (r *Registry) lookup(fingerprint uint64) *entry {
	e := r.entries[fingerprint]
	if e != nil && r.now.Sub(e.lastEvent) >= r.settings.Retention {
		delete(r.entries, fingerprint)
		return nil
	}
	return e
}

// refusal is how long a request is refused after its last crash.
func (r *Registry) refusalTime(crashes int) time.Duration {
	if crashes < 2 {
		return 0
	}
	return min(r.settings.RefusalTime<<(crashes-2), r.settings.Retention/2)
}

func (r *Registry) list(changed time.Duration) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	var out []Record
	for f, e := range r.entries {
		if r.lookup(f) == nil || (changed > 0 && r.now.Sub(e.changed) > changed) {
			continue
		}
		out = append(out, Record{Fingerprint: f, Crashes: e.crashes, Age: r.now.Sub(e.lastEvent), Cleared: e.cleared})
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(b.severity()-a.severity(), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// rank orders records by the harm that forgetting them would do.
func (n Record) severity() int {
	if n.Cleared {
		return 0
	}
	return n.Crashes
}

// shrink keeps the number of records within Max. A crash of a large batch must not
// push out what has crashed twice.
func (r *Registry) evict() {
	if len(r.entries) <= r.settings.MaxRecords {
		return
	}
	type kept struct {
		fingerprint uint64
		entry       *entry
	}
	all := make([]kept, 0, len(r.entries))
	for f, e := range r.entries {
		all = append(all, kept{f, e})
	}
	slices.SortFunc(all, func(a, b kept) int {
		return cmp.Or(b.entry.severity()-a.entry.severity(), b.entry.lastEvent.Compare(a.entry.lastEvent), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, k := range all[r.settings.MaxRecords:] {
		delete(r.entries, k.fingerprint)
	}
}

func (e *entry) severity() int { return Record{Crashes: e.crashes, Cleared: e.cleared}.severity() }

// tick takes over the time, which stands still while the clock steps back.
func (r *Registry) updateTime() {
	if now := r.clock.Now(); now.After(r.now) {
		r.now = now
	}
}
