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
	updates := 0
	return New(clock, func() { updates++ }), &updates
}

// A server rejects several requests of one gate. The gate must send that once, and the other gates
// must treat the server as full for a while.
func TestFullServerIsAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	here, updates := newTracker(clock)
	there, _ := newTracker(clock)
	for range 3 {
		here.Rejected("s", 0)
	}
	is.Equal(*updates, 1)
	update := here.NextUpdate()
	is.Equal(len(update), 1)
	is.Equal(len(here.NextUpdate()), 0)
	there.ApplyUpdate(update)
	is.True(there.IsFull("s"))
	there.Rejected("s", 0) // this request was sent before the update arrived
	is.Equal(len(there.NextUpdate()), 0)
	clock.Advance(2 * defaultFullTime)
	is.True(!here.IsFull("s") && !there.IsFull("s"))
	is.Equal(there.State(), State{KnownRejections: 1, Reports: 1})
}

// A server names a retry time. It must be followed, but not for an hour.
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

// A server processes a request. It must no longer count as full, unless that request was sent before
// the rejected one.
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

// Updates name many servers. The number of entries must be bounded.
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

// Many gates send requests to some servers of which one or all are full. Each must be probed about as
// often as by a single gate, and with few updates.
func TestFullServerIsProbedAsByOneGate(t *testing.T) {
	const (
		// transit is the time that a response or an update takes.
		transit = 2 * time.Millisecond // of a response or an update
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
			type event struct {
				at time.Duration
				do func()
			}
			var events []event
			nextUpdate := make([]time.Duration, gates)
			probes, updateCount := 0, 0
			for at := time.Duration(0); at < length; at += step {
				for len(events) > 0 && events[0].at <= at {
					events[0].do()
					events = events[1:]
				}
				for i, r := range all {
					server := fmt.Sprint(rand.IntN(servers))
					if rand.IntN(gates) < 4 && !r.IsFull(server) { // 4,000 requests per second in all
						probes++
						events = append(events, event{at + transit, func() { r.Rejected(server, 0) }})
					}
					if at < nextUpdate[i] {
						continue
					}
					if update := r.NextUpdate(); len(update) > 0 {
						nextUpdate[i] = at + UpdateInterval(gates)
						updateCount++
						events = append(events, event{at + transit, func() {
							for _, other := range all {
								if other != r {
									other.ApplyUpdate(update)
								}
							}
						}})
					}
				}
				clock.Advance(step)
			}
			perServer := float64(probes) / float64(servers) / length.Seconds()
			t.Logf("%d gates, %d full servers: each probed %.1f times per second, %d updates per second", gates, servers, perServer, updateCount/int(length.Seconds()))
			if perServer > 10 {
				t.Errorf("each server is probed %.1f times per second", perServer)
			}
			if updateCount > 50*int(length.Seconds()) {
				t.Errorf("%d updates", updateCount)
			}
		}
	}
}
