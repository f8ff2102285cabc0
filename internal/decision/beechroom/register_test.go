package beechroom

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func newRegister(clock clockwork.Clock) (*Register, *int) {
	news := 0
	return New(clock, func() { news++ }), &news
}

// A server turns several requests of one gate away. The others are told once, and believe
// it for a while.
func TestFullServerIsToldOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	here, news := newRegister(clock)
	there, _ := newRegister(clock)
	for range 3 {
		here.TurnedAway("s", 0)
	}
	is.Equal(*news, 1)
	word := here.Word()
	is.Equal(len(word), 1)
	is.Equal(len(here.Word()), 0)
	there.Hear(word)
	is.True(there.Knows("s"))
	there.TurnedAway("s", 0) // it was on its way
	is.Equal(len(there.Word()), 0)
	clock.Advance(2 * fullFor)
	is.True(!here.Knows("s") && !there.Knows("s"))
	is.Equal(there.State(), State{Again: 1, Heard: 1})
}

// A server asks for a time. It is kept to, but not an hour.
func TestTimeThatAServerAsksFor(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r, _ := newRegister(clock)
	r.TurnedAway("s", time.Second)
	clock.Advance(999 * time.Millisecond)
	is.True(r.Knows("s"))
	r.TurnedAway("long", time.Hour)
	r.Hear([]Told{{Server: 1, Left: 1 << 62}, {Server: 2, Left: -1}})
	clock.Advance(2 * fullMost)
	is.Equal(r.State().Full, 0)
}

// A server answers a request. It has room, unless the request was sent before it turned
// another one away.
func TestAnswerEndsABelief(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r, _ := newRegister(clock)
	before := clock.Now()
	clock.Advance(time.Millisecond)
	r.TurnedAway("s", time.Second)
	r.Took("s", before)
	is.True(r.Knows("s"))
	clock.Advance(time.Millisecond)
	r.Took("s", clock.Now())
	is.True(!r.Knows("s"))
}

// Anybody may name servers. What is kept is bounded.
func TestServersAreBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r, _ := newRegister(clock)
	for i := range uint64(2 * serversMost) {
		r.Hear([]Told{{Server: i, Left: time.Second}})
	}
	is.Equal(r.State().Full, serversMost)
	clock.Advance(2 * fullMost)
	r.TurnedAway("s", 0)
	is.True(r.Knows("s"))
}

// Many gates have callers for some servers of which one is full, or all are. It is asked
// about as often as one gate alone would ask, and words stay few.
func TestFullServerIsAskedAsByOneGate(t *testing.T) {
	const (
		wayTime = 2 * time.Millisecond // of an answer, and of a word
		length  = 10 * time.Second
		step    = time.Millisecond
	)
	for _, gates := range []int{1, 8, 26, 104} {
		for _, servers := range []int{1, 20} {
			clock := clockwork.NewFakeClock()
			var all []*Register
			for range gates {
				r, _ := newRegister(clock)
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
					if rand.IntN(gates) < 4 && !r.Knows(server) { // 4,000 requests a second in all
						asked++
						dues = append(dues, due{at + wayTime, func() { r.TurnedAway(server, 0) }})
					}
					if at < spoke[i] {
						continue
					}
					if word := r.Word(); len(word) > 0 {
						spoke[i] = at + Interval(gates)
						words++
						dues = append(dues, due{at + wayTime, func() {
							for _, other := range all {
								if other != r {
									other.Hear(word)
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
