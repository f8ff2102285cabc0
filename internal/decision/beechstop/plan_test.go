package beechstop

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var signal = time.Unix(1000, 0)

func newPlan(grace time.Duration) Plan {
	return New(signal, Settings{Grace: grace, Notice: 2500 * time.Millisecond, TakeAll: 2500 * time.Millisecond, KillMargin: 600 * time.Millisecond, AnswerTime: 200 * time.Millisecond})
}

// A request whose deadline the process cannot keep is taken only while the balancer may have no other host.
func TestTakes(t *testing.T) {
	is := is.New(t)
	p := newPlan(8 * time.Second)
	at := func(d time.Duration) time.Time { return signal.Add(d) }
	is.True(p.Takes(at(0), at(time.Hour)))
	is.True(p.Takes(at(2499*time.Millisecond), time.Time{}))
	is.True(!p.Takes(at(2500*time.Millisecond), time.Time{}))
	is.True(!p.Takes(at(2500*time.Millisecond), at(7201*time.Millisecond)))
	is.True(p.Takes(at(2500*time.Millisecond), at(7200*time.Millisecond)))
	is.True(!p.Takes(at(7200*time.Millisecond), at(7200*time.Millisecond)))
}

// A grace that is shorter than the balancer's delay must leave time for requests and for their last answers.
func TestPlanFitsEveryGrace(t *testing.T) {
	is := is.New(t)
	for grace := time.Duration(0); grace < 12*time.Second; grace += 10 * time.Millisecond {
		p := newPlan(grace)
		is.True(!p.RefuseLong.After(p.CloseListener))
		is.True(!p.CloseListener.After(p.Answer))
		is.True(!p.Answer.After(p.End))
		is.True(!p.End.After(signal.Add(grace)))
		if grace > 0 {
			is.True(p.Answer.Sub(p.RefuseLong) >= grace/4)
			is.True(p.End.Sub(p.Answer) >= min(200*time.Millisecond, grace/8))
		}
	}
}

// Servers must not be told of more time than the process has.
func TestBound(t *testing.T) {
	is := is.New(t)
	p := newPlan(8 * time.Second)
	is.Equal(p.Bound(signal.Add(time.Hour)), p.End)
	is.Equal(p.Bound(time.Time{}), p.End)
	is.Equal(p.Bound(signal.Add(time.Second)), signal.Add(time.Second))
}
