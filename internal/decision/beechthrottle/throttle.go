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
		clock   Clock
		note    func(Event)
		news    func()
		ledger  *beechquota.Limiter
		limited atomic.Int64 // servers that name a limit

		mu          sync.Mutex
		register    register
		names       map[uint64]string // IDs of the listed servers, by hash
		swept       time.Duration
		refreshed   time.Duration
		given, held int
		faulty      int
	}
)

const (
	// serversMost are remembered: more than name a limit at once in any fleet.
	serversMost = 16384
	// standingMost are shown in metrics.
	standingMost = 32
	// burst is the requests that a server which was sent none for a while may be sent at
	// once.
	burst = 1
	// sureFor a limit is believed without being named again. Then a server that is asked
	// seldom is asked again, lest nobody hears that its need is over: each gate in turn,
	// within as long again.
	sureFor = 2 * time.Second
	// riseAfter a limit that is not named again rises, doubling in each riseTime to riseMost
	// times its rate at the most, and by askRate a second: one of 0 would never be asked for
	// otherwise.
	riseAfter = 8 * time.Second
	riseTime  = 4 * time.Second
	riseMost  = 4
	askRate   = 0.25
	// leastRate stands for a limit of 0, which the counting does not know.
	leastRate = 0.001
	// lasts is how long a limit is remembered that is never named again, or one that has
	// ended, so that late word of it is known to be old.
	lasts = time.Minute
	// sweepEvery limits that are not named again rise, and old ones are forgotten.
	sweepEvery = 500 * time.Millisecond
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
		clock: clock, note: note, news: news, ledger: beechquota.New(host, lifetime, bounds, steady),
		register: register{make(map[uint64]*belief)},
	}
}

// SetGates tells how many gates there are, this one included.
func (t *Throttle) SetGates(n int) { t.ledger.SetGates(n) }

// Now is the time by the throttle's clock.
func (t *Throttle) Now() time.Duration { return t.clock.Now() }

// SetServers tells which servers are listed, by ID.
func (t *Throttle) SetServers(ids []string) {
	names := make(map[uint64]string, len(ids))
	for _, id := range ids {
		names[xxhash.Sum64String(id)] = id
	}
	t.mu.Lock()
	t.names = names
	t.mu.Unlock()
}

// HasLimits tells whether any server names a limit.
func (t *Throttle) HasLimits() bool { return t.limited.Load() > 0 }

// Observe takes in what an answer of a server said, whose request was sent then.
func (t *Throttle) Observe(server string, born uint64, said ServerLimit, sent time.Duration) {
	notice := Observation{StartTime: born, Rate: unlimited, Sent: sent, Received: t.clock.Now()}
	field := ""
	switch v := said.(type) {
	case RateLimit:
		notice.Rate, field = v.Rate, v.Header
	case InvalidLimit:
		t.mu.Lock()
		t.faulty++
		t.mu.Unlock()
		t.note(LimitIgnored{Server: server, Text: v.Text})
		return
	case NoLimit:
		if !t.HasLimits() {
			return
		}
	default:
		return // not known
	}
	t.mu.Lock()
	event, sure := t.take(xxhash.Sum64String(server), notice, "")
	t.mu.Unlock()
	if event != nil || sure {
		t.news()
	}
	t.tell(event, field)
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
	if b := t.register.beliefs[key]; b.limited() {
		was := b.Rate
		b.replace(Observation{StartTime: max(born, b.StartTime), Rate: unlimited, Sent: now, Received: now})
		event = t.changed(key, b, was, now, "")
	}
	t.mu.Unlock()
	t.tell(event, "")
}

// take takes in a notice on a server; from is the gate that told it, empty for the
// server's own answer. It gives what the log tells of it, and whether a limit is sure
// again that was not. The caller holds the lock.
func (t *Throttle) take(key uint64, n Observation, from string) (e Event, sure bool) {
	now := t.clock.Now()
	was, unsure := unlimited, false
	if old := t.register.beliefs[key]; old != nil {
		was, unsure = old.Rate, old.limited() && now-old.named > sureFor
	}
	b, changed := t.register.take(key, n)
	if b == nil {
		return nil, false
	}
	if from == "" && b.Received == n.Received {
		b.firsthand = true
	}
	if changed {
		return t.changed(key, b, was, now, from), false
	}
	if sure = unsure && now-b.named <= sureFor; sure {
		t.enforce(key, b, now)
	}
	if sure && from == "" {
		b.repeats = repeats
	}
	return nil, sure
}

// changed puts a belief in force, and gives what the log tells of it. The caller holds
// the lock.
func (t *Throttle) changed(key uint64, b *belief, was float64, now time.Duration, from string) Event {
	s := t.standing(key, b, now)
	s.Source = from
	b.repeats, b.firsthand = repeats, from == ""
	t.enforce(key, b, now)
	switch {
	case !b.limited() && math.IsInf(was, 1):
		return nil
	case !b.limited():
		t.limited.Add(-1)
		b.given, b.held = 0, 0
		s.Rate = was
		return LimitEnded{s}
	case math.IsInf(was, 1):
		t.limited.Add(1)
		return LimitStarted{s}
	}
	return LimitChanged{LimitStatus: s, Previous: was}
}

// enforce has the counting keep to a limit as far as it is believed now. The caller holds
// the lock.
func (t *Throttle) enforce(key uint64, b *belief, now time.Duration) {
	if b.account == "" {
		b.account = strconv.FormatUint(key, 16)
		b.turn = rand.Float64()
	}
	if !b.limited() {
		t.ledger.SetLimit(b.account, beechquota.Limit{})
		return
	}
	b.enforced = b.believed(now)
	t.ledger.SetLimit(b.account, beechquota.Limit{Rate: max(b.enforced, leastRate), Burst: burst})
}

// believed is the limit as far as it is believed still: what is not named again rises.
func (b *belief) believed(now time.Duration) float64 {
	unsure := now - b.named - riseAfter
	if unsure <= 0 {
		return b.Rate
	}
	rise := min(math.Exp2(float64(unsure)/float64(riseTime)), riseMost)
	return b.Rate*rise + askRate
}

// tell logs an event, if there is one.
func (t *Throttle) tell(e Event, field string) {
	switch v := e.(type) {
	case LimitStarted:
		v.Header = field
		t.note(v)
	case LimitChanged:
		v.Header = field
		t.note(v)
	case LimitEnded:
		t.note(v)
	}
}

// Check tells whether a server may be sent a request now, and takes nothing.
func (t *Throttle) Check(server string) beechquota.Decision {
	b := t.belief(server)
	if b == nil {
		return beechquota.Admitted{}
	}
	return t.ledger.Check(b.account, 1)
}

// Acquire takes a request from what a server may be sent, if there is something left.
func (t *Throttle) Acquire(server string) beechquota.Decision {
	b := t.belief(server)
	if b == nil {
		return beechquota.Admitted{}
	}
	d := t.ledger.Admit(b.account, 1)
	if admitted, ok := d.(beechquota.Admitted); ok {
		t.mu.Lock()
		b.given++
		t.given++
		t.mu.Unlock()
		if admitted.Urgent {
			t.news()
		}
	}
	return d
}

// Refund returns a request that was not sent.
func (t *Throttle) Refund(server string) {
	if b := t.belief(server); b != nil {
		t.ledger.Refund(b.account, 1)
	}
}

// CountWithheld counts a request that did not go to a server for its limit.
func (t *Throttle) CountWithheld(server string) {
	b := t.belief(server)
	if b == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b.held++
	t.held++
}

// ProbeDue tells whether this gate is to ask a server again, as its limit has not been named
// for a while. If all gates asked at once, a server in need would be sent a burst.
func (t *Throttle) ProbeDue(server string) bool {
	b := t.belief(server)
	if b == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now()-b.named > sureFor+time.Duration(b.turn*float64(sureFor))
}

// Limited tells whether a server names a limit.
func (t *Throttle) Limited(server string) bool { return t.belief(server) != nil }

// Rate is the requests a second that a server takes now, as far as that is believed.
func (t *Throttle) Rate(server string) float64 {
	b := t.belief(server)
	if b == nil {
		return unlimited
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(b.enforced, leastRate)
}

// belief gives what is believed of a server that has a limit, nil of others.
func (t *Throttle) belief(server string) *belief {
	if !t.HasLimits() {
		return nil
	}
	key := xxhash.Sum64String(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	if b := t.register.beliefs[key]; b.limited() {
		return b
	}
	return nil
}

// sweep has limits rise that are not named again, and forgets old ones. The caller holds
// the lock.
func (t *Throttle) sweep() {
	now := t.clock.Now()
	if now-t.swept < sweepEvery {
		return
	}
	t.swept = now
	for key, b := range t.register.beliefs {
		switch {
		case now-b.named > lasts:
			if b.limited() {
				t.limited.Add(-1)
				t.ledger.SetLimit(b.account, beechquota.Limit{})
			}
			delete(t.register.beliefs, key)
		case b.limited() && b.believed(now) != b.enforced:
			t.enforce(key, b, now)
		}
	}
}

func (t *Throttle) standing(key uint64, b *belief, now time.Duration) LimitStatus {
	name := cmp.Or(t.names[key], strconv.FormatUint(key, 16))
	return LimitStatus{Server: name, Rate: b.Rate, Age: max(now-b.named, 0), Sent: b.given, Withheld: b.held}
}

// State gives what is believed, those that were asked most first.
func (t *Throttle) State() State {
	counting := t.ledger.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := State{Sent: t.given, Withheld: t.held, Invalid: t.faulty, Quota: counting}
	for key, b := range t.register.beliefs {
		if b.limited() {
			s.Limited++
			s.Servers = append(s.Servers, t.standing(key, b, now))
		}
	}
	slices.SortFunc(s.Servers, func(x, y LimitStatus) int {
		return cmp.Or(cmp.Compare(y.Sent+y.Withheld, x.Sent+x.Withheld), cmp.Compare(x.Server, y.Server))
	})
	s.Servers = s.Servers[:min(len(s.Servers), standingMost)]
	return s
}
