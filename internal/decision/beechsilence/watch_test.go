package beechsilence

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const pause = 200 * time.Millisecond // between two questions

var settings = Settings{Limit: time.Second, Patience: 2500 * time.Millisecond}

// ask asks a server that is silent until the given time, and returns the state afterwards.
func ask(w *Watch, clock *clockwork.FakeClock, silentUntil time.Time) State {
	asked := clock.Now()
	if wait := max(silentUntil.Sub(asked), 0); wait <= w.Limit() {
		clock.Advance(wait)
		w.Answered()
	} else {
		clock.Advance(w.Limit())
		w.Missed(asked, clock.Now(), true)
	}
	return w.State()
}

// A sound server is silent for up to two seconds, from any moment between two questions on.
func TestSilentServerIsNotGone(t *testing.T) {
	is := is.New(t)
	for silent := 100 * time.Millisecond; silent <= 2*time.Second; silent += 100 * time.Millisecond {
		for begin := time.Duration(0); begin <= pause; begin += 50 * time.Millisecond {
			clock := clockwork.NewFakeClock()
			w := New(settings)
			w.Answered()
			until := clock.Now().Add(silent)
			clock.Advance(begin)
			for clock.Now().Before(until) {
				is.True(ask(w, clock, until) != Gone)
				clock.Advance(pause)
			}
			is.Equal(ask(w, clock, until), Alive)
			is.Equal(w.Silence(), time.Duration(0))
		}
	}
}

// A server hangs for good, and is left soon after the longest silence of a sound one.
func TestHangingServerIsGone(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	w := New(settings)
	w.Answered()
	hangs := clock.Now()
	for ask(w, clock, hangs.Add(time.Hour)) != Gone {
		clock.Advance(pause)
	}
	is.True(w.Exhausted())
	is.True(clock.Since(hangs) <= settings.Patience+pause+minLimit)
	w.Answered()
	is.Equal(w.State(), Alive)
}

// A refused connection says at once that the server is gone, and not that it has been for long.
func TestRefusingServerIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	w := New(settings)
	w.Answered()
	w.Missed(clock.Now(), clock.Now(), false)
	is.Equal(w.State(), Gone)
	is.True(!w.Exhausted())
	for !w.Exhausted() {
		clock.Advance(pause)
		w.Missed(clock.Now(), clock.Now(), false)
	}
	is.True(w.Silence() < settings.Patience+pause)
}

// This process is stopped for seconds while it waits for an answer or between two questions.
func TestOwnStopIsNotSilence(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	w := New(settings)
	w.Answered()
	asked := clock.Now()
	clock.Advance(10 * time.Second)
	w.Missed(asked, clock.Now(), true)
	is.Equal(w.State(), Silent)
	w.Answered()
	is.Equal(ask(w, clock, clock.Now().Add(time.Hour)), Silent)
	clock.Advance(10 * time.Second)
	asked = clock.Now()
	w.Missed(asked, clock.Now(), true)
	is.Equal(w.State(), Silent)
}

// A server that never answered is gone, whatever its questions end with.
func TestServerWithoutAnAnswerIsGone(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	w := New(settings)
	is.Equal(ask(w, clock, clock.Now().Add(time.Hour)), Gone)
	is.Equal(w.Limit(), settings.Limit)
}
