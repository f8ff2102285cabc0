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

	// Began says that a server is known to have a limit now.
	Began struct{ Standing }

	// Changed says that its limit is another one now.
	Changed struct {
		Standing
		Was float64
	}

	// Ended says that it has none any more.
	Ended struct{ Standing }

	// PassedOver says that an answer named a limit that cannot be used.
	PassedOver struct{ Server, Text string }

	// Standing is how it stands with a server's limit.
	Standing struct {
		Server string  // ID, or its hash where no server is listed that has it
		Rate   float64 // requests a second
		From   string  // the gate that told it; empty where the server itself did
		Field  string  // of the answer that named it
		Age    time.Duration
		Given  int // requests that this gate has sent there since the limit is known
		Held   int // and those that it sent elsewhere, or refused, for the limit
	}

	// State is what is believed, for metrics.
	State struct {
		Limited    int // servers that name a limit
		Given      int // requests to such servers
		Held       int // those that went elsewhere, or were refused, for a limit
		PassedOver int // answers with limits that could not be used
		Counting   beechquota.State
		Servers    []Standing
	}

	// Throttle is one gate's view of all servers' limits. It is safe for concurrent use.
	Throttle struct {
		clock   Clock
		note    func(Event)
		news    func()
		ledger  *beechquota.Ledger
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
var bounds = beechquota.Bounds{Window: 4 * time.Second, Overage: 0.5, Slack: 3.5, Lots: true, Remember: 10 * time.Minute}

func (Began) event()      {}
func (Changed) event()    {}
func (Ended) event()      {}
func (PassedOver) event() {}

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

// Any tells whether any server names a limit.
func (t *Throttle) Any() bool { return t.limited.Load() > 0 }

// Heard takes in what an answer of a server said, whose request was sent then.
func (t *Throttle) Heard(server string, born uint64, said Said, sent time.Duration) {
	notice := Notice{Born: born, Rate: unlimited, Sent: sent, Received: t.clock.Now()}
	field := ""
	switch v := said.(type) {
	case Names:
		notice.Rate, field = v.Rate, v.Field
	case Faulty:
		t.mu.Lock()
		t.faulty++
		t.mu.Unlock()
		t.note(PassedOver{Server: server, Text: v.Text})
		return
	case Silent:
		if !t.Any() {
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

// Anew tells that a server has begun another lifetime under its ID, or is gone: it has
// no limit until it names one.
func (t *Throttle) Anew(server string, born uint64) {
	if !t.Any() {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	key := xxhash.Sum64String(server)
	var event Event
	if b := t.register.beliefs[key]; b.limited() {
		was := b.Rate
		b.replace(Notice{Born: max(born, b.Born), Rate: unlimited, Sent: now, Received: now})
		event = t.changed(key, b, was, now, "")
	}
	t.mu.Unlock()
	t.tell(event, "")
}

// take takes in a notice on a server; from is the gate that told it, empty for the
// server's own answer. It gives what the log tells of it, and whether a limit is sure
// again that was not. The caller holds the lock.
func (t *Throttle) take(key uint64, n Notice, from string) (e Event, sure bool) {
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
	s.From = from
	b.repeats, b.firsthand = repeats, from == ""
	t.enforce(key, b, now)
	switch {
	case !b.limited() && math.IsInf(was, 1):
		return nil
	case !b.limited():
		t.limited.Add(-1)
		b.given, b.held = 0, 0
		s.Rate = was
		return Ended{s}
	case math.IsInf(was, 1):
		t.limited.Add(1)
		return Began{s}
	}
	return Changed{Standing: s, Was: was}
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
	case Began:
		v.Field = field
		t.note(v)
	case Changed:
		v.Field = field
		t.note(v)
	case Ended:
		t.note(v)
	}
}

// Room tells whether a server may be sent a request now, and takes nothing.
func (t *Throttle) Room(server string) beechquota.Decision {
	b := t.belief(server)
	if b == nil {
		return beechquota.Admitted{}
	}
	return t.ledger.Ask(b.account, 1)
}

// Take takes a request from what a server may be sent, if there is something left.
func (t *Throttle) Take(server string) beechquota.Decision {
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
		if admitted.Tell {
			t.news()
		}
	}
	return d
}

// GiveBack returns a request that was not sent.
func (t *Throttle) GiveBack(server string) {
	if b := t.belief(server); b != nil {
		t.ledger.GiveBack(b.account, 1)
	}
}

// Held counts a request that did not go to a server for its limit.
func (t *Throttle) Held(server string) {
	b := t.belief(server)
	if b == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b.held++
	t.held++
}

// Due tells whether this gate is to ask a server again, as its limit has not been named
// for a while. If all gates asked at once, a server in need would be sent a burst.
func (t *Throttle) Due(server string) bool {
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
	if !t.Any() {
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

func (t *Throttle) standing(key uint64, b *belief, now time.Duration) Standing {
	name := cmp.Or(t.names[key], strconv.FormatUint(key, 16))
	return Standing{Server: name, Rate: b.Rate, Age: max(now-b.named, 0), Given: b.given, Held: b.held}
}

// State gives what is believed, those that were asked most first.
func (t *Throttle) State() State {
	counting := t.ledger.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := State{Given: t.given, Held: t.held, PassedOver: t.faulty, Counting: counting}
	for key, b := range t.register.beliefs {
		if b.limited() {
			s.Limited++
			s.Servers = append(s.Servers, t.standing(key, b, now))
		}
	}
	slices.SortFunc(s.Servers, func(x, y Standing) int {
		return cmp.Or(cmp.Compare(y.Given+y.Held, x.Given+x.Held), cmp.Compare(x.Server, y.Server))
	})
	s.Servers = s.Servers[:min(len(s.Servers), standingMost)]
	return s
}
