package beechthrottle

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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

	// Ended says that it names none any more.
	Ended struct{ Standing }

	// PassedOver says that an answer named a limit that cannot be used.
	PassedOver struct{ Server, Text string }

	// Standing is how it stands with a server's limit.
	Standing struct {
		Server string  // ID; empty where only other gates have named it
		Hash   uint64  // of the ID
		Rate   float64 // requests a second
		Told   bool    // by another gate, not by the server itself
		Field  string  // of the answer that named it
		Age    time.Duration
		Given  int // requests that this gate has sent there since the limit is known
	}

	// State is what is believed, for metrics.
	State struct {
		Limited    int // servers that name a limit
		PassedOver int // answers with limits that could not be used
		Servers    []Standing
	}

	// Throttle is one gate's view of all servers' limits. It is safe for concurrent use.
	Throttle struct {
		clock Clock
		note  func(Event)

		mu       sync.Mutex
		register register
		given    map[uint64]int
		faulty   int
	}
)

const (
	// serversMost are remembered: more than name a limit at once in any fleet.
	serversMost = 16384
	// standingMost are shown in metrics.
	standingMost = 32
)

func (Began) event()      {}
func (Changed) event()    {}
func (Ended) event()      {}
func (PassedOver) event() {}

// New returns a throttle that knows no limit. Note is told what has changed; it must
// not call the throttle.
func New(clock Clock, note func(Event)) *Throttle {
	return &Throttle{clock: clock, note: note, register: register{make(map[uint64]*belief)}, given: make(map[uint64]int)}
}

// Now is the time by the throttle's clock.
func (t *Throttle) Now() time.Duration { return t.clock.Now() }

// Heard takes in what an answer of a server said, whose request was sent then.
func (t *Throttle) Heard(server string, born uint64, said Said, sent time.Duration) {
	now := t.clock.Now()
	notice := Notice{Born: born, Rate: unlimited, Sent: sent, Received: now}
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
	default:
		return // not known
	}
	key := xxhash.Sum64String(server)
	t.mu.Lock()
	was := unlimited
	if old := t.register.beliefs[key]; old != nil {
		was = old.Rate
	}
	b, changed := t.register.take(key, notice, now)
	if b != nil {
		b.server = server
	}
	var event Event
	if changed {
		event = t.changed(key, b, was, now, false, field)
	}
	t.mu.Unlock()
	if event != nil {
		t.note(event)
	}
}

// changed gives what the log tells of a belief that has changed. The caller holds the
// lock.
func (t *Throttle) changed(key uint64, b *belief, was float64, now time.Duration, told bool, field string) Event {
	s := t.standing(key, b, now)
	s.Told, s.Field = told, field
	switch {
	case !b.limited():
		delete(t.given, key)
		s.Rate = was
		return Ended{s}
	case was == unlimited:
		return Began{s}
	}
	return Changed{Standing: s, Was: was}
}

func (t *Throttle) standing(key uint64, b *belief, now time.Duration) Standing {
	return Standing{Server: b.server, Hash: key, Rate: b.Rate, Age: max(now-b.named, 0), Given: t.given[key]}
}

// Sent counts a request to a server.
func (t *Throttle) Sent(server string) {
	key := xxhash.Sum64String(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.register.beliefs[key].limited() {
		t.given[key]++
	}
}

// State gives what is believed, those that were sent most first.
func (t *Throttle) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := State{PassedOver: t.faulty}
	for key, b := range t.register.beliefs {
		if b.limited() {
			s.Limited++
			s.Servers = append(s.Servers, t.standing(key, b, now))
		}
	}
	slices.SortFunc(s.Servers, func(x, y Standing) int {
		return cmp.Or(cmp.Compare(y.Given, x.Given), cmp.Compare(x.Hash, y.Hash))
	})
	s.Servers = s.Servers[:min(len(s.Servers), standingMost)]
	return s
}
