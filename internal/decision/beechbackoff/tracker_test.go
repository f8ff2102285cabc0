package beechbackoff

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// A server that has asked for three seconds must not get requests sooner because a later rejection names a shorter time.
func TestLaterRejectionDoesNotShortenTheTime(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	tracker := New(clock)
	is.True(tracker.Record("s", 3*time.Second))
	clock.Advance(time.Second)
	is.True(!tracker.Record("s", time.Second))
	is.Equal(tracker.Remaining("s"), 2*time.Second)
	is.True(tracker.Record("s", 5*time.Second))
	is.Equal(tracker.Remaining("s"), 5*time.Second)
	clock.Advance(5 * time.Second)
	is.Equal(tracker.Remaining("s"), time.Duration(0))
}

// A time that is absurd, or none at all, must neither bind for good nor be taken for a request.
func TestImplausibleTimes(t *testing.T) {
	is := is.New(t)
	tracker := New(clockwork.NewFakeClock())
	is.True(!tracker.Record("s", 0))
	is.True(!tracker.Record("s", -time.Second))
	is.Equal(tracker.Remaining("s"), time.Duration(0))
	is.True(tracker.Record("s", 100*MaxTime))
	is.Equal(tracker.Remaining("s"), MaxTime)
	is.Equal(tracker.Remaining("other"), time.Duration(0))
	is.Equal(tracker.State(), State{Servers: 1, Asked: 1})
}

// Servers that are replaced all day must not fill the memory of a process.
func TestExpiredEntriesAreDeleted(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	tracker := New(clock)
	for i := range 100 * minSweep {
		tracker.Record(fmt.Sprint(i), time.Second)
		clock.Advance(100 * time.Millisecond)
	}
	is.True(len(tracker.until) <= minSweep)
	is.Equal(tracker.State().Servers, 9)
}

// A server that has restarted has asked for nothing.
func TestRestartEndsTheTime(t *testing.T) {
	is := is.New(t)
	tracker := New(clockwork.NewFakeClock())
	tracker.Record("s", time.Second)
	tracker.Record("s", time.Second)
	tracker.Forget("s")
	is.Equal(tracker.Remaining("s"), time.Duration(0))
	is.Equal(tracker.State(), State{Asked: 2, Again: 1})
}
