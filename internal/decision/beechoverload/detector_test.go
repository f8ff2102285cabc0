package beechoverload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func observe(d *Detector, clock *clockwork.FakeClock, delay, length time.Duration) {
	for range length / SampleInterval {
		clock.Advance(SampleInterval)
		d.Observe(delay)
	}
}

// A process that starts is behind for a moment, and one at its limit now and then: neither may turn
// callers away.
func TestShortDelaysTurnNobodyAway(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	d := New(clock, func() float64 { return 0 })
	for range 20 {
		observe(d, clock, 400*time.Millisecond, sustainTime-SampleInterval)
		is.True(!d.TurnsAway())
		observe(d, clock, 30*time.Millisecond, SampleInterval)
	}
	is.True(!d.TurnsAway())
}

// A host that is sent most connections catches up before it takes more, again and again.
func TestSustainedDelayTurnsConnectionsAway(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	d := New(clock, func() float64 { return 0 })
	observe(d, clock, 100*time.Millisecond, sustainTime+SampleInterval)
	is.True(d.TurnsAway())
	observe(d, clock, 30*time.Millisecond, SampleInterval)
	is.True(d.TurnsAway()) // not yet caught up
	observe(d, clock, time.Millisecond, SampleInterval)
	is.True(!d.TurnsAway())
	d.random = func() float64 { return 0.99 }
	is.True(d.TurnsAway()) // a share only
	observe(d, clock, 100*time.Millisecond, SampleInterval)
	is.True(d.TurnsAway())
	observe(d, clock, time.Millisecond, guardTime)
	observe(d, clock, 100*time.Millisecond, SampleInterval)
	is.True(!d.TurnsAway())
	clock.Advance(-time.Hour)
	d.Observe(-time.Second)
	is.True(!d.TurnsAway())
}

// closedLoop plays a processor that is offered more than it can do, at several steps a request, and
// returns how many of the requests that were read from second 3 on are answered within their time.
// Callers leave when it is over.
func closedLoop(capacity, offered int, shed bool) (answered, read, turnedAway int) {
	const (
		step     = 10 * time.Millisecond
		steps    = 20 // of a request
		deadline = 1500 * time.Millisecond
		length   = 20 * time.Second
		counted  = 3 * time.Second
	)
	type request struct {
		left  int
		since time.Time
		ready time.Time // since when its next step has waited
	}
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	random := rand.New(rand.NewPCG(1, 1))
	d := New(clock, random.Float64)
	var queue []request // first in, first out, as the scheduler runs what is ready
	var waited []time.Duration
	perStep := capacity * steps * int(step) / int(time.Second)
	for at := time.Duration(0); at < length; at += step {
		for n := range offered {
			if at > length-2*deadline || at/step%(time.Second/step) != time.Duration(n*int(time.Second/step)/offered) {
				continue
			}
			if shed && d.TurnsAway() {
				turnedAway++
				continue
			}
			if clock.Since(start) > counted {
				read++
			}
			queue = append(queue, request{left: steps, since: clock.Now(), ready: clock.Now()})
		}
		for range min(perStep, len(queue)) {
			r := queue[0]
			queue = queue[1:]
			waited = append(waited, clock.Since(r.ready))
			if clock.Since(r.since) > deadline {
				continue
			}
			if r.left--; r.left > 0 {
				r.ready = clock.Now()
				queue = append(queue, r)
			} else if r.since.Sub(start) > counted {
				answered++
			}
		}
		clock.Advance(step)
		if at%SampleInterval == 0 {
			slices.Sort(waited)
			median := time.Duration(0)
			if len(waited) > 0 {
				median = waited[len(waited)/2]
			}
			d.Observe(median)
			waited = nil
		}
	}
	return answered, read, turnedAway
}

// Of the requests that an overloaded host has read, most are answered in time only if it reads no
// more than it can do.
func TestOverloadedHostAnswersWhatItReads(t *testing.T) {
	is := is.New(t)
	for _, load := range []int{60, 200, 400} {
		answered, read, _ := closedLoop(100, load, false)
		kept, readThen, turnedAway := closedLoop(100, load, true)
		t.Logf("%d of 100 a second: %.2f of %d answered in time; turning away: %.2f of %d, %d turned away", load,
			float64(answered)/float64(read), read, float64(kept)/float64(readThen), readThen, turnedAway)
		if load < 100 {
			is.Equal(turnedAway, 0)
			is.Equal(kept, readThen)
			continue
		}
		is.True(kept*4 >= readThen*3) // as before the overload, less a quarter
		is.True(kept >= answered)
	}
}
