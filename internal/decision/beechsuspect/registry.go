package beechsuspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// sameEventWithin is how far apart two reports of one event may be. Each transfer between
	// processes makes a record look younger by its transit time. If that were taken for a later
	// event, two processes that send records to each other would keep a suspicion alive forever.
	sameEventWithin = 2 * time.Second

	// nearExpiryDivisor: a record in the last tenth of its retention is not accepted as new.
	// Otherwise two processes whose records are slightly apart would return it to each other
	// whenever it expires at one of them.
	nearExpiryDivisor = 10

	// recentTime is how long a change is included in heartbeats: in several of them, because
	// one may be lost.
	recentTime = 5 * time.Second

	// maxCrashes bounds the crashes counted for a request.
	maxCrashes = 16
)

type (
	// Settings of a registry. Zero values are replaced by those of Defaults.
	Settings struct {
		Retention   time.Duration // how long a suspicion or a clearing is kept
		RefusalTime time.Duration // after the second crash; doubles with each further one, up to half of Retention
		MaxRecords  int
	}

	// Record describes a request that was running when a server crashed. Age is the time since
	// the last crash, or since the request was cleared.
	Record struct {
		Fingerprint uint64
		Crashes     int
		Age         time.Duration
		Cleared     bool
	}

	// Verdict is the answer to Check: Allow, Isolate or Refuse.
	Verdict interface{ verdict() }

	// Allow lets the request run without restrictions.
	Allow struct{}

	// Isolate lets the request run, but not at the same time as another suspect.
	Isolate struct{}

	// Refuse rejects the request before it runs. It may be retried after After.
	Refuse struct{ After time.Duration }

	// Registry holds the suspects known to one process. It is safe for concurrent use.
	Registry struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		now      time.Time // never steps back
		entries  map[uint64]*entry
	}

	entry struct {
		crashes      int
		lastEvent    time.Time // last crash, or the clearing
		cleared      bool
		triedCrashes int       // crashes known when the request was last allowed to run
		changed      time.Time // when this process learned of it
	}
)

// Defaults are the default settings; the package comment gives the reasons.
var Defaults = Settings{Retention: 30 * time.Minute, RefusalTime: 5 * time.Minute, MaxRecords: 1024}

func (Allow) verdict()   {}
func (Isolate) verdict() {}
func (Refuse) verdict()  {}

// New returns an empty registry.
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

// RecordCrash records the requests that were running when a server crashed. A request that was
// allowed to run as a suspect has crashed once more than was known then. One that was allowed to
// run before any crash was known has crashed once, however many processes report that crash, so
// that no request is refused after a single crash.
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

// RecordSuccess clears a request that has finished. The record is kept as cleared, because a process
// that does not know of the clearing yet must not restore the suspicion.
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

// Check returns how a request may run. It must be called before each attempt. Explained is the number
// of its crashes for which something that it does not have is blamed, such as a prompt part of a
// request that ran beside it.
func (r *Registry) Check(fingerprint uint64, explained int) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	e := r.lookup(fingerprint)
	if e == nil || e.cleared {
		return Allow{}
	}
	crashes := max(e.crashes-explained, 0)
	if left := e.lastEvent.Add(r.refusalTime(crashes)).Sub(r.now); left > 0 {
		return Refuse{After: left}
	}
	e.triedCrashes = e.crashes
	if crashes == 0 {
		return Allow{}
	}
	return Isolate{}
}

// RecordAttempt records that another process lets a request run, and the number of crashes known
// there. A record passed to Merge would count as a crash that happened now: a request that may be
// retried after its refusal would be refused again by each process it reaches.
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

// List returns all records, for a process that starts: those with the most crashes first, and of
// these the latest.
func (r *Registry) List() []Record { return r.list(0) }

// RecentChanges returns the records that changed recently, for heartbeats. All records would take
// more space than the rest of a heartbeat.
func (r *Registry) RecentChanges() []Record { return r.list(recentTime) }

// Merge merges the records of other processes. The later event applies, and the higher number of
// crashes if both records know of the same crash.
func (r *Registry) Merge(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	for _, record := range records {
		if record.Fingerprint == 0 || record.Crashes <= 0 || record.Age >= r.settings.Retention {
			continue
		}
		r.mergeRecord(record)
	}
	r.evict()
}

func (r *Registry) mergeRecord(record Record) {
	crashes := min(record.Crashes, maxCrashes)
	at := r.now.Add(-max(record.Age, 0))
	e := r.lookup(record.Fingerprint)
	if e == nil && record.Age >= r.settings.Retention-r.settings.Retention/nearExpiryDivisor {
		return
	}
	if e == nil {
		r.entries[record.Fingerprint] = &entry{crashes: crashes, lastEvent: at, cleared: record.Cleared, changed: r.now}
		return
	}
	later := at.Sub(e.lastEvent)
	switch {
	case e.cleared == record.Cleared && crashes > e.crashes:
		e.crashes, e.changed = crashes, r.now
		if later > 0 {
			e.lastEvent = at
		}
	case e.cleared == record.Cleared && later > sameEventWithin:
		e.lastEvent, e.changed = at, r.now
	case e.cleared != record.Cleared && overrides(record.Cleared, later):
		*e = entry{crashes: crashes, lastEvent: at, cleared: record.Cleared, changed: r.now}
	}
}

// overrides reports whether a record replaces the known entry, where one of them is cleared and the
// other is not. later is how much later the record's event is. A request is cleared after its crash,
// so if both events have about the same time, the clearing is the later one.
func overrides(cleared bool, later time.Duration) bool {
	if cleared {
		return later > -sameEventWithin
	}
	return later > sameEventWithin
}

// lookup returns an entry that has not expired, or nil.
func (r *Registry) lookup(fingerprint uint64) *entry {
	e := r.entries[fingerprint]
	if e != nil && r.now.Sub(e.lastEvent) >= r.settings.Retention {
		delete(r.entries, fingerprint)
		return nil
	}
	return e
}

// refusalTime returns how long a request is refused after its last crash.
func (r *Registry) refusalTime(crashes int) time.Duration {
	if crashes < 2 {
		return 0
	}
	return min(r.settings.RefusalTime<<(crashes-2), r.settings.Retention/2)
}

func (r *Registry) list(within time.Duration) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTime()
	var out []Record
	for f, e := range r.entries {
		if r.lookup(f) == nil || (within > 0 && r.now.Sub(e.changed) > within) {
			continue
		}
		out = append(out, Record{Fingerprint: f, Crashes: e.crashes, Age: r.now.Sub(e.lastEvent), Cleared: e.cleared})
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(b.severity()-a.severity(), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// severity orders records by the harm done if they were deleted.
func (r Record) severity() int {
	if r.Cleared {
		return 0
	}
	return r.Crashes
}

// evict deletes records beyond MaxRecords, the least severe and oldest first. A crash of a large
// batch must not evict requests that have crashed twice.
func (r *Registry) evict() {
	if len(r.entries) <= r.settings.MaxRecords {
		return
	}
	type item struct {
		fingerprint uint64
		entry       *entry
	}
	all := make([]item, 0, len(r.entries))
	for f, e := range r.entries {
		all = append(all, item{f, e})
	}
	slices.SortFunc(all, func(a, b item) int {
		return cmp.Or(b.entry.severity()-a.entry.severity(), b.entry.lastEvent.Compare(a.entry.lastEvent), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, k := range all[r.settings.MaxRecords:] {
		delete(r.entries, k.fingerprint)
	}
}

func (e *entry) severity() int { return Record{Crashes: e.crashes, Cleared: e.cleared}.severity() }

// updateTime advances the registry's time, which never goes back.
func (r *Registry) updateTime() {
	if now := r.clock.Now(); now.After(r.now) {
		r.now = now
	}
}
