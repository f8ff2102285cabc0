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
	b := New(c)
	is.Equal(b.Age(), Never)
	asked := b.Now()
	c.now += 300 * time.Millisecond // the read takes this long
	b.Confirm(asked)
	is.Equal(b.Age(), 300*time.Millisecond) // it is as old as the question, not as the answer
	c.now += 4 * time.Second                // the process was suspended
	is.Equal(b.Age(), 4300*time.Millisecond)
}

// An answer that was on its way for long comes after a later one.
func TestLateConfirmationChangesNothing(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Hour}
	b := New(c)
	b.Confirm(c.now)
	b.Confirm(c.now - time.Minute)
	is.Equal(b.Age(), time.Duration(0))
}

func TestBootClockRuns(t *testing.T) {
	is := is.New(t)
	before := BootClock{}.Now()
	time.Sleep(2 * time.Millisecond)
	is.True(BootClock{}.Now() > before)
}
