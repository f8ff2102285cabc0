package beechsaturation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func newTracker(clock clockwork.Clock) (*Tracker, *int) {
	news := 0
	return New(clock, func() { news++ }), &news
}

// A server turns several requests of one gate away. The others are told once, and believe
// it for a while.
func TestFullServerIsAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	here, news := newTracker(clock)
	there, _ := newTracker(clock)
	for range 3 {
		here.Rejected("s", 0)
	}
	is.Equal(*news, 1)
	word := here.NextUpdate()
	is.Equal(len(word), 1)
	is.Equal(len(here.NextUpdate()), 0)
	there.ApplyUpdate(word)
	is.True(there.IsFull("s"))
	there.Rejected("s", 0) // it was on its way
	is.Equal(len(there.NextUpdate()), 0)
	clock.Advance(2 * defaultFullTime)
	is.True(!here.IsFull("s") && !there.IsFull("s"))
	is.Equal(there.State(), State{KnownRejections: 1, Reports: 1})
}

// A server asks for a time. It is kept to, but not an hour.
func TestRetryTimeIsBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r, _ := newTracker(clock)
	r.Rejected("s", time.Second)
	clock.Advance(999 * time.Millisecond)
	is.True(r.IsFull("s"))
	r.Rejected("long", time.Hour)
	r.ApplyUpdate([]FullServer{{Server: 1, Remaining: 1 << 62}, {Server: 2, Remaining: -1}})
	clock.Advance(2 * maxFullTime)
	is.Equal(r.State().Full, 0)
}

// A server answers a request. It has room, unless the request was sent before it turned
// another one away.
func TestAnswerClearsFullState(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r, _ := newTracker(clock)
	before := clock.Now()
	clock.Advance(time.Millisecond)
	r.Rejected("s", time.Second)
	r.Answered("s", before)
	is.True(r.IsFull("s"))
	clock.Advance(time.Millisecond)
	r.Answered("s", clock.Now())
	is.True(!r.IsFull("s"))
}

// Anybody may name servers. What is kept is bounded.
func TestEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r, _ := newTracker(clock)
	for i := range uint64(2 * maxServers) {
		r.ApplyUpdate([]FullServer{{Server: i, Remaining: time.Second}})
	}
	is.Equal(r.State().Full, maxServers)
	clock.Advance(2 * maxFullTime)
	r.Rejected("s", 0)
	is.True(r.IsFull("s"))
}

// Many gates have callers for some servers of which one is full, or all are. It is asked
// about as often as one gate alone would ask, and words stay few.
func TestFullServerIsProbedAsByOneGate(t *testing.T) {
	const (
		wayTime = 2 * time.Millisecond // of an answer, and of a word
		length  = 10 * time.Second
		step    = time.Millisecond
	)
	for _, gates := range []int{1, 8, 26, 104} {
		for _, servers := range []int{1, 20} {
			clock := clockwork.NewFakeClock()
			var all []*Tracker
			for range gates {
				r, _ := newTracker(clock)
				all = append(all, r)
			}
			type due struct {
				at time.Duration
				do func()
			}
			var dues []due
			spoke := make([]time.Duration, gates)
			asked, words := 0, 0
			for at := time.Duration(0); at < length; at += step {
				for len(dues) > 0 && dues[0].at <= at {
					dues[0].do()
					dues = dues[1:]
				}
				for i, r := range all {
					server := fmt.Sprint(rand.IntN(servers))
					if rand.IntN(gates) < 4 && !r.IsFull(server) { // 4,000 requests a second in all
						asked++
						dues = append(dues, due{at + wayTime, func() { r.Rejected(server, 0) }})
					}
					if at < spoke[i] {
						continue
					}
					if word := r.NextUpdate(); len(word) > 0 {
						spoke[i] = at + UpdateInterval(gates)
						words++
						dues = append(dues, due{at + wayTime, func() {
							for _, other := range all {
								if other != r {
									other.ApplyUpdate(word)
								}
							}
						}})
					}
				}
				clock.Advance(step)
			}
			perServer := float64(asked) / float64(servers) / length.Seconds()
			t.Logf("%d gates, %d full servers: each asked %.1f times a second, %d words a second", gates, servers, perServer, words/int(length.Seconds()))
			if perServer > 10 {
				t.Errorf("each is asked %.1f times a second", perServer)
			}
			if words > 50*int(length.Seconds()) {
				t.Errorf("%d words", words)
			}
		}
	}
}
