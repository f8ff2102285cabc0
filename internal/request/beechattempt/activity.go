package beechattempt

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// activities tell which servers are silent to this gate. It is safe for concurrent use.
	activities struct {
		clock clockwork.Clock
		start time.Time

		mu      sync.Mutex
		servers map[string]*activity // with attempts under way, by ID
	}

	// activity is what the attempts under way at a server tell of it. A nil one records nothing.
	activity struct {
		id          string
		attempts    int           // guarded by activities.mu
		silentUntil time.Duration // since activities.start: until then it is taken for silent; guarded by activities.mu

		overdue atomic.Int32 // attempts that have had no data for longer than their time-outs
		reading atomic.Int32 // streams that have begun and wait for data
		heardAt atomic.Int64 // when the last of their data came, since activities.start
	}
)

// silenceMemory is how long a server is taken for silent that attempts have left for its silence, unless it is
// heard again.
const silenceMemory = 2 * time.Second

func newActivities(clock clockwork.Clock) *activities {
	return &activities{clock: clock, start: clock.Now(), servers: make(map[string]*activity)}
}

// begin counts an attempt at a server, until end.
func (s *activities) begin(server string) *activity {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.servers[server]
	if !ok {
		a = &activity{id: server}
		s.servers[server] = a
	}
	a.attempts++
	return a
}

func (s *activities) end(a *activity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.attempts--
	s.forget(a)
}

// forget drops a server of which nothing is known any more. The caller holds the lock.
func (s *activities) forget(a *activity) {
	if a.attempts == 0 && s.clock.Since(s.start) >= a.silentUntil && s.servers[a.id] == a {
		delete(s.servers, a.id)
	}
}

// markSilent records that an attempt goes on at another server. Once all of a silent server's attempts have
// left, none is there to tell that it still is.
func (s *activities) markSilent(a *activity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.silentUntil = s.clock.Since(s.start) + silenceMemory
	s.clock.AfterFunc(silenceMemory, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.forget(a)
	})
}

// silent returns the servers with an attempt that is overdue, and those of which no stream has had data
// for longer than quiet.
func (s *activities) silent(quiet time.Duration) []string {
	now := s.clock.Since(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []string
	for id, a := range s.servers {
		left := now < a.silentUntil && time.Duration(a.heardAt.Load()) < a.silentUntil-silenceMemory
		if left || a.overdue.Load() > 0 || a.reading.Load() > 0 && now-time.Duration(a.heardAt.Load()) > quiet {
			silent = append(silent, id)
		}
	}
	return silent
}

// beginReading records that a stream waits for data. The first one to do so has its server heard now: while
// no stream waits, nothing is known of it.
func (s *activities) beginReading(a *activity, now time.Time) {
	if a.reading.Add(1) == 1 {
		s.heard(a, now)
	}
}

// heard records that events of a stream have come.
func (s *activities) heard(a *activity, now time.Time) { a.heardAt.Store(int64(now.Sub(s.start))) }
