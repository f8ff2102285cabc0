package beechthrottle

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechquota"
)

type (
	// Clock returns the time since an arbitrary start, including time spent suspended.
	Clock interface{ Now() time.Duration }

	// Event is a change to log: LimitStarted, LimitChanged, LimitEnded or LimitIgnored.
	Event interface{ event() }

	// LimitStarted means that a server without a limit has one now.
	LimitStarted struct{ LimitStatus }

	// LimitChanged means that the rate of a server's limit has changed.
	LimitChanged struct {
		LimitStatus
		Previous float64
	}

	// LimitEnded means that a server no longer has a limit. Rate is the previous rate.
	LimitEnded struct{ LimitStatus }

	// LimitIgnored means that a server's response named an invalid limit.
	LimitIgnored struct{ Server, Text string }

	// LimitStatus is the state of a server's limit.
	LimitStatus struct {
		Server   string        // ID, or the ID's hash if no such server is listed
		Rate     float64       // requests per second
		Source   string        `json:"From"`  // the gate that reported the limit; empty if the server's response did
		Header   string        `json:"Field"` // header field of the response that named the limit
		Age      time.Duration // time since the limit was last confirmed
		Sent     int           `json:"Given"` // requests that this gate has sent since the limit is known
		Withheld int           `json:"Held"`  // requests that this gate sent elsewhere, or refused, because of the limit
	}

	// State is a snapshot of a throttle for metrics.
	State struct {
		Limited  int              // number of servers with a limit
		Sent     int              `json:"Given"`      // requests to such servers
		Withheld int              `json:"Held"`       // requests sent elsewhere, or refused, because of a limit
		Invalid  int              `json:"PassedOver"` // responses with invalid limits
		Quota    beechquota.State `json:"Counting"`
		Servers  []LimitStatus    // those with the most requests first
	}

	// Throttle enforces the limits of all servers at one gate. It is safe for concurrent use.
	Throttle struct {
		clock          Clock
		onEvent        func(Event)
		onUrgent       func()
		quotas         *beechquota.Limiter
		limitedServers atomic.Int64 // number of servers with a limit

		mu             sync.Mutex
		table          limitTable
		serverIDs      map[uint64]string // IDs of the listed servers, by hash
		lastSweep      time.Duration
		lastRefresh    time.Duration
		sent, withheld int
		invalid        int
	}
)

const (
	// maxServers bounds the table. It is more than the servers that name a limit at once in
	// any fleet.
	maxServers  = 16384
	maxStatuses = 32 // in State
	// burst is how many requests may be sent at once to a server that was sent none for a
	// while.
	burst = 1
	// freshFor is how long a limit is relied on without being confirmed. After that, a server
	// that gets few requests is probed, because otherwise no gate would learn that its limit
	// has ended. Each gate probes at its own time, within as long again.
	freshFor = 2 * time.Second
	// A limit that is not confirmed for relaxAfter is relaxed: its rate doubles in each
	// relaxDoubling, up to maxRelaxFactor times, and probeRate per second is added. Without
	// probeRate, a limit of 0 would never be probed.
	relaxAfter     = 8 * time.Second
	relaxDoubling  = 4 * time.Second
	maxRelaxFactor = 4
	probeRate      = 0.25
	// minRate replaces a limit of 0, because beechquota takes a rate of 0 for no limit.
	minRate = 0.001
	// retention is how long a limit is kept that is not confirmed, or that has ended. Late
	// updates about an ended limit can be recognized as old during this time.
	retention = time.Minute
	// sweepInterval is the time between passes that relax and delete limits.
	sweepInterval = 500 * time.Millisecond
)

// bounds allow half of a limit more, for requests in transit, and 5 requests, 1.5 of which are
// the burst and its overage. Retention is longer than the usual time for which servers name
// limits: if some gates had deleted the account and restarted counting from 0 and others had not,
// the totals of the former would appear to decrease and be discarded.
var bounds = beechquota.Bounds{Window: 4 * time.Second, Overage: 0.5, Slack: 3.5, RandomDraw: true, Retention: 10 * time.Minute}

func (LimitStarted) event() {}
func (LimitChanged) event() {}
func (LimitEnded) event()   {}
func (LimitIgnored) event() {}

// New returns a throttle without limits. host identifies this gate and stays the same over
// restarts; lifetime is unique to this run of it. quotaClock is used for counting. onEvent is
// called for changes to log, and onUrgent when the other gates must be sent an update at once;
// neither may call the throttle.
func New(host string, lifetime uint64, clock Clock, quotaClock clockwork.Clock, onEvent func(Event), onUrgent func()) *Throttle {
	return &Throttle{
		clock: clock, onEvent: onEvent, onUrgent: onUrgent, quotas: beechquota.New(host, lifetime, bounds, quotaClock),
		table: limitTable{make(map[uint64]*limitEntry)},
	}
}

// SetGates sets the number of gates, including this one.
func (t *Throttle) SetGates(n int) { t.quotas.SetGates(n) }

// Now returns the time of the throttle's clock.
func (t *Throttle) Now() time.Duration { return t.clock.Now() }

// SetServers sets the IDs of the listed servers.
func (t *Throttle) SetServers(ids []string) {
	names := make(map[uint64]string, len(ids))
	for _, id := range ids {
		names[xxhash.Sum64String(id)] = id
	}
	t.mu.Lock()
	t.serverIDs = names
	t.mu.Unlock()
}

// HasLimits reports whether any server has a limit.
func (t *Throttle) HasLimits() bool { return t.limitedServers.Load() > 0 }

// Observe processes the limit named by a server's response; startTime is when the server's current
// lifetime began, and sent is when the request was sent.
func (t *Throttle) Observe(server string, startTime uint64, limit ServerLimit, sent time.Duration) {
	observation := Observation{StartTime: startTime, Rate: unlimited, Sent: sent, Received: t.clock.Now()}
	header := ""
	switch v := limit.(type) {
	case RateLimit:
		observation.Rate, header = v.Rate, v.Header
	case InvalidLimit:
		t.mu.Lock()
		t.invalid++
		t.mu.Unlock()
		t.onEvent(LimitIgnored{Server: server, Text: v.Text})
		return
	case NoLimit:
		if !t.HasLimits() {
			return
		}
	default:
		return // the response's headers are not known
	}
	t.mu.Lock()
	event, confirmed := t.apply(xxhash.Sum64String(server), observation, "")
	t.mu.Unlock()
	if event != nil || confirmed {
		t.onUrgent()
	}
	t.emit(event, header)
}

// ServerRestarted drops the limit of a server that has restarted under its ID, or is gone. It has
// no limit until it names one again.
func (t *Throttle) ServerRestarted(server string, startTime uint64) {
	if !t.HasLimits() {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	key := xxhash.Sum64String(server)
	var event Event
	if entry := t.table.entries[key]; entry.limited() {
		previous := entry.Rate
		entry.replace(Observation{StartTime: max(startTime, entry.StartTime), Rate: unlimited, Sent: now, Received: now})
		event = t.applyChange(key, entry, previous, now, "")
	}
	t.mu.Unlock()
	t.emit(event, "")
}

// apply applies an observation of a server's limit. source is the gate that reported it, or empty
// for the server's own response. It returns an event to log, if any, and whether a limit that was
// no longer fresh has been confirmed. The caller holds the lock.
func (t *Throttle) apply(key uint64, o Observation, source string) (e Event, confirmed bool) {
	now := t.clock.Now()
	previous, stale := unlimited, false
	if old := t.table.entries[key]; old != nil {
		previous, stale = old.Rate, old.limited() && now-old.confirmedAt > freshFor
	}
	entry, changed := t.table.observe(key, o)
	if entry == nil {
		return nil, false
	}
	if source == "" && entry.Received == o.Received {
		entry.direct = true
	}
	if changed {
		return t.applyChange(key, entry, previous, now, source), false
	}
	if confirmed = stale && now-entry.confirmedAt <= freshFor; confirmed {
		t.enforce(key, entry, now)
	}
	if confirmed && source == "" {
		entry.sendsLeft = updateSends
	}
	return nil, confirmed
}

// applyChange enforces a changed limit and returns the event to log. The caller holds the lock.
func (t *Throttle) applyChange(key uint64, entry *limitEntry, previous float64, now time.Duration, source string) Event {
	s := t.status(key, entry, now)
	s.Source = source
	entry.sendsLeft, entry.direct = updateSends, source == ""
	t.enforce(key, entry, now)
	switch {
	case !entry.limited() && math.IsInf(previous, 1):
		return nil
	case !entry.limited():
		t.limitedServers.Add(-1)
		entry.sent, entry.withheld = 0, 0
		s.Rate = previous
		return LimitEnded{s}
	case math.IsInf(previous, 1):
		t.limitedServers.Add(1)
		return LimitStarted{s}
	}
	return LimitChanged{LimitStatus: s, Previous: previous}
}

// enforce sets the quota of a server to its limit, relaxed if it was not confirmed for long. The
// caller holds the lock.
func (t *Throttle) enforce(key uint64, entry *limitEntry, now time.Duration) {
	if entry.account == "" {
		entry.account = strconv.FormatUint(key, 16)
		entry.probeOffset = rand.Float64()
	}
	if !entry.limited() {
		t.quotas.SetLimit(entry.account, beechquota.Limit{})
		return
	}
	entry.enforced = entry.effectiveRate(now)
	t.quotas.SetLimit(entry.account, beechquota.Limit{Rate: max(entry.enforced, minRate), Burst: burst})
}

// effectiveRate returns the rate to enforce, which rises if the limit is not confirmed.
func (e *limitEntry) effectiveRate(now time.Duration) float64 {
	unconfirmed := now - e.confirmedAt - relaxAfter
	if unconfirmed <= 0 {
		return e.Rate
	}
	factor := min(math.Exp2(float64(unconfirmed)/float64(relaxDoubling)), maxRelaxFactor)
	return e.Rate*factor + probeRate
}

// emit passes on an event, if there is one.
func (t *Throttle) emit(e Event, header string) {
	switch v := e.(type) {
	case LimitStarted:
		v.Header = header
		t.onEvent(v)
	case LimitChanged:
		v.Header = header
		t.onEvent(v)
	case LimitEnded:
		t.onEvent(v)
	}
}

// Check returns whether a server may be sent a request now, without consuming anything.
func (t *Throttle) Check(server string) beechquota.Decision {
	entry := t.lookup(server)
	if entry == nil {
		return beechquota.Admitted{}
	}
	return t.quotas.Check(entry.account, 1)
}

// Acquire consumes a request of a server's limit if it admits one.
func (t *Throttle) Acquire(server string) beechquota.Decision {
	entry := t.lookup(server)
	if entry == nil {
		return beechquota.Admitted{}
	}
	d := t.quotas.Admit(entry.account, 1)
	if admitted, ok := d.(beechquota.Admitted); ok {
		t.mu.Lock()
		entry.sent++
		t.sent++
		t.mu.Unlock()
		if admitted.Urgent {
			t.onUrgent()
		}
	}
	return d
}

// Refund returns a request that could not be sent.
func (t *Throttle) Refund(server string) {
	if entry := t.lookup(server); entry != nil {
		t.quotas.Refund(entry.account, 1)
	}
}

// CountWithheld counts a request that was not sent to a server because of its limit.
func (t *Throttle) CountWithheld(server string) {
	entry := t.lookup(server)
	if entry == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.withheld++
	t.withheld++
}

// ProbeDue reports whether this gate should probe a server whose limit has not been confirmed for
// a while. If all gates probed at once, an overloaded server would receive a burst.
func (t *Throttle) ProbeDue(server string) bool {
	entry := t.lookup(server)
	if entry == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now()-entry.confirmedAt > freshFor+time.Duration(entry.probeOffset*float64(freshFor))
}

// Limited reports whether a server has a limit.
func (t *Throttle) Limited(server string) bool { return t.lookup(server) != nil }

// Rate returns the requests per second that are currently allowed to a server.
func (t *Throttle) Rate(server string) float64 {
	entry := t.lookup(server)
	if entry == nil {
		return unlimited
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(entry.enforced, minRate)
}

// lookup returns the entry of a server with a limit, or nil.
func (t *Throttle) lookup(server string) *limitEntry {
	if !t.HasLimits() {
		return nil
	}
	key := xxhash.Sum64String(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	if entry := t.table.entries[key]; entry.limited() {
		return entry
	}
	return nil
}

// sweep relaxes limits that have not been confirmed, and deletes old ones. The caller holds the
// lock.
func (t *Throttle) sweep() {
	now := t.clock.Now()
	if now-t.lastSweep < sweepInterval {
		return
	}
	t.lastSweep = now
	for key, entry := range t.table.entries {
		switch {
		case now-entry.confirmedAt > retention:
			if entry.limited() {
				t.limitedServers.Add(-1)
				t.quotas.SetLimit(entry.account, beechquota.Limit{})
			}
			delete(t.table.entries, key)
		case entry.limited() && entry.effectiveRate(now) != entry.enforced:
			t.enforce(key, entry, now)
		}
	}
}

func (t *Throttle) status(key uint64, entry *limitEntry, now time.Duration) LimitStatus {
	name := cmp.Or(t.serverIDs[key], strconv.FormatUint(key, 16))
	return LimitStatus{Server: name, Rate: entry.Rate, Age: max(now-entry.confirmedAt, 0), Sent: entry.sent, Withheld: entry.withheld}
}

// State returns a snapshot with the servers that had the most requests sent or withheld.
func (t *Throttle) State() State {
	counting := t.quotas.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := State{Sent: t.sent, Withheld: t.withheld, Invalid: t.invalid, Quota: counting}
	for key, entry := range t.table.entries {
		if entry.limited() {
			s.Limited++
			s.Servers = append(s.Servers, t.status(key, entry, now))
		}
	}
	slices.SortFunc(s.Servers, func(x, y LimitStatus) int {
		return cmp.Or(cmp.Compare(y.Sent+y.Withheld, x.Sent+x.Withheld), cmp.Compare(x.Server, y.Server))
	})
	s.Servers = s.Servers[:min(len(s.Servers), maxStatuses)]
	return s
}
