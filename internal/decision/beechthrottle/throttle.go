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
	// Clock gives the time since some start, suspensions included.
	Clock interface{ Now() time.Duration }

	// Event is something that a gate's log tells: Began, Changed, Ended or PassedOver.
	Event interface{ event() }

	// LimitStarted says that a server is known to have a limit now.
	LimitStarted struct{ LimitStatus }

	// LimitChanged says that its limit is another one now.
	LimitChanged struct {
		LimitStatus
		Previous float64
	}

	// LimitEnded says that it has none any more.
	LimitEnded struct{ LimitStatus }

	// LimitIgnored says that an answer named a limit that cannot be used.
	LimitIgnored struct{ Server, Text string }

	// LimitStatus is how it stands with a server's limit.
	LimitStatus struct {
		Server   string  // ID, or its hash where no server is listed that has it
		Rate     float64 // requests a second
		Source   string  `json:"From"`  // the gate that told it; empty where the server itself did
		Header   string  `json:"Field"` // of the answer that named it
		Age      time.Duration
		Sent     int `json:"Given"` // requests that this gate has sent there since the limit is known
		Withheld int `json:"Held"`  // and those that it sent elsewhere, or refused, for the limit
	}

	// State is what is believed, for metrics.
	State struct {
		Limited  int              // servers that name a limit
		Sent     int              `json:"Given"`      // requests to such servers
		Withheld int              `json:"Held"`       // those that went elsewhere, or were refused, for a limit
		Invalid  int              `json:"PassedOver"` // answers with limits that could not be used
		Quota    beechquota.State `json:"Counting"`
		Servers  []LimitStatus
	}

	// Throttle is one gate's view of all servers' limits. It is safe for concurrent use.
	Throttle struct {
		clock          Clock
		onEvent        func(Event)
		onUrgent       func()
		quotas         *beechquota.Limiter
		limitedServers atomic.Int64 // servers that name a limit

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
	// serversMost are remembered: more than name a limit at once in any fleet.
	maxServers = 16384
	// standingMost are shown in metrics.
	maxStatuses = 32
	// burst is the requests that a server which was sent none for a while may be sent at
	// once.
	burst = 1
	// sureFor a limit is believed without being named again. Then a server that is asked
	// seldom is asked again, lest nobody hears that its need is over: each gate in turn,
	// within as long again.
	freshFor = 2 * time.Second
	// riseAfter a limit that is not named again rises, doubling in each riseTime to riseMost
	// times its rate at the most, and by askRate a second: one of 0 would never be asked for
	// otherwise.
	relaxAfter     = 8 * time.Second
	relaxDoubling  = 4 * time.Second
	maxRelaxFactor = 4
	probeRate      = 0.25
	// leastRate stands for a limit of 0, which the counting does not know.
	minRate = 0.001
	// lasts is how long a limit is remembered that is never named again, or one that has
	// ended, so that late word of it is known to be old.
	retention = time.Minute
	// sweepEvery limits that are not named again rise, and old ones are forgotten.
	sweepInterval = 500 * time.Millisecond
)

// bounds are what is tolerated beyond a limit: half of it, for what was under way, and
// some requests, one and a half of which are the burst's. What was counted is remembered
// for longer than needs come and go: counted from nothing at some gates and not at others,
// the totals that they tell would seem to fall and be passed over.
var bounds = beechquota.Bounds{Window: 4 * time.Second, Overage: 0.5, Slack: 3.5, RandomDraw: true, Retention: 10 * time.Minute}

func (LimitStarted) event() {}
func (LimitChanged) event() {}
func (LimitEnded) event()   {}
func (LimitIgnored) event() {}

// New returns a throttle that knows no limit. Host names this gate, the same in all its
// lifetimes; lifetime tells this one from the others. Note is told what has changed, and
// news is called where the other gates must hear at once; neither may call the throttle.
func New(host string, lifetime uint64, clock Clock, steady clockwork.Clock, note func(Event), news func()) *Throttle {
	return &Throttle{
		clock: clock, onEvent: note, onUrgent: news, quotas: beechquota.New(host, lifetime, bounds, steady),
		table: limitTable{make(map[uint64]*limitEntry)},
	}
}

// SetGates tells how many gates there are, this one included.
func (t *Throttle) SetGates(n int) { t.quotas.SetGates(n) }

// Now is the time by the throttle's clock.
func (t *Throttle) Now() time.Duration { return t.clock.Now() }

// SetServers tells which servers are listed, by ID.
func (t *Throttle) SetServers(ids []string) {
	names := make(map[uint64]string, len(ids))
	for _, id := range ids {
		names[xxhash.Sum64String(id)] = id
	}
	t.mu.Lock()
	t.serverIDs = names
	t.mu.Unlock()
}

// HasLimits tells whether any server names a limit.
func (t *Throttle) HasLimits() bool { return t.limitedServers.Load() > 0 }

// Observe takes in what an answer of a server said, whose request was sent then.
func (t *Throttle) Observe(server string, born uint64, said ServerLimit, sent time.Duration) {
	notice := Observation{StartTime: born, Rate: unlimited, Sent: sent, Received: t.clock.Now()}
	field := ""
	switch v := said.(type) {
	case RateLimit:
		notice.Rate, field = v.Rate, v.Header
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
		return // not known
	}
	t.mu.Lock()
	event, sure := t.apply(xxhash.Sum64String(server), notice, "")
	t.mu.Unlock()
	if event != nil || sure {
		t.onUrgent()
	}
	t.emit(event, field)
}

// ServerRestarted tells that a server has begun another lifetime under its ID, or is gone: it has
// no limit until it names one.
func (t *Throttle) ServerRestarted(server string, born uint64) {
	if !t.HasLimits() {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	key := xxhash.Sum64String(server)
	var event Event
	if b := t.table.entries[key]; b.limited() {
		was := b.Rate
		b.replace(Observation{StartTime: max(born, b.StartTime), Rate: unlimited, Sent: now, Received: now})
		event = t.applyChange(key, b, was, now, "")
	}
	t.mu.Unlock()
	t.emit(event, "")
}

// take takes in a notice on a server; from is the gate that told it, empty for the
// server's own answer. It gives what the log tells of it, and whether a limit is sure
// again that was not. The caller holds the lock.
func (t *Throttle) apply(key uint64, n Observation, from string) (e Event, sure bool) {
	now := t.clock.Now()
	was, unsure := unlimited, false
	if old := t.table.entries[key]; old != nil {
		was, unsure = old.Rate, old.limited() && now-old.confirmedAt > freshFor
	}
	b, changed := t.table.observe(key, n)
	if b == nil {
		return nil, false
	}
	if from == "" && b.Received == n.Received {
		b.direct = true
	}
	if changed {
		return t.applyChange(key, b, was, now, from), false
	}
	if sure = unsure && now-b.confirmedAt <= freshFor; sure {
		t.enforce(key, b, now)
	}
	if sure && from == "" {
		b.sendsLeft = updateSends
	}
	return nil, sure
}

// changed puts a belief in force, and gives what the log tells of it. The caller holds
// the lock.
func (t *Throttle) applyChange(key uint64, b *limitEntry, was float64, now time.Duration, from string) Event {
	s := t.status(key, b, now)
	s.Source = from
	b.sendsLeft, b.direct = updateSends, from == ""
	t.enforce(key, b, now)
	switch {
	case !b.limited() && math.IsInf(was, 1):
		return nil
	case !b.limited():
		t.limitedServers.Add(-1)
		b.sent, b.withheld = 0, 0
		s.Rate = was
		return LimitEnded{s}
	case math.IsInf(was, 1):
		t.limitedServers.Add(1)
		return LimitStarted{s}
	}
	return LimitChanged{LimitStatus: s, Previous: was}
}

// enforce has the counting keep to a limit as far as it is believed now. The caller holds
// the lock.
func (t *Throttle) enforce(key uint64, b *limitEntry, now time.Duration) {
	if b.account == "" {
		b.account = strconv.FormatUint(key, 16)
		b.probeOffset = rand.Float64()
	}
	if !b.limited() {
		t.quotas.SetLimit(b.account, beechquota.Limit{})
		return
	}
	b.enforced = b.effectiveRate(now)
	t.quotas.SetLimit(b.account, beechquota.Limit{Rate: max(b.enforced, minRate), Burst: burst})
}

// believed is the limit as far as it is believed still: what is not named again rises.
func (b *limitEntry) effectiveRate(now time.Duration) float64 {
	unsure := now - b.confirmedAt - relaxAfter
	if unsure <= 0 {
		return b.Rate
	}
	rise := min(math.Exp2(float64(unsure)/float64(relaxDoubling)), maxRelaxFactor)
	return b.Rate*rise + probeRate
}

// tell logs an event, if there is one.
func (t *Throttle) emit(e Event, field string) {
	switch v := e.(type) {
	case LimitStarted:
		v.Header = field
		t.onEvent(v)
	case LimitChanged:
		v.Header = field
		t.onEvent(v)
	case LimitEnded:
		t.onEvent(v)
	}
}

// Check tells whether a server may be sent a request now, and takes nothing.
func (t *Throttle) Check(server string) beechquota.Decision {
	b := t.lookup(server)
	if b == nil {
		return beechquota.Admitted{}
	}
	return t.quotas.Check(b.account, 1)
}

// Acquire takes a request from what a server may be sent, if there is something left.
func (t *Throttle) Acquire(server string) beechquota.Decision {
	b := t.lookup(server)
	if b == nil {
		return beechquota.Admitted{}
	}
	d := t.quotas.Admit(b.account, 1)
	if admitted, ok := d.(beechquota.Admitted); ok {
		t.mu.Lock()
		b.sent++
		t.sent++
		t.mu.Unlock()
		if admitted.Urgent {
			t.onUrgent()
		}
	}
	return d
}

// Refund returns a request that was not sent.
func (t *Throttle) Refund(server string) {
	if b := t.lookup(server); b != nil {
		t.quotas.Refund(b.account, 1)
	}
}

// CountWithheld counts a request that did not go to a server for its limit.
func (t *Throttle) CountWithheld(server string) {
	b := t.lookup(server)
	if b == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b.withheld++
	t.withheld++
}

// ProbeDue tells whether this gate is to ask a server again, as its limit has not been named
// for a while. If all gates asked at once, a server in need would be sent a burst.
func (t *Throttle) ProbeDue(server string) bool {
	b := t.lookup(server)
	if b == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now()-b.confirmedAt > freshFor+time.Duration(b.probeOffset*float64(freshFor))
}

// Limited tells whether a server names a limit.
func (t *Throttle) Limited(server string) bool { return t.lookup(server) != nil }

// Rate is the requests a second that a server takes now, as far as that is believed.
func (t *Throttle) Rate(server string) float64 {
	b := t.lookup(server)
	if b == nil {
		return unlimited
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(b.enforced, minRate)
}

// belief gives what is believed of a server that has a limit, nil of others.
func (t *Throttle) lookup(server string) *limitEntry {
	if !t.HasLimits() {
		return nil
	}
	key := xxhash.Sum64String(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	if b := t.table.entries[key]; b.limited() {
		return b
	}
	return nil
}

// sweep has limits rise that are not named again, and forgets old ones. The caller holds
// the lock.
func (t *Throttle) sweep() {
	now := t.clock.Now()
	if now-t.lastSweep < sweepInterval {
		return
	}
	t.lastSweep = now
	for key, b := range t.table.entries {
		switch {
		case now-b.confirmedAt > retention:
			if b.limited() {
				t.limitedServers.Add(-1)
				t.quotas.SetLimit(b.account, beechquota.Limit{})
			}
			delete(t.table.entries, key)
		case b.limited() && b.effectiveRate(now) != b.enforced:
			t.enforce(key, b, now)
		}
	}
}

func (t *Throttle) status(key uint64, b *limitEntry, now time.Duration) LimitStatus {
	name := cmp.Or(t.serverIDs[key], strconv.FormatUint(key, 16))
	return LimitStatus{Server: name, Rate: b.Rate, Age: max(now-b.confirmedAt, 0), Sent: b.sent, Withheld: b.withheld}
}

// State gives what is believed, those that were asked most first.
func (t *Throttle) State() State {
	counting := t.quotas.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := State{Sent: t.sent, Withheld: t.withheld, Invalid: t.invalid, Quota: counting}
	for key, b := range t.table.entries {
		if b.limited() {
			s.Limited++
			s.Servers = append(s.Servers, t.status(key, b, now))
		}
	}
	slices.SortFunc(s.Servers, func(x, y LimitStatus) int {
		return cmp.Or(cmp.Compare(y.Sent+y.Withheld, x.Sent+x.Withheld), cmp.Compare(x.Server, y.Server))
	})
	s.Servers = s.Servers[:min(len(s.Servers), maxStatuses)]
	return s
}
