package beechplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechthrottle"
)

// exhaustLimit has a server announce a limit and uses it up.
func (f *fleet) exhaustLimit(id string, rate float64) {
	f.limits.Observe(id, 0, beechthrottle.RateLimit{Rate: rate}, f.limits.Now())
	for range 8 {
		f.limits.Acquire(id)
	}
}

// A history is cached on a server that announces a limit and has reached it. Requests for the
// history go to another server, although they are prefilled again, and its home moves.
func TestServerLimitOverridesCacheLocality(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.reportAll(nil)
	call := newCall("h", 4000, 100)
	first := f.choose(t, call)
	f.StartAttempt(call, first).Done(Answered)
	f.clock.Advance(time.Second)
	f.reportAll(nil)
	is.Equal(f.choose(t, call).Server.ID, first.Server.ID)
	f.exhaustLimit(first.Server.ID, 0.1)
	other := f.choose(t, call)
	is.True(other.Server.ID != first.Server.ID)
	is.Equal(other.LimitedServer, first.Server.ID)
	is.True(f.sharedParts(call, f.clock.Now())[0].homeID != first.Server.ID)
}

// All servers are at their limits. Requests are rejected at once, and successive callers get
// successive retry times at the rate that the servers accept.
func TestAllServersAtTheirLimits(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(nil)
	f.exhaustLimit(f.servers[0].ID, 2)
	f.exhaustLimit(f.servers[2].ID, 2)
	c, ok := f.Choose(newCall("h", 4000, 100), nil)
	is.True(!ok)
	is.True(c.RetryAfter > 0)
	is.True(c.RetryAfter <= maxRetryAfter)
	var last time.Duration
	for n := range 8 {
		back := f.RetryAfter("llm", c.RetryAfter)
		is.True(back >= last)
		is.True(n == 0 || back-last <= time.Second/2)
		last = back
	}
	is.True(last >= c.RetryAfter+7*time.Second/4-10*time.Millisecond) // four per second
	for range 100 {
		last = f.RetryAfter("llm", c.RetryAfter)
	}
	is.Equal(last, maxRetryAfter)
}

// A server reaches its limit between choice and sending, so the request is not sent. Attempts
// without a connection do not count against the limit.
func TestLimitIsCheckedWhenSending(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.reportAll(nil)
	call := newCall("h", 4000, 100)
	choice := f.choose(t, call)
	late := f.StartAttempt(call, choice)
	f.exhaustLimit(choice.Server.ID, 0.1)
	is.True(!late.AcquireLimit())
	late.Done(Cancelled)

	f = newFleet(1)
	f.reportAll(nil)
	f.limits.Observe(choice.Server.ID, 0, beechthrottle.RateLimit{Rate: 0.1}, f.limits.Now())
	for range 20 { // no connection is established
		attempt := f.StartAttempt(call, choice)
		is.True(attempt.AcquireLimit())
		attempt.Done(Unreachable)
	}
}
