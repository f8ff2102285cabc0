package beechfresh

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

func TestAge(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Hour}
	tracker := New(c)
	is.Equal(tracker.Age(), Never)
	requestedAt := tracker.Now()
	c.now += 300 * time.Millisecond // the read takes this long
	tracker.Confirm(requestedAt)
	is.Equal(tracker.Age(), 300*time.Millisecond) // counted from the request, not from the answer
	c.now += 4 * time.Second                      // the process was suspended
	is.Equal(tracker.Age(), 4300*time.Millisecond)
}

// The answer to an earlier read arrives after that of a later one.
func TestLateConfirmationIsIgnored(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Hour}
	tracker := New(c)
	tracker.Confirm(c.now)
	tracker.Confirm(c.now - time.Minute)
	is.Equal(tracker.Age(), time.Duration(0))
}

func TestBootClockAdvances(t *testing.T) {
	is := is.New(t)
	before := BootClock{}.Now()
	time.Sleep(2 * time.Millisecond)
	is.True(BootClock{}.Now() > before)
}
